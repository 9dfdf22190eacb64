package appender

import "time"

// burst is the time whose appends a kind may save up.
const burst = time.Second

// budget admits appends. Each kind earns its share; what exceeds its burst
// goes to a spare that any kind may use. The time comes in.
type budget struct {
	rates [kinds]float64 // appends a second
	own   [kinds]float64 // appends saved up
	spare float64
	last  time.Time
}

func newBudget(now time.Time, appendsPerSecond float64, shares Shares) *budget {
	b := &budget{last: now}
	for k, share := range shares.list() {
		b.rates[k] = share * appendsPerSecond
		b.own[k] = b.limit(b.rates[k])
	}
	return b
}

// limit is what may be saved up at a rate: a burst, or one append.
func (b *budget) limit(rate float64) float64 {
	return max(1, rate*burst.Seconds())
}

func (b *budget) refill(now time.Time) {
	elapsed := now.Sub(b.last).Seconds()
	b.last = now
	var total float64
	for k, rate := range b.rates {
		total += rate
		b.own[k] += rate * elapsed
		if excess := b.own[k] - b.limit(rate); excess > 0 {
			b.own[k] -= excess
			b.spare += excess
		}
	}
	b.spare = min(b.spare, b.limit(total))
}

// take admits one append of a kind, or tells after which time to ask again.
// maySpare lets the kind use what others left.
func (b *budget) take(now time.Time, k Kind, maySpare bool) (wait time.Duration, ok bool) {
	b.refill(now)
	switch {
	case b.own[k] >= 1:
		b.own[k]--
		return 0, true
	case maySpare && b.spare >= 1:
		b.spare--
		return 0, true
	}
	missing := (1 - b.own[k]) / b.rates[k]
	return min(time.Duration(missing*float64(time.Second))+time.Millisecond, burst), false
}
