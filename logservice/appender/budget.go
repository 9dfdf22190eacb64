package appender

import "time"

// burstWindow limits the tokens that a kind can accumulate to its rate over this
// time.
const burstWindow = time.Second

// budget is a set of token buckets that admits appends. Each kind has a bucket
// that refills at its share of the rate. Tokens that exceed the capacity of a
// bucket go to a shared bucket that any kind may use. Callers pass in the time.
type budget struct {
	rates        [kinds]float64 // appends per second
	tokens       [kinds]float64 // appends that the kind may make now
	sharedTokens float64        // appends that any kind may make now
	lastRefill   time.Time
}

func newBudget(now time.Time, appendsPerSecond float64, shares Shares) *budget {
	b := &budget{lastRefill: now}
	for k, share := range shares.list() {
		b.rates[k] = share * appendsPerSecond
		b.tokens[k] = b.capacity(b.rates[k])
	}
	return b
}

// capacity returns the capacity of a bucket with the given rate: the tokens of
// one burst window, but at least one.
func (b *budget) capacity(rate float64) float64 {
	return max(1, rate*burstWindow.Seconds())
}

func (b *budget) refill(now time.Time) {
	elapsed := now.Sub(b.lastRefill).Seconds()
	b.lastRefill = now
	var total float64
	for k, rate := range b.rates {
		total += rate
		b.tokens[k] += rate * elapsed
		if excess := b.tokens[k] - b.capacity(rate); excess > 0 {
			b.tokens[k] -= excess
			b.sharedTokens += excess
		}
	}
	b.sharedTokens = min(b.sharedTokens, b.capacity(total))
}

// take admits one append of a kind, or returns the time after which to try again.
// If mayUseShared is true, the kind may use the shared tokens.
func (b *budget) take(now time.Time, k Kind, mayUseShared bool) (wait time.Duration, ok bool) {
	b.refill(now)
	switch {
	case b.tokens[k] >= 1:
		b.tokens[k]--
		return 0, true
	case mayUseShared && b.sharedTokens >= 1:
		b.sharedTokens--
		return 0, true
	}
	missing := (1 - b.tokens[k]) / b.rates[k]
	return min(time.Duration(missing*float64(time.Second))+time.Millisecond, burstWindow), false
}
