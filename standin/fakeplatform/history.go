package fakeplatform

import "time"

// history keeps the past values of a list, so that readers can get an old one.
type history[T any] struct {
	entries []timestamped[T]
}

type timestamped[T any] struct {
	at    time.Time
	value T
}

func (h *history[T]) set(now time.Time, value T) {
	h.entries = append(h.entries, timestamped[T]{at: now, value: value})
}

// at returns the value at a time and drops the values before it. For a time
// before the first value it returns the first value.
func (h *history[T]) at(asOf time.Time) T {
	for len(h.entries) > 1 && !h.entries[1].at.After(asOf) {
		h.entries = h.entries[1:]
	}
	if len(h.entries) == 0 {
		var zero T
		return zero
	}
	return h.entries[0].value
}
