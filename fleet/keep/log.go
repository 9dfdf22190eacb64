package keep

import (
	"context"
	"fmt"
	"strconv"

	"lovagespread.example/fleet/follow"
)

// Log is a log with a partition for each shard and fenced writers. Its methods
// block until the log has answered or the context ends, and are safe for
// concurrent use. After an error that is not defined in this package, it is
// unknown whether the call was, or will be, carried out.
type Log interface {
	// Open fences off writers with lower epochs. It returns a *FencedError if the
	// epoch is too low.
	Open(ctx context.Context, shard int, epoch int64) error
	// Append stores a record and returns its offset. Sequence numbers increase by
	// one. A retry with the latest number returns the offset of the first call.
	Append(ctx context.Context, shard int, epoch, sequence int64, record []byte) (int64, error)
	// Read returns records from an offset on, and the end offset of the partition.
	// It returns a *GapError with the first available offset if from was trimmed.
	Read(ctx context.Context, shard int, from int64) (records [][]byte, end int64, err error)
	// Trim deletes the records before an offset.
	Trim(ctx context.Context, shard int, before int64) error
	// Shards returns the number of shards over which jobs are distributed. It is that of
	// the first call by any process, which proposed it: later ones must not change it,
	// because the jobs that are stored would not be found.
	Shards(ctx context.Context, proposed int) (int, error)
}

// maxShards is far above any number of shards that is proposed.
const maxShards = 1000

// LayoutError reports a number of shards on the log that no entry has written.
type LayoutError struct{ Value string }

func (e *LayoutError) Error() string {
	return fmt.Sprintf("the log says that jobs are distributed over %.20q shards: look for another writer of the record", e.Value)
}

// shardsKey is the key of the number of shards, in decimal digits.
const shardsKey = "shards"

// LayoutTopic is a keyed log with conditional writes.
type LayoutTopic interface {
	// Newest is that of follow.KeyedLog.
	Newest(context.Context) ([]follow.Record, int64, error)
	// PutAt appends a record if the topic ends at an offset.
	PutAt(ctx context.Context, key string, value []byte, end int64) error
}

// AgreeOnShards returns the number of shards that a topic has, and writes the proposed one
// if there is none. Of several writers, one succeeds; the others get an error and call it
// again. It returns a *LayoutError for a number that no entry has written.
func AgreeOnShards(ctx context.Context, topic LayoutTopic, proposed int) (int, error) {
	records, end, err := topic.Newest(ctx)
	if err != nil {
		return 0, err
	}
	for _, r := range records {
		if r.Key != shardsKey {
			continue
		}
		n, err := strconv.Atoi(string(r.Value))
		if err != nil || n < 1 || n > maxShards {
			return 0, &LayoutError{string(r.Value)}
		}
		return n, nil
	}
	if err := topic.PutAt(ctx, shardsKey, []byte(strconv.Itoa(proposed)), end); err != nil {
		return 0, err
	}
	return proposed, nil
}

// FencedError reports that another owner has a higher epoch.
type FencedError struct{ Epoch int64 }

func (e *FencedError) Error() string {
	return fmt.Sprintf("epoch %d is fenced off, because another owner has a higher one: ask that owner", e.Epoch)
}

// SequenceError reports an append whose sequence number does not follow the
// latest one.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("append out of sequence: the log expects sequence number %d: continue from there", e.Expected)
}

// RefusedError reports a call that the log has refused and will not carry out.
type RefusedError struct {
	Cause error
	Full  bool // the log takes no appends until records are deleted
}

func (e *RefusedError) Error() string { return "the log refused the call: " + e.Cause.Error() }
func (e *RefusedError) Unwrap() error { return e.Cause }

// GapError reports that the records to be read have been deleted.
type GapError struct{ First int64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("the records have been deleted: read from offset %d on, the first available one", e.First)
}
