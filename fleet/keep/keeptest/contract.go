package keeptest

import (
	"context"
	"testing"

	"github.com/go-faster/errors"

	"lovagespread.example/fleet/keep"
)

// Contract tests the behaviour that every keep.Log must have. The log must be
// empty.
func Contract(t *testing.T, log keep.Log) {
	ctx := context.Background()
	t.Run("an append is read back", func(t *testing.T) {
		mustSucceed(t, log.Open(ctx, 0, 10))
		wantOffset(t, log, 0, 10, 1, "a", 0)
		wantOffset(t, log, 0, 10, 2, "b", 1)
		records, end, err := log.Read(ctx, 0, 0)
		if err != nil || end != 2 || len(records) != 2 || string(records[0]) != "a" || string(records[1]) != "b" {
			t.Errorf("read %q, end %d, %v", records, end, err)
		}
		records, end, err = log.Read(ctx, 0, 2)
		if err != nil || end != 2 || len(records) != 0 {
			t.Errorf("read at the end: %q, end %d, %v", records, end, err)
		}
	})
	t.Run("a retried append returns the first offset", func(t *testing.T) {
		wantOffset(t, log, 0, 10, 2, "b", 1)
		if _, end, err := log.Read(ctx, 0, 0); err != nil || end != 2 {
			t.Errorf("end %d, %v, want 2", end, err)
		}
	})
	t.Run("a gap in the sequence is refused", func(t *testing.T) {
		_, err := log.Append(ctx, 0, 10, 7, []byte("x"))
		if wrong, ok := errors.Into[*keep.SequenceError](err); !ok || wrong.Expected != 3 {
			t.Errorf("error %v, want a SequenceError that expects 3", err)
		}
	})
	t.Run("a lower epoch is fenced off", func(t *testing.T) {
		mustSucceed(t, log.Open(ctx, 0, 20))
		_, err := log.Append(ctx, 0, 10, 3, []byte("x"))
		if _, fenced := errors.Into[*keep.FencedError](err); !fenced {
			t.Errorf("append: %v, want a FencedError", err)
		}
		if _, fenced := errors.Into[*keep.FencedError](log.Open(ctx, 0, 15)); !fenced {
			t.Error("the shard was opened with a lower epoch")
		}
		wantOffset(t, log, 0, 20, 1, "c", 2)
	})
	t.Run("shards are independent", func(t *testing.T) {
		mustSucceed(t, log.Open(ctx, 1, 5))
		wantOffset(t, log, 1, 5, 1, "z", 0)
	})
	t.Run("the first number of shards stays", func(t *testing.T) {
		for _, proposed := range []int{6, 12, 3} {
			if n, err := log.Shards(ctx, proposed); err != nil || n != 6 {
				t.Errorf("proposed %d: %d shards, %v, want 6", proposed, n, err)
			}
		}
	})
	t.Run("trimmed records are deleted", func(t *testing.T) {
		mustSucceed(t, log.Trim(ctx, 0, 2))
		_, _, err := log.Read(ctx, 0, 0)
		if gap, ok := errors.Into[*keep.GapError](err); !ok || gap.First != 2 {
			t.Errorf("error %v, want a GapError with first 2", err)
		}
		records, end, err := log.Read(ctx, 0, 2)
		if err != nil || end != 3 || len(records) != 1 || string(records[0]) != "c" {
			t.Errorf("read %q, end %d, %v", records, end, err)
		}
	})
}

func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func wantOffset(t *testing.T, log keep.Log, shard int, epoch, sequence int64, record string, want int64) {
	t.Helper()
	offset, err := log.Append(context.Background(), shard, epoch, sequence, []byte(record))
	if err != nil || offset != want {
		t.Errorf("append %q: offset %d, %v, want %d", record, offset, err, want)
	}
}
