package logservice

import (
	"context"
	"math/rand/v2"
	"time"
)

// Bounds of a Backoff.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Backoff is an exponential backoff with jitter: each delay is drawn uniformly
// between zero and a bound that doubles up to two seconds. It is not safe for
// concurrent use.
type Backoff struct {
	rand  *rand.Rand
	bound time.Duration
}

// NewBackoff returns a Backoff that draws from random.
func NewBackoff(random *rand.Rand) Backoff {
	return Backoff{rand: random, bound: minBackoff}
}

// Reset restores the initial bound after a success.
func (b *Backoff) Reset() { b.bound = minBackoff }

// Next returns the next delay, which is at least one millisecond.
func (b *Backoff) Next() time.Duration {
	delay := time.Millisecond + time.Duration(b.rand.Int64N(int64(b.bound)))
	b.bound = min(2*b.bound, maxBackoff)
	return delay
}

// Wait waits for the next delay. If the context ends first, it returns the
// error of the context.
func (b *Backoff) Wait(ctx context.Context) error {
	timer := time.NewTimer(b.Next())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
