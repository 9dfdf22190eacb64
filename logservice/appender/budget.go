package appender

import "time"

// burstWindow is the time whose appends a kind may save up.
const burstWindow = time.Second

// budget admits appends. Each kind earns its share; what exceeds its burst
// goes to a spare that any kind may use. The time comes in.
type budget struct {
	rates        [kinds]float64 // appends a second
	tokens       [kinds]float64 // appends saved up
	sharedTokens float64
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

// capacity is what may be saved up at a rate: a burst, or one append.
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

// take admits one append of a kind, or tells after which time to ask again.
// maySpare lets the kind use what others left.
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
