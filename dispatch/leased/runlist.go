package leased

import (
	"iter"
	"slices"
)

// runList holds the runs of an endpoint in the order in which they were added, so
// that the same inputs cause the same actions in the same order. It is searched
// linearly: an endpoint has a few tens of runs at most.
type runList []*run

// find returns the run of a task, or nil.
func (l runList) find(id TaskID) *run {
	for _, r := range l {
		if r.id == id {
			return r
		}
	}
	return nil
}

// remove removes a run.
func (l *runList) remove(r *run) {
	if at := slices.Index(*l, r); at >= 0 {
		*l = slices.Delete(*l, at, at+1)
	}
}

// all iterates over the runs. Unlike with a range over the slice, the current run
// may be removed.
func (l *runList) all() iter.Seq[*run] {
	return func(yield func(*run) bool) {
		for i := 0; i < len(*l); {
			r := (*l)[i]
			if !yield(r) {
				return
			}
			if i < len(*l) && (*l)[i] == r {
				i++
			}
		}
	}
}
