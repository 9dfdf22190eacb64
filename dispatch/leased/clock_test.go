package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// Guards against a Start on an idle endpoint whose lease is much too short, because the
// clock was not read for long, and against polls of all endpoints in one step.
func TestIdleClocksAreReadInTurn(t *testing.T) {
	const (
		endpoints     = 50
		pollsAtOnce   = 8 // one in 20 ms on average
		readingMaxAge = 5*time.Second + 2*leased.TickInterval
	)
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, endpoints)
	read := make(map[leased.EndpointID]time.Duration)
	most := 0
	sim.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
		if sim.now > time.Second {
			most = max(most, len(out.Holds))
		}
		for _, h := range out.Holds {
			if age := sim.now - read[h.Endpoint]; age > readingMaxAge {
				t.Errorf("%v: the clock of %s was not read for %v", sim.now, h.Endpoint, age)
			}
			if h.Until > 0 || h.Wait > 0 {
				t.Errorf("%v: the Hold extends until %v and waits %v", sim.now, h.Until, h.Wait)
			}
			read[h.Endpoint] = sim.now
		}
	}
	sim.runUntil(30 * time.Second)
	if most > pollsAtOnce {
		t.Errorf("%d endpoints polled in one step, want %d at most", most, pollsAtOnce)
	}
	for _, id := range sim.endpointIDs {
		if sim.now-read[id] > readingMaxAge || sim.pollCounts[id] > 9 {
			t.Errorf("%s: %d polls, the newest at %v", id, sim.pollCounts[id], read[id])
		}
	}
}

// Guards against an idle endpoint that gets no tasks because a request that only reads
// its clock was lost.
func TestLostClockReadingTakesNoEndpointAway(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(time.Second)
	polls := 0
	sim.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
		polls += len(out.Holds)
		sim.unreachable["e00"] = polls == 1
		if len(sim.cores[0].FreeCapacity("c0", 1)) == 0 {
			t.Errorf("%v: the endpoint gets no tasks", sim.now)
		}
	}
	sim.runUntil(8 * time.Second)
	if polls < 2 {
		t.Errorf("%d polls, want the lost one repeated", polls)
	}
}

// Guards against a lease that is counted from an old reading as if no clock were slow: a
// Start that is executed late would still be accepted. Also guards against a lease that
// is shorter than a clock that is 2% slow requires.
func TestLeaseAllowsForTheSlowestClock(t *testing.T) {
	const (
		age    = 3 * time.Second // of the reading
		behind = age * 2 / 100   // of a slow clock
	)
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(age)
	var lease time.Duration
	sim.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
		for _, s := range out.Starts {
			lease = s.Until - sim.now
		}
	}
	sim.submit(0, "j", 1, 1000, 100*time.Millisecond, time.Second)
	if longest := maxLease - behind; lease > longest || lease < longest-2*networkDelay {
		t.Errorf("lease of %v, want %v", lease, longest)
	}
}
