package keep

import (
	"context"
	"fmt"
)

// Log is a log with a partition for each shard and fenced writers. Its methods
// block until the log has answered or the context ends, and are safe for
// concurrent use. Errors other than those of this package leave open whether
// the call was, or will be, carried out.
type Log interface {
	// Open fences off writers with lower epochs. A *FencedError says that the
	// epoch is too low.
	Open(ctx context.Context, shard int, epoch int64) error
	// Append stores a record and returns its offset. Sequences rise by one; a
	// repeat of the latest gets the first answer again.
	Append(ctx context.Context, shard int, epoch, sequence int64, record []byte) (int64, error)
	// Read returns records from an offset on, and the end of the partition. A
	// *GapError says from which offset on records are kept.
	Read(ctx context.Context, shard int, from int64) (records [][]byte, end int64, err error)
	// Trim deletes the records before an offset.
	Trim(ctx context.Context, shard int, before int64) error
}

// FencedError reports that another owner has a higher epoch.
type FencedError struct{ Epoch int64 }

func (e *FencedError) Error() string {
	return fmt.Sprintf("another owner has an epoch above %d: ask that one", e.Epoch)
}

// SequenceError reports an append that does not follow the latest one.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("the log expects sequence %d: go on from there", e.Expected)
}

// RefusedError reports a call that the log has refused and will not carry out.
type RefusedError struct{ Cause error }

func (e *RefusedError) Error() string { return "the log did nothing: " + e.Cause.Error() }
func (e *RefusedError) Unwrap() error { return e.Cause }

// GapError reports that records to be read are no longer kept.
type GapError struct{ First int64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("the records are no longer kept: read from %d on", e.First)
}
