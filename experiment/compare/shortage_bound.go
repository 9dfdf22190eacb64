package compare

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// offlineBound returns an upper bound of the value that any schedule can keep. All
// arrivals and run times are known, work is divisible and preemptible, and jobs
// have no floors. Work is added in order of value per core-second as far as it can
// be done in time, which is optimal for divisible work; the rest may be done late.
func offlineBound(jobs []shortageJob) float64 {
	order := slices.Clone(jobs)
	slices.SortFunc(order, func(a, b shortageJob) int { return cmp.Compare(b.value/b.work, a.value/a.work) })
	var plan []interval
	var value float64
	for _, late := range []bool{false, true} {
		for i := range order {
			j := &order[i]
			limit, factor := j.objective(), 1.0
			if late {
				limit, factor = j.lateLimit(), lateValue
			}
			share := largestShare(plan, interval{j.arrival, j.arrival + limit, j.work})
			plan = insert(plan, interval{j.arrival, j.arrival + limit, share * j.work})
			value += factor * share * j.value
			j.value, j.work = j.value*(1-share), j.work*(1-share)
		}
	}
	return value
}

// interval is work that is done between two times.
type interval struct {
	from, to time.Duration
	work     float64 // core-seconds
}

func insert(plan []interval, w interval) []interval {
	if w.work <= 0 {
		return plan
	}
	at, _ := slices.BinarySearchFunc(plan, w, func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	return slices.Insert(plan, at, w)
}

// largestShare returns the largest share of the work that fits beside the plan, to
// within 1/64.
func largestShare(plan []interval, w interval) float64 {
	fits := func(share float64) bool {
		return feasible(insert(slices.Clone(plan), interval{w.from, w.to, share * w.work}))
	}
	if w.work <= 0 || fits(1) {
		return 1
	}
	const halvings = 6 // of the interval from 0 to 1
	low, high := 0.0, 1.0
	for range halvings {
		if middle := (low + high) / 2; fits(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// feasible reports whether all work of a plan, sorted by its start, can be done in
// time. Divisible work is best done in order of its end.
func feasible(plan []interval) bool {
	var open byEnd
	now, next := time.Duration(0), 0
	for next < len(plan) || len(open) > 0 {
		if len(open) == 0 {
			now = max(now, plan[next].from)
		}
		for next < len(plan) && plan[next].from <= now {
			heap.Push(&open, plan[next])
			next++
		}
		end := now + time.Duration(open[0].work/shortageCores*float64(time.Second))
		if next < len(plan) && plan[next].from < end {
			open[0].work -= (plan[next].from - now).Seconds() * shortageCores
			now = plan[next].from
			continue
		}
		if end > open[0].to+time.Microsecond {
			return false
		}
		heap.Pop(&open)
		now = end
	}
	return true
}

// byEnd is a heap of work; what must end first is first.
type byEnd []interval

func (h byEnd) Len() int           { return len(h) }
func (h byEnd) Less(i, j int) bool { return h[i].to < h[j].to }
func (h byEnd) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byEnd) Push(x any)        { *h = append(*h, x.(interval)) }

func (h *byEnd) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
