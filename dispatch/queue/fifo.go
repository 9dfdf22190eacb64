package queue

// FIFO is a first-in, first-out queue. Push and Pop take amortized constant
// time. The zero FIFO is empty.
type FIFO[T any] struct {
	values []T
	head   int
}

// Len returns the number of values.
func (f *FIFO[T]) Len() int { return len(f.values) - f.head }

// Push adds a value at the end.
func (f *FIFO[T]) Push(v T) {
	if f.head > 0 && f.head >= len(f.values)/2 && len(f.values) == cap(f.values) {
		f.compact()
	}
	f.values = append(f.values, v)
}

func (f *FIFO[T]) compact() {
	n := copy(f.values, f.values[f.head:])
	clear(f.values[n:])
	f.values = f.values[:n]
	f.head = 0
}

// First returns the oldest value. The queue must not be empty.
func (f *FIFO[T]) First() T { return f.values[f.head] }

// Values returns the values, oldest first. The result is valid until the next
// Push.
func (f *FIFO[T]) Values() []T { return f.values[f.head:] }

// Pop removes the oldest value. The queue must not be empty.
func (f *FIFO[T]) Pop() {
	var zero T
	f.values[f.head] = zero
	f.head++
	if f.head == len(f.values) {
		f.values = f.values[:0]
		f.head = 0
	}
}
