// Package follow follows keyed logs: logs in which only the newest record of each
// key matters. It decides when to read, how long records stay valid after the log
// was unreachable, and when an absent key counts as deleted.
package follow

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// Record is the newest value of a key. An empty value means that the key was
// deleted.
type Record struct {
	Key   string
	Value []byte
}

// KeyedLog is a log of keyed records. Its methods block until the log has
// answered or the context ends.
type KeyedLog interface {
	// Newest returns the newest record of each key, and the offset from which to
	// continue with Read. It bounds the time of each call to the log itself: a
	// list of many records may take many calls.
	Newest(context.Context) ([]Record, int64, error)
	// Read returns the records from an offset on and the next offset. It waits up
	// to wait for new records. It returns a *GapError if the records have been
	// deleted.
	Read(ctx context.Context, from int64, wait time.Duration) ([]Record, int64, error)
}

// GapError reports that the records to be read have been deleted.
type GapError struct{ From int64 }

func (e *GapError) Error() string {
	return "the records have been deleted: read the newest record of each key"
}

// Timeouts and delays of reads.
const (
	readTimeout = 1500 * time.Millisecond // in addition to PollOptions.MaxWait
	// listTimeout bounds a whole list. A KeyedLog bounds each of its calls.
	listTimeout  = 20 * time.Second
	firstBackoff = 150 * time.Millisecond
	maxBackoff   = 1200 * time.Millisecond
	// outageAfter is the time without a successful read that counts as an outage.
	// Keys that are absent after an outage are not deleted at once: their writers
	// may not have reached the log either.
	outageAfter = 2500 * time.Millisecond
	// deleteDelay is how long after an outage writers have to renew their keys.
	deleteDelay = 2300 * time.Millisecond
)

// PollOptions selects long polling or polling in intervals.
type PollOptions struct {
	MaxWait  time.Duration        // of a long poll; 0: poll in intervals
	Interval func() time.Duration // used if MaxWait is 0
	Wake     <-chan struct{}      // a value makes the next read due at once, if MaxWait is 0; nil: none does
	// ExplicitDeletes states that a key is absent only if it was deleted on
	// purpose: no writer renews it after an outage, so it is deleted at once. The
	// records are then those of the log at Progress.Offset.
	ExplicitDeletes bool
	Failed          func() // called after the first failed read of each outage; nil: not called
}

// Follower maintains a copy of the newest records of a keyed log.
type Follower struct {
	name   string
	log    KeyedLog
	poll   PollOptions
	logger *zap.Logger
	update func(map[string][]byte)

	copy     *Copy
	listed   bool
	failures int
}

// New returns a follower that passes all records to update after each change.
// Update must neither change nor retain the map.
func New(name string, log KeyedLog, poll PollOptions, logger *zap.Logger, update func(map[string][]byte)) *Follower {
	return &Follower{name: name, log: log, poll: poll, logger: logger, update: update, copy: NewCopy(time.Now(), poll.ExplicitDeletes)}
}

// Progress tells how recent the records of an update are.
type Progress struct {
	Offset int64 // of the log, up to which the records were read
	// Age is the longest time for which the changes that the latest read has shown
	// may have been in the log: the time since the read before it was sent. It is
	// UnknownAge for a first read.
	Age time.Duration
}

// UnknownAge is longer than any time.
const UnknownAge = time.Duration(math.MaxInt64)

// Progress returns the progress of the latest read. Only update may call it.
func (f *Follower) Progress() Progress { return f.copy.Progress() }

// Touched reports whether the latest read may have had a record of a matching key.
// Only update may call it.
func (f *Follower) Touched(match func(key string) bool) bool { return f.copy.Touched(match) }

// Run reads until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		reply, err := f.read(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.recordFailure(err)
			sleep(ctx, f.backoff())
			continue
		}
		f.recordSuccess()
		if f.copy.Apply(time.Now(), reply) {
			f.runUpdate()
		}
		if f.poll.MaxWait == 0 {
			f.waitInterval(ctx)
		}
	}
}

// runUpdate calls update. A panic ends that call only: the record that has caused it stays
// the newest of its key, and would end the process again after each start.
func (f *Follower) runUpdate() {
	defer func() {
		if cause := recover(); cause != nil {
			f.logger.Error("operation_panicked", zap.String("operation", "update_"+f.name), zap.Any("cause", cause), zap.Stack("stack"))
		}
	}()
	f.update(f.copy.Records())
}

// waitInterval waits until the next read is due. It checks the interval
// repeatedly, because it may become shorter meanwhile.
func (f *Follower) waitInterval(ctx context.Context) {
	start := time.Now()
	const checkInterval = 100 * time.Millisecond
	for ctx.Err() == nil {
		left := f.poll.Interval() - time.Since(start)
		if left <= 0 {
			return
		}
		if woken := f.sleep(ctx, min(left, checkInterval)); woken {
			return
		}
	}
}

// sleep waits for a time. It returns true at once if the follower is woken.
func (f *Follower) sleep(ctx context.Context, d time.Duration) (woken bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.poll.Wake:
		return true
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *Follower) read(ctx context.Context) (Reply, error) {
	if !f.listed {
		return f.list(ctx)
	}
	sent := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, readTimeout+f.poll.MaxWait)
	defer cancel()
	records, next, err := f.log.Read(readCtx, f.copy.nextOffset, f.poll.MaxWait)
	if gap, ok := errors.Into[*GapError](err); ok {
		f.logger.Info("log_gap", zap.String("log", f.name), zap.Int64("from", gap.From))
		f.listed = false
		return f.list(ctx)
	}
	return Reply{Sent: sent, Records: records, Next: next}, err
}

func (f *Follower) list(ctx context.Context) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sent := time.Now()
	records, next, err := f.log.Newest(ctx)
	if err != nil {
		return Reply{}, err
	}
	f.listed = true
	return Reply{Sent: sent, Records: records, Next: next, Listed: true}, nil
}

func (f *Follower) recordFailure(err error) {
	f.failures++
	if f.failures == 1 {
		f.logger.Warn("dependency_lost", zap.String("dependency", f.name), zap.Error(err))
		if f.poll.Failed != nil {
			f.poll.Failed()
		}
	}
}

func (f *Follower) recordSuccess() {
	if f.failures > 0 {
		f.logger.Warn("dependency_regained", zap.String("dependency", f.name), zap.Duration("away_ms", time.Since(f.copy.lastSuccess)))
	}
	f.failures = 0
}

// backoff returns a delay that grows with the number of consecutive failures. It
// has jitter, so that entries do not retry all at once.
func (f *Follower) backoff() time.Duration {
	d := min(firstBackoff<<min(f.failures-1, 4), maxBackoff)
	return d/2 + rand.N(d)
}
