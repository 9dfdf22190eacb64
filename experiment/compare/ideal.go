package compare

import (
	"container/heap"
	"slices"
	"time"
)

type freeTimes []time.Duration

func (h freeTimes) Len() int           { return len(h) }
func (h freeTimes) Less(i, j int) bool { return h[i] < h[j] }
func (h freeTimes) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *freeTimes) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *freeTimes) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

// idealRun returns the time in which the given number of idle slots run all
// tasks, longest task first.
func idealRun(tasks []Task, slots int) time.Duration {
	runs := make([]time.Duration, len(tasks))
	for i, t := range tasks {
		runs[i] = t.RunTime
	}
	slices.SortFunc(runs, func(a, b time.Duration) int { return int(b - a) })
	if len(runs) <= slots {
		return runs[0]
	}
	free := make(freeTimes, slots)
	var end time.Duration
	for _, run := range runs {
		free[0] += run
		end = max(end, free[0])
		heap.Fix(&free, 0)
	}
	return end
}
