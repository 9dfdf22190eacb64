package fakeplatform

import "time"

// tokenBucket limits the rate of appends. Its burst is the rate of one second.
type tokenBucket struct {
	perSecond int // 0: no limit
	tokens    float64
	last      time.Time
}

func newBucket(perSecond int) tokenBucket {
	return tokenBucket{perSecond: perSecond, tokens: float64(perSecond)}
}

// allow reports whether an append may pass now, and uses a token for it.
func (b *tokenBucket) allow(now time.Time) bool {
	if b.perSecond == 0 {
		return true
	}
	if !b.last.IsZero() {
		refill := now.Sub(b.last).Seconds() * float64(b.perSecond)
		b.tokens = min(b.tokens+refill, float64(b.perSecond))
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
