package compare

import (
	"container/heap"
	"time"
)

// event is a function to run at a point of virtual time.
type event struct {
	at  time.Duration
	seq uint64 // orders events with the same time
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// loop runs events in the order of their times.
type loop struct {
	now  time.Duration
	seq  uint64
	heap eventHeap
}

func (l *loop) at(t time.Duration, run func()) {
	l.seq++
	heap.Push(&l.heap, event{at: max(t, l.now), seq: l.seq, run: run})
}

func (l *loop) after(d time.Duration, run func()) { l.at(l.now+d, run) }

// runUntil runs every event before the given time.
func (l *loop) runUntil(end time.Duration) {
	for len(l.heap) > 0 && l.heap[0].at < end {
		e := heap.Pop(&l.heap).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}
