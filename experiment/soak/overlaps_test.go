package soak

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

// Guards against a check that misses two runs of a task on two executors, or takes a
// run that has ended for an active one.
func TestOverlapsAreFound(t *testing.T) {
	task := leased.TaskID{Job: "j"}
	work := func(leased.TaskID) leasedtest.Work { return leasedtest.Work{Time: 100 * time.Millisecond} }
	var executors []*leasedtest.Endpoint
	for run, id := range []leased.EndpointID{"x", "y"} {
		e := leasedtest.New(id, leased.Demand{MilliCores: 1000}, work)
		e.Start(0, &leased.Start{Task: task, Run: run + 1, Until: time.Second})
		executors = append(executors, e)
	}
	found := overlapsIn(executors)
	want := overlap{task, [2]leased.EndpointID{"x", "y"}, [2]int{1, 2}}
	if len(found) != 1 || found[0] != want {
		t.Errorf("found %v, want %v", found, want)
	}
	executors[0].Advance(200 * time.Millisecond)
	if found := overlapsIn(executors); len(found) != 0 {
		t.Errorf("found %v after the end of one run, want none", found)
	}
}
