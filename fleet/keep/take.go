package keep

import (
	"context"
	"math"
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
	startedAt time.Time // before the log was opened with the epoch
}

// takeOver fences off the previous owner and replays the shard.
func (r *Runner) takeOver(ctx context.Context) (*takeover, error) {
	began := time.Now()
	epoch, err := r.openShard(ctx)
	if err != nil {
		return nil, err
	}
	shard, end, records, err := r.replay(ctx)
	if err != nil {
		return nil, err
	}
	known, open := shard.Len()
	r.env.Logger.Info("shard_taken", zap.Int64("epoch", epoch), zap.Int64("end", end), zap.Int("records", records), zap.Int("jobs", known),
		zap.Int("open_jobs", open), zap.Duration("took_ms", time.Since(began)))
	return &takeover{shard, epoch, began}, nil
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
// because earlier owners are fenced off.
func (r *Runner) replay(ctx context.Context) (*stored.Shard, int64, int, error) {
	shard := stored.New(r.env.Options)
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
			next++
			count++
		}
		if len(records) == 0 && next < end {
			return nil, 0, 0, errors.Errorf("read the shard: the log returned no records at offset %d, though it ends at %d: read again", next, end)
		}
	}
	return shard, end, count, nil
}

func (r *Runner) readRecords(ctx context.Context, from int64) ([][]byte, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.env.Log.Read(ctx, r.shard, from)
}
