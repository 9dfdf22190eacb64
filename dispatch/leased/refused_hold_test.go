package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// Guards against a task that waits for ever for a run that has ended with its lease,
// because each Hold is refused: a response counts as a sign of life, but nothing renews
// the lease meanwhile.
func TestRunWhoseHoldsAreRefusedEndsWithItsLease(t *testing.T) {
	for name, moved := range map[string]bool{"by the endpoint": false, "by another server, whose address its record has": true} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.addEndpoints(0, 2)
			sim.runUntil(200 * time.Millisecond)
			sim.submit(0, "a", 4, 32_000, 3*time.Second, 30*time.Second) // two tasks on each endpoint
			sim.runUntil(400 * time.Millisecond)
			sim.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
				var others []leased.Hold
				for _, h := range out.Holds {
					if h.Endpoint != "e00" {
						others = append(others, h)
						continue
					}
					sim.after(2*networkDelay, func() {
						sim.step(0, &leased.HoldReply{Endpoint: h.Endpoint, Sequence: h.Sequence, Result: leased.HoldUnhealthy})
					})
				}
				out.Holds = others
			}
			if moved {
				sim.specs[0].Address = "e99"
				sim.announce()
			}
			sim.runUntil(25 * time.Second)
			sim.wantNoDoubleRuns()
			if a, answered := sim.answers["a"]; !answered || a.Verdict != leased.Completed {
				t.Errorf("answered %t, %+v, 24 s after the leases ended, want completed on the other endpoint; the core counts %d runs", answered, a, sim.cores[0].Status().Running)
			}
		})
	}
}
