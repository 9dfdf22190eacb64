package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// lateStart is a run of a task whose Start is held up on its way to a silent endpoint.
type lateStart struct {
	*simulation
	first leased.Start // the newest copy of the Start
	other leased.EndpointID
}

// startLate submits a job whose Start gets no reply, because the endpoint is cut off. With
// confirmed set, another copy of the Start is answered before.
func startLate(t *testing.T, confirmed bool) *lateStart {
	t.Helper()
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(200 * time.Millisecond)
	s := &lateStart{simulation: sim}
	sim.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
		if s.first.Task.Job == "" && len(out.Starts) > 0 {
			s.first = out.Starts[0]
		}
	}
	if confirmed {
		sim.lossRate = 1 // the first copy
	} else {
		sim.unreachable["e00"], sim.unreachable["e01"] = true, true
	}
	job := singleTaskJob("j")
	job.Steps[0].Estimate, job.CallerTimeout = longRun, 10*longRun
	sim.submitJob(0, job, longRun)
	sim.lossRate = 0
	s.other = "e01"
	if s.first.Endpoint == s.other {
		s.other = "e00"
	}
	sim.unreachable[s.other] = false
	sim.runUntil(400 * time.Millisecond)
	return s
}

// Guards against a Stop of a Start that was given up which is sent only once, and lost.
func TestStopOfALateStartIsRepeated(t *testing.T) {
	s := startLate(t, false)
	s.announceLeaving(s.first.Endpoint) // the task goes to the other one
	s.runUntil(sentLongAgo)
	s.stopsLost = true
	s.unreachable[s.first.Endpoint] = false
	stops := 0
	s.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
		for _, stop := range out.Stops {
			if stop.Task == s.first.Task && stop.Run == s.first.Run {
				stops++
			}
		}
	}
	s.runUntil(s.now + 2*time.Second)
	if stops < 3 {
		t.Errorf("%d Stops, want at least 3", stops)
	}
	s.stopsLost = false
	s.runUntil(s.now + time.Second)
	stops = 0
	s.runUntil(s.now + time.Second)
	if stops != 0 {
		t.Errorf("%d Stops after an answered one, want none", stops)
	}
}

// sentLongAgo is a time at which a Start has been without a reply for longer than a lease.
const sentLongAgo = 5 * time.Second

// announceLeaving announces that an endpoint leaves, so that it gets no task.
func (sim *simulation) announceLeaving(id leased.EndpointID) {
	for i := range sim.specs {
		if sim.specs[i].ID == id {
			sim.specs[i].Leaving = true
		}
	}
	sim.announce()
}
