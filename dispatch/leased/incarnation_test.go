package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// Guards against a list of another incarnation that is taken for complete before the
// incarnation has seen a token that keeps late copies of Starts away.
func TestOtherIncarnationIsListedUnderNewToken(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(200 * time.Millisecond)
	var before, after int64
	sim.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
		for _, s := range out.Starts {
			before, after = after, s.Token
		}
	}
	sim.submit(0, "a", 1, 1000, 100*time.Millisecond, 5*time.Second)
	sim.runUntil(time.Second)
	sim.crashEndpoint("e00")
	sim.runUntil(6 * time.Second)
	sim.submit(0, "b", 1, 1000, 100*time.Millisecond, 5*time.Second)
	sim.runUntil(8 * time.Second)
	if before == 0 || after <= before {
		t.Errorf("tokens %d and %d, want a higher one for the next incarnation", before, after)
	}
}

// Guards against a holder that takes the refusal of its own earlier token for another
// holder, and then releases the runs of the endpoint.
func TestOwnNewTokenIsNoOtherHolder(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(200 * time.Millisecond)
	var first *leased.Start
	sim.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
		if first == nil && len(out.Starts) > 0 {
			start := out.Starts[0]
			first = &start
			sim.unreachable["e00"] = true
		}
	}
	sim.submit(0, "a", 1, 1000, 100*time.Millisecond, 5*time.Second)
	sim.unreachable["e00"] = false
	sim.endpoints["e00"].Restart(2)
	sim.specs[0].Born = 2
	sim.announce()
	sim.runUntil(sim.now + time.Millisecond)
	sim.step(0, &leased.StartReply{Endpoint: "e00", Task: first.Task, Run: first.Run, Result: leased.StartFenced})
	sim.runUntil(sim.now + time.Second)
	if n := sim.endpointEventCounts["endpoint_fenced"]; n != 0 {
		t.Errorf("%d times fenced, want none", n)
	}
	if sim.answers["a"].Verdict != leased.Completed {
		t.Errorf("answer %+v, want done", sim.answers["a"])
	}
}

// Guards against leases that end on the clock of an earlier incarnation, which is far
// ahead: its reply to a Start arrives after the next one was noticed.
func TestReplyOfEarlierIncarnationSetsNoClock(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(200 * time.Millisecond)
	var first *leased.Start
	var latest time.Duration // end of the lease of the next job
	sim.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
		if first == nil && len(out.Starts) > 0 {
			start := out.Starts[0]
			first = &start
			sim.unreachable["e00"] = true
		}
		for _, s := range out.Starts {
			if s.Task.Job == "b" {
				latest = max(latest, s.Until)
			}
		}
	}
	sim.submit(0, "a", 1, 1000, 100*time.Millisecond, 5*time.Second)
	sim.unreachable["e00"] = false
	sim.endpoints["e00"].Restart(2)
	sim.specs[0].Born = 2
	sim.announce()
	sim.runUntil(sim.now + 10*time.Millisecond) // the new incarnation has listed its runs
	sim.step(0, &leased.StartReply{Endpoint: "e00", Task: first.Task, Run: first.Run, Result: leased.StartAccepted, Clock: time.Hour})
	sim.submit(0, "b", 1, 1000, 100*time.Millisecond, 5*time.Second)
	if latest == 0 || latest > time.Minute {
		t.Errorf("a lease until %v on the clock of an endpoint that has just started", latest)
	}
}

// Guards against an end that no entry has seen and that an endpoint forgets: its new
// incarnation numbers its ends anew, and takes the acknowledgement of the earlier one's for
// theirs. The endpoint may have started again unnoticed before the Start.
func TestNothingIsAcknowledgedToAnEndpointThatMayHaveStartedAgain(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(200 * time.Millisecond)
	sim.submitJob(0, storedJob("before", 2, 100*time.Millisecond), 100*time.Millisecond)
	sim.runUntil(3 * time.Second)
	if n := len(sim.endpoints["e00"].Unacknowledged()); n != 0 {
		t.Fatalf("%d ends are not acknowledged", n)
	}
	answered := false
	var first, later int64 = -1, -1 // LastSeen of the Holds since the next Start
	sim.stepped = func(_ int, in leased.Input, out *leased.Actions) {
		if _, ok := in.(*leased.HoldReply); ok && first >= 0 {
			answered = true
		}
		for _, h := range out.Holds {
			switch {
			case !answered:
				first = max(first, h.LastSeen)
			default:
				later = max(later, h.LastSeen)
			}
		}
	}
	sim.submitJob(0, storedJob("j", 1, 100*time.Millisecond), 100*time.Millisecond)
	sim.runUntil(6 * time.Second)
	if first != 0 {
		t.Errorf("the first Hold acknowledges the ends up to %d, want none", first)
	}
	if later != 3 || len(sim.endpoints["e00"].Unacknowledged()) != 0 {
		t.Errorf("after an answer, Holds acknowledge the ends up to %d, want 3", later)
	}
}
