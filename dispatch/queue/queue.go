// Package queue provides a priority queue, a FIFO queue and a timing wheel.
package queue

import "container/heap"

// Item holds a value that can be put into a queue. The zero Item is in no queue.
type Item[T any] struct {
	Value T
	key   int64
	seq   uint64 // orders items with the same key
	index int    // position in the heap, starting at 1; 0: in no queue
}

// Key returns the key that the item was last pushed with.
func (i *Item[T]) Key() int64 { return i.key }

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool { return i.index > 0 }

// Queue is a priority queue. The item with the smallest key is first; items with
// equal keys are in the order in which they were pushed. The zero Queue is empty.
type Queue[T any] struct {
	items itemHeap[T]
	seq   uint64
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items) }

// First returns the item with the smallest key, or nil.
func (q *Queue[T]) First() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Push adds an item with the given key. The item must not be in any queue.
func (q *Queue[T]) Push(item *Item[T], key int64) {
	q.seq++
	item.key = key
	item.seq = q.seq
	heap.Push(&q.items, item)
}

// Remove removes an item from this queue. It does nothing if the item is in no
// queue.
func (q *Queue[T]) Remove(item *Item[T]) {
	if item.Queued() {
		heap.Remove(&q.items, item.index-1)
	}
}

type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
	}
	return h[i].seq < h[j].seq
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i + 1
	h[j].index = j + 1
}

func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	*h = append(*h, item)
	item.index = len(*h)
}

func (h *itemHeap[T]) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	item.index = 0
	return item
}
