package keep

import (
	"bytes"
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/stored"
)

// Limits of a takeover.
const (
	openTimeout     = time.Second
	readTimeout     = 2 * time.Second
	maxOpenAttempts = 16
	// epochStep is the first increment if an epoch is too low. It doubles with
	// each attempt, which is enough if the clock of an owner is hours ahead.
	epochStep = 1000
)

// takeover is a shard that has just been taken over.
type takeover struct {
	shard     *stored.Shard
	epoch     int64
	sequence  int64     // of the last append in the epoch; 0: none
	startedAt time.Time // before the log was opened with the epoch
}

// claim is the first record of an owner. Entries that take a shard over within the same
// millisecond open it with the same epoch, so the log does not fence off either of them.
// It appends only one of their first records, since both have the same sequence number,
// and returns its offset to both: the owner is the entry whose record stands there.
type claim struct {
	record []byte
	offset int64
}

// claimSequence is the sequence number of a claim.
const claimSequence = 1

// takeOver fences off the previous owner and replays the shard.
func (r *Runner) takeOver(ctx context.Context) (*takeover, error) {
	began := time.Now()
	epoch, err := r.openShard(ctx)
	if err != nil {
		return nil, err
	}
	claimed, err := r.claim(ctx, epoch)
	if err != nil {
		return nil, err
	}
	shard, end, records, err := r.replay(ctx, claimed)
	if err != nil {
		return nil, err
	}
	sequence := int64(0)
	if claimed != nil {
		sequence = claimSequence
	}
	known, open := shard.Len()
	r.env.Logger.Info("shard_taken", zap.Int64("epoch", epoch), zap.Int64("end", end), zap.Int("records", records), zap.Int("jobs", known),
		zap.Int("open_jobs", open), zap.Duration("took_ms", time.Since(began)))
	return &takeover{shard, epoch, sequence, began}, nil
}

// claim appends the claim of an epoch. It returns nil if the log is full: the shard is
// taken over nevertheless, because its owner deletes records.
func (r *Runner) claim(ctx context.Context, epoch int64) (*claim, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	record, err := encodeClaim(rand.Uint64() | 1) // not 0, which would be no claim
	if err != nil {
		return nil, err
	}
	start := time.Now()
	offset, err := r.env.Log.Append(ctx, r.shard, epoch, claimSequence, record)
	r.env.ObserveAppend(appendResult(err), time.Since(start))
	if refused, ok := errors.Into[*RefusedError](err); ok && refused.Full {
		r.env.Logger.Warn("shard_not_claimed", zap.Int64("epoch", epoch), zap.Error(err))
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "claim the shard")
	}
	return &claim{record, offset}, nil
}

// openShard opens the log with an epoch that is high enough.
func (r *Runner) openShard(ctx context.Context) (int64, error) {
	epoch := max(r.epoch+1, time.Now().UnixMilli())
	for try := range maxOpenAttempts {
		err := r.openAtEpoch(ctx, epoch)
		if err == nil {
			r.epoch = epoch
			return epoch, nil
		}
		if _, fenced := errors.Into[*FencedError](err); !fenced {
			return 0, errors.Wrap(err, "open the shard")
		}
		epoch += epochStep << try
	}
	return 0, errors.Wrap(&FencedError{Epoch: epoch}, "open the shard")
}

func (r *Runner) openAtEpoch(ctx context.Context, epoch int64) error {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return r.env.Log.Open(ctx, r.shard, epoch)
}

// replay replays all records. The end of the partition does not move meanwhile,
// because earlier owners are fenced off. It returns a *FencedError unless the claim, if
// there is one, is among the records.
func (r *Runner) replay(ctx context.Context, claimed *claim) (*stored.Shard, int64, int, error) {
	options := r.env.Options
	options.Epoch = r.epoch
	shard := stored.New(options)
	owned := claimed == nil
	next, count := int64(0), 0
	end := int64(math.MaxInt64) // not known yet
	for next < end {
		records, newEnd, err := r.readRecords(ctx, next)
		if gap, ok := errors.Into[*GapError](err); ok && gap.First > next {
			r.env.Logger.Info("log_begins_later", zap.Int64("first", gap.First))
			next = gap.First
			continue
		}
		if err != nil {
			return nil, 0, 0, errors.Wrap(err, "read the shard")
		}
		end = newEnd
		for _, data := range records {
			events, err := r.env.Codec.decode(data, r.shard)
			if err != nil {
				r.env.Logger.Error("record_unreadable", zap.Int64("offset", next), zap.Error(err))
			}
			shard.Replay(time.Now(), next, events)
			owned = owned || next == claimed.offset && bytes.Equal(data, claimed.record)
			next++
			count++
		}
		if len(records) == 0 && next < end {
			return nil, 0, 0, errors.Errorf("read the shard: the log returned no records at offset %d, though it ends at %d: read again", next, end)
		}
	}
	if !owned {
		return nil, 0, 0, errors.Wrap(&FencedError{Epoch: r.epoch}, "claim the shard: another owner has the same epoch")
	}
	return shard, end, count, nil
}

func (r *Runner) readRecords(ctx context.Context, from int64) ([][]byte, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.env.Log.Read(ctx, r.shard, from)
}
