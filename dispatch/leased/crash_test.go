package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// An endpoint that is lost with its runs has crashed or was cut off. Only a
// crash is attributed to the runs, once another incarnation answers.
func TestCrashIsToldFromCut(t *testing.T) {
	const downTime = 3 * time.Second
	cases := map[string]struct {
		fault       func(*simulation)
		wantCrashes int
	}{
		"crash": {func(sim *simulation) { sim.crashEndpoint("e00") }, 2},
		"crash, returns under another ID": {func(sim *simulation) {
			sim.returnsAs = newID
			sim.crashEndpoint("e00")
		}, 2},
		"crash, returns before the leases expire": {func(sim *simulation) {
			sim.downTime = 400 * time.Millisecond
			sim.crashEndpoint("e00")
		}, 2},
		"cut": {func(sim *simulation) {
			sim.unreachable["e00"] = true
			sim.after(downTime, func() { sim.unreachable["e00"] = false })
		}, 0},
		"planned end": {func(sim *simulation) {
			sim.specs[0].Leaving = true
			sim.announce()
			sim.after(100*time.Millisecond, func() { sim.crashEndpoint("e00") })
		}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.downTime = downTime
			sim.addEndpoints(0, 1)
			sim.runUntil(100 * time.Millisecond)
			sim.submit(0, "j", 2, 27_000, 10*time.Second, 30*time.Second)
			sim.runUntil(200 * time.Millisecond)
			c.fault(sim)
			sim.runUntil(8 * time.Second)
			if len(sim.crashes) != c.wantCrashes {
				t.Fatalf("%d crashes %+v, want %d", len(sim.crashes), sim.crashes, c.wantCrashes)
			}
			for _, crash := range sim.crashes {
				if crash.Endpoint != "e00" || crash.Task.Job != "j" || crash.Run != 1 || crash.Alone {
					t.Errorf("crash %+v, want run 1 of job j on e00, not alone", crash)
				}
			}
		})
	}
}

// A run that was alone on an endpoint that crashed is reported so.
func TestCrashUnderRunThatWasAlone(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.deadly[leased.TaskID{Job: "j"}] = true
	sim.submit(0, "j", 1, 27_000, 60*time.Millisecond, 2*time.Second)
	sim.runUntil(5 * time.Second)
	if len(sim.crashes) == 0 || !sim.crashes[0].Alone {
		t.Errorf("crashes %+v, want one under a run that was alone", sim.crashes)
	}
}
