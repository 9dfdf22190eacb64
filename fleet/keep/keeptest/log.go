// Package keeptest provides an in-memory log of stored jobs with fault injection,
// and the tests that every keep.Log must pass.
package keeptest

import (
	"context"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"lovagespread.example/fleet/keep"
)

// Log is an in-memory keep.Log.
type Log struct {
	mu     sync.Mutex
	shards map[int]*partition
	layout int // number of shards; 0: not written yet
	faults Faults
}

// Faults are the faults that a Log simulates.
type Faults struct {
	RefuseAppends bool // appends are refused, because the log is full
	LoseReplies   bool // appends are carried out but not answered
	Unresponsive  bool // calls to Open and Append are neither carried out nor answered
}

type partition struct {
	epoch      int64
	sequence   int64
	appended   bool // a record was appended in the epoch
	lastOffset int64
	first      int64
	records    [][]byte
}

var _ keep.Log = (*Log)(nil)

// NewLog returns an empty log.
func NewLog() *Log { return &Log{shards: make(map[int]*partition)} }

// SetFaults replaces the simulated faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func (l *Log) partition(shard int) *partition {
	if l.shards[shard] == nil {
		l.shards[shard] = &partition{}
	}
	return l.shards[shard]
}

// Shards implements keep.Log.
func (l *Log) Shards(_ context.Context, proposed int) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Unresponsive {
		return 0, errors.New("no answer")
	}
	if l.layout == 0 {
		l.layout = proposed
	}
	return l.layout, nil
}

// Open implements keep.Log.
func (l *Log) Open(_ context.Context, shard int, epoch int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Unresponsive {
		return errors.New("no answer")
	}
	p := l.partition(shard)
	if epoch < p.epoch {
		return &keep.FencedError{Epoch: epoch}
	}
	p.appended = p.appended && epoch == p.epoch
	p.epoch = epoch
	return nil
}

// Append implements keep.Log.
func (l *Log) Append(_ context.Context, shard int, epoch, sequence int64, record []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(shard)
	switch {
	case l.faults.Unresponsive:
		return 0, errors.New("no answer")
	case epoch < p.epoch:
		return 0, &keep.FencedError{Epoch: epoch}
	case l.faults.RefuseAppends:
		return 0, &keep.RefusedError{Cause: errors.New("the log is full"), Full: true}
	case p.appended && sequence == p.sequence:
		return p.lastOffset, nil
	case p.appended && sequence != p.sequence+1:
		return 0, &keep.SequenceError{Expected: p.sequence + 1}
	}
	p.epoch, p.sequence, p.appended = epoch, sequence, true
	p.lastOffset = p.first + int64(len(p.records))
	p.records = append(p.records, slices.Clone(record))
	if l.faults.LoseReplies {
		return 0, errors.New("no answer")
	}
	return p.lastOffset, nil
}

// Read implements keep.Log.
func (l *Log) Read(_ context.Context, shard int, from int64) ([][]byte, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(shard)
	if from < p.first {
		return nil, 0, &keep.GapError{First: p.first}
	}
	end := p.first + int64(len(p.records))
	if from >= end {
		return nil, end, nil
	}
	return slices.Clone(p.records[from-p.first:]), end, nil
}

// Trim implements keep.Log.
func (l *Log) Trim(_ context.Context, shard int, before int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(shard)
	n := min(max(before-p.first, 0), int64(len(p.records)))
	p.first += n
	p.records = p.records[n:]
	return nil
}
