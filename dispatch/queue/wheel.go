package queue

// wheelSlots is the number of slots of a wheel. Values that are due more than
// this many periods ahead share a slot with earlier ones.
const wheelSlots = 256

// Wheel is a timing wheel: it holds values until they are due. Time is counted
// in periods. Adding and removing a value take constant time. The zero Wheel is
// empty.
type Wheel[T any] struct {
	slots      [wheelSlots][]wheelEntry[T]
	nextPeriod int64 // first period that Advance has not processed
}

type wheelEntry[T any] struct {
	value  T
	period int64
}

// Add adds a value that is due in the given period. If that period has already
// been processed, the value is due in the next one.
func (w *Wheel[T]) Add(value T, period int64) {
	period = max(period, w.nextPeriod)
	slot := &w.slots[period%wheelSlots]
	*slot = append(*slot, wheelEntry[T]{value, period})
}

// Advance removes every value that is due by the period now and calls f for it.
func (w *Wheel[T]) Advance(now int64, f func(T)) {
	first := max(w.nextPeriod, now-wheelSlots+1)
	w.nextPeriod = now + 1
	for period := first; period <= now; period++ {
		slot := w.slots[period%wheelSlots]
		w.slots[period%wheelSlots] = nil
		for _, entry := range slot {
			if entry.period > now {
				w.Add(entry.value, entry.period)
				continue
			}
			f(entry.value)
		}
	}
}
