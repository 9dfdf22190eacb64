package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// planTolerance is how much later than its latest start a job may be planned. Run
// time estimates are off by about 40%, so smaller differences mean nothing.
const planTolerance = 20 * time.Millisecond

// priced is a waiting job with its price.
type priced struct {
	*Job
	price      float64
	guaranteed bool // part of its class's floor
}

// compareCost compares what the rejection of two jobs costs: those that belong to
// a floor cost more than all others.
func compareCost(a, b *priced) int {
	switch {
	case !a.guaranteed && b.guaranteed:
		return -1
	case a.guaranteed && !b.guaranteed:
		return 1
	}
	return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.ID, b.ID))
}

// byCost is a heap of jobs; the cheapest to reject is first.
type byCost []*priced

func (h byCost) Len() int           { return len(h) }
func (h byCost) Less(i, j int) bool { return compareCost(h[i], h[j]) < 0 }
func (h byCost) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byCost) Push(x any)        { *h = append(*h, x.(*priced)) }

func (h *byCost) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// excess returns the jobs to reject so that the others can start in time. Jobs are
// planned in order of their latest start; whenever one would start too late, the
// one that costs least to reject is taken out (after Moore and Hodgson).
func excess(state *State, jobs []*priced) []*priced {
	var ahead float64 // core-seconds
	var open []*priced
	for _, j := range jobs {
		if j.Protected {
			ahead += j.Waiting
			continue
		}
		open = append(open, j)
	}
	slices.SortFunc(open, func(a, b *priced) int {
		return cmp.Or(a.LatestStart.Compare(b.LatestStart), cmp.Compare(a.ID, b.ID))
	})
	var accepted byCost
	var out []*priced
	for _, j := range open {
		heap.Push(&accepted, j)
		ahead += j.Waiting
		for len(accepted) > 0 && startsLate(state, ahead, j) {
			cheapest := heap.Pop(&accepted).(*priced)
			ahead -= cheapest.Waiting
			out = append(out, cheapest)
			if cheapest == j {
				break
			}
		}
	}
	return out
}

// startsLate reports whether the last task of a job would start too late behind
// the given core-seconds of work, which include the job's own. Idle cores do their
// share of the work during the job's span.
func startsLate(state *State, ahead float64, j *priced) bool {
	lastTask := j.Waiting / float64(max(1, j.Tasks))
	before := ahead - lastTask - state.Free*j.Span.Seconds()
	if before <= 0 || state.Capacity <= 0 {
		return false
	}
	start := state.Now.Add(time.Duration(before / state.Capacity * float64(time.Second)))
	return start.After(j.LatestStart.Add(planTolerance))
}
