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

// deliver delivers a copy of the Start, whose lease has not ended on the clock of the
// incarnation that gets it.
func (s *lateStart) deliver() leased.StartResult {
	late := s.first
	late.Until = s.now + maxLease
	r := s.endpoints[late.Endpoint].Start(s.now, &late)
	s.advanceEndpoint(late.Endpoint)
	return r.Result
}

// Guards against a second run of a task on another endpoint while its first endpoint is
// silent: the next incarnation under the same ID has no token, and executes a copy of the
// first Start before any Hold of the holder.
func TestNoSecondRunWhileAStartMayBeExecutedLate(t *testing.T) {
	for name, confirmed := range map[string]bool{"no copy was answered": false, "another copy was answered": true} {
		t.Run(name, func(t *testing.T) {
			for _, down := range []time.Duration{1500 * time.Millisecond, 4 * time.Second, 9 * time.Second} {
				s := startLate(t, confirmed)
				s.unreachable[s.first.Endpoint] = false
				s.downTime = down
				s.crashEndpoint(s.first.Endpoint)
				s.runUntil(s.now + down)
				if result := s.deliver(); result != leased.StartAccepted {
					t.Fatalf("down for %v: the late copy was refused: %v", down, result)
				}
				s.runUntil(s.now + 4*longRun)
				s.wantNoDoubleRuns()
				if a := s.answers["j"]; a.Verdict != leased.Completed {
					t.Errorf("down for %v: answer %+v, want completed", down, a)
				}
			}
		})
	}
}

// Guards against a task that waits although the endpoint answers again: no copy of its
// Start can be executed there any more.
func TestTaskOfALateStartGoesOnWithTheFirstAnswer(t *testing.T) {
	s := startLate(t, false)
	s.runUntil(5 * time.Second)
	s.unreachable[s.first.Endpoint] = false
	s.runUntil(s.now + 1200*time.Millisecond) // Holds are sent once a second
	if n := activeRuns(s.simulation, "j"); n != 1 {
		t.Errorf("%d runs are active, want one", n)
	}
	if result := s.deliver(); result == leased.StartAccepted {
		t.Error("the late copy was executed")
	}
	s.runUntil(s.now + 4*longRun)
	s.wantNoDoubleRuns()
}

// Guards against a task that waits for ever for an endpoint that is gone.
func TestTaskOfALateStartGoesOnAfterTheLongestDelay(t *testing.T) {
	s := startLate(t, false)
	sentAt := s.now
	s.runUntil(sentAt + 12*time.Second)
	if n := activeRuns(s.simulation, "j"); n != 0 {
		t.Errorf("%d runs are active after 12 s, want none", n)
	}
	s.runUntil(sentAt + 13500*time.Millisecond)
	if run, active := s.endpoints[s.other].RunOf(s.first.Task); !active {
		t.Errorf("run %d, active %t on the other endpoint after 13.5 s", run, active)
	}
}

// Guards against a task that waits for an endpoint whose address another one has: that
// one refuses the copies of its Start.
func TestTaskOfALateStartGoesOnIfItsEndpointIsReplaced(t *testing.T) {
	s := startLate(t, false)
	s.unreachable[s.first.Endpoint] = false
	s.returnsAs = newID
	s.downTime = time.Second
	s.crashEndpoint(s.first.Endpoint)
	s.runUntil(s.now + 2500*time.Millisecond)
	if n := activeRuns(s.simulation, "j"); n != 1 {
		t.Errorf("%d runs are active, want one", n)
	}
}

// Guards against a second run beside a late Start on an endpoint that is no longer
// announced: its holder sees that it has started again, and sends no Hold under the new
// token, because the endpoint may have another holder.
func TestTaskWaitsForALateStartOnADroppedEndpoint(t *testing.T) {
	s := startLate(t, false)
	s.unreachable[s.first.Endpoint] = false
	s.downTime = 200 * time.Millisecond
	s.crashEndpoint(s.first.Endpoint)
	s.holderOf[s.first.Endpoint] = -1
	s.announce()
	s.runUntil(s.now + 3*time.Second)
	if n := s.endpointEventCounts["endpoint_restarted"]; n != 1 {
		t.Fatalf("%d restarts noticed, want one", n)
	}
	if result := s.deliver(); result != leased.StartAccepted {
		t.Fatalf("the late copy was refused: %v", result)
	}
	s.runUntil(s.now + 15*time.Second)
	s.wantNoDoubleRuns()
	if a := s.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed", a)
	}
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
