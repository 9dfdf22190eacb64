package quota

import "time"

// Bucket enforces a sustained rate of tasks with bursts above it.
type Bucket struct {
	tokens  float64
	updated time.Time
}

// Take takes n tokens out of a bucket that fills with rate tokens a second
// up to burst. If there are too few it takes none and returns the time until
// there will be enough. A job larger than the burst is let through when the
// bucket is full and leaves it in debt.
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
