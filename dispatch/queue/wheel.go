package queue

// wheelSlots is the number of periods that a wheel looks ahead.
const wheelSlots = 256

// Wheel holds values until their time, which is counted in periods. Adding
// and taking a value out take constant time. The zero wheel is empty.
type Wheel[T any] struct {
	slots      [wheelSlots][]wheelEntry[T]
	nextPeriod int64 // the period that Take looks at first
}

type wheelEntry[T any] struct {
	value  T
	period int64
}

// Add adds a value that Take returns once the period has come. A period that
// is over counts as the next one.
func (w *Wheel[T]) Add(value T, period int64) {
	period = max(period, w.nextPeriod)
	slot := &w.slots[period%wheelSlots]
	*slot = append(*slot, wheelEntry[T]{value, period})
}

// Advance calls f for every value whose period is now or over.
func (w *Wheel[T]) Advance(now int64, f func(T)) {
	first := max(w.nextPeriod, now-wheelSlots+1)
	w.nextPeriod = now + 1
	for period := first; period <= now; period++ {
		slot := w.slots[period%wheelSlots]
		w.slots[period%wheelSlots] = nil
		for _, t := range slot {
			if t.period > now {
				w.Add(t.value, t.period)
				continue
			}
			f(t.value)
		}
	}
}
