package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/fleet/keep"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Timing of the probes of the log.
const (
	// probeInterval is the time between probes with few entries. It grows by the
	// same factor as the interval of heartbeats, so that all entries together send
	// a bounded number of probes per second.
	probeInterval = 300 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// probeEpoch is the epoch of probes. The epochs of owners are times of day in
// milliseconds, and so higher: a probe fences off no owner.
const probeEpoch = 1

// observedLog is a log that records whether it serves this entry. It is safe for
// concurrent use.
type observedLog struct {
	keep.Log

	mu    sync.Mutex
	calls cells.LogCalls
}

// Open implements keep.Log.
func (l *observedLog) Open(ctx context.Context, shard int, epoch int64) error {
	sentAt := time.Now()
	err := l.Log.Open(ctx, shard, epoch)
	l.observe(ctx, sentAt, err)
	return err
}

// Append implements keep.Log.
func (l *observedLog) Append(ctx context.Context, shard int, epoch, sequence int64, record []byte) (int64, error) {
	sentAt := time.Now()
	offset, err := l.Log.Append(ctx, shard, epoch, sequence, record)
	l.observe(ctx, sentAt, err)
	return offset, err
}

// Read implements keep.Log.
func (l *observedLog) Read(ctx context.Context, shard int, from int64) ([][]byte, int64, error) {
	sentAt := time.Now()
	records, end, err := l.Log.Read(ctx, shard, from)
	l.observe(ctx, sentAt, err)
	return records, end, err
}

// observe records the result of a call. A call that this entry has given up shows
// nothing.
func (l *observedLog) observe(ctx context.Context, sentAt time.Time, err error) {
	served := servedByLog(err)
	if !served && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if served {
		l.calls.Answered(sentAt)
		return
	}
	l.calls.NotServed(sentAt)
}

// servedByLog reports whether the result of a call depends on what the log holds.
// A log that refuses the call, or does not answer, does not serve this entry.
func servedByLog(err error) bool {
	if err == nil {
		return true
	}
	_, fenced := errors.Into[*keep.FencedError](err)
	_, wrongSequence := errors.Into[*keep.SequenceError](err)
	_, gap := errors.Into[*keep.GapError](err)
	return fenced || wrongSequence || gap
}

// latest returns what the calls have shown so far.
func (l *observedLog) latest() cells.LogCalls {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// probeLog calls the log while this entry must find out whether it is served. The
// probes go to all shards in turn, because one may be busy.
func (sj *storedJobs) probeLog(ctx context.Context) {
	for shard := 0; ctx.Err() == nil; shard = (shard + 1) % len(sj.runners()) {
		latest := sj.loop.Latest()
		if latest.ProbesLog {
			go sj.probe(ctx, shard)
		}
		entries := len(latest.View.Live) + 1
		pauseFor(ctx, probeInterval*time.Duration((entries+entriesPerInterval-1)/entriesPerInterval))
	}
}

func (sj *storedJobs) probe(ctx context.Context, shard int) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := sj.loop.jobLog.Open(ctx, shard, probeEpoch); !servedByLog(err) {
		sj.log.Debug("log_probe_failed", zap.Error(err))
	}
}

// reviewShards decides whether this entry yields its shards, and announces a change
// at once.
func (l *Loop) reviewShards(now time.Time) {
	if l.jobLog == nil {
		return
	}
	calls := l.jobLog.latest()
	if !l.roster.ReviewShards(now, calls) {
		return
	}
	l.heartbeats.nextLocal, l.heartbeats.nextRemote = time.Time{}, time.Time{}
	if l.roster.YieldsShards() {
		l.log.Warn("shards_yielded", zap.Duration("unanswered_ms", now.Sub(calls.FailingSince)), zap.Int("failed_calls", calls.Failed))
		l.metrics.shardYields.WithLabelValues("yielded").Inc()
		return
	}
	l.log.Warn("shards_resumed", zap.Duration("answered_ms", now.Sub(calls.ServedSince)))
	l.metrics.shardYields.WithLabelValues("resumed").Inc()
}

// announceLogContact adds to a heartbeat whether the log serves this entry.
func (l *Loop) announceLogContact(heartbeat *fleetpb.Beat) {
	if l.jobLog == nil {
		return
	}
	calls := l.jobLog.latest()
	contact := calls.Contact(time.Now())
	heartbeat.YieldsShards = l.roster.YieldsShards()
	heartbeat.LogFails = contact.Fails
	if contact.Answered {
		heartbeat.LogAnsweredMs = uint32(max(1, contact.Ago.Milliseconds()))
	}
}

// logContactOf returns what a heartbeat announces about its sender's calls to the log.
func logContactOf(b *fleetpb.Beat) cells.LogContact {
	return cells.LogContact{
		Answered: b.LogAnsweredMs > 0, Ago: time.Duration(b.LogAnsweredMs) * time.Millisecond, Fails: b.LogFails,
	}
}
