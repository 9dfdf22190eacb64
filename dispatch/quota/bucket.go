package quota

import "time"

// Bucket is a token bucket that limits the sustained rate of tasks and allows
// bursts above it. The zero Bucket is full.
type Bucket struct {
	tokens  float64
	updated time.Time
}

// Take removes n tokens from the bucket, which is refilled at rate tokens per
// second up to burst tokens. If there are too few tokens, Take removes none and
// returns the time until there are enough. A job of more than burst tasks is
// admitted if the bucket is full, and leaves it with a negative balance.
func (b *Bucket) Take(now time.Time, n int, rate float64, burst int) (wait time.Duration, ok bool) {
	size := float64(max(burst, 1))
	if b.updated.IsZero() {
		b.tokens = size
	} else {
		b.tokens = min(size, b.tokens+rate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
	needed := min(float64(n), size)
	if b.tokens < needed {
		return time.Duration((needed - b.tokens) / rate * float64(time.Second)), false
	}
	b.tokens -= float64(n)
	return 0, true
}
