package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

const (
	adoptedRunTime = 1500 * time.Millisecond
	// adoptedAt is when a holder takes over, a second after the start of the runs.
	adoptedAt = 1100 * time.Millisecond
)

// takeOver starts a job of eight tasks at holder 0, two on each endpoint, and lets holder
// 1 take over its endpoints and the job a second later. before is called when the
// endpoints are known, lost when holder 0 has crashed.
func takeOver(t *testing.T, before, lost func(*simulation)) *simulation {
	t.Helper()
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 5)
	before(sim)
	sim.runUntil(100 * time.Millisecond)
	sim.submit(0, "j", 8, 27_000, adoptedRunTime, 10*time.Second)
	sim.runUntil(adoptedAt)
	sim.crashed[0] = true
	lost(sim)
	for id := range sim.holderOf {
		sim.holderOf[id] = 1
	}
	sim.announce()
	sim.runUntil(adoptedAt + 20*time.Millisecond)
	job := sim.submissions[1].job
	job.Resubmitted = true
	sim.submitJob(1, job, adoptedRunTime)
	sim.runUntil(12 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed", a)
	}
	sim.wantNoDoubleRuns()
	return sim
}

// startsOf counts the starts of the job that takeOver submits.
func startsOf(sim *simulation) int {
	starts := 0
	for task := range 8 {
		starts += sim.startCounts[leased.TaskID{Job: "j", Index: task}]
	}
	return starts
}

// A holder adopts runs that have been under way for a second, and starts a task of the
// same step whose run was lost. Guards against run times that count from the adoption:
// compared with them, the started run is too slow, and is stopped and started elsewhere
// without need.
func TestAdoptedRunsAreNotTakenForShort(t *testing.T) {
	sim := takeOver(t, func(*simulation) {}, func(sim *simulation) {
		sim.crashEndpoint("e00") // with the runs of two tasks
	})
	if starts, want := startsOf(sim), 8+2; starts != want {
		t.Errorf("%d starts, want %d: two runs were lost", starts, want)
	}
}

// Guards against adopted runs that are never compared with others because it is unknown
// when they began: two of them are ten times slower than their siblings, or hang.
func TestAdoptedStragglersAreMoved(t *testing.T) {
	for name, fault := range map[string]func(*simulation){
		"slow":  func(sim *simulation) { sim.endpoints["e01"].Speed = 0.1 },
		"hangs": func(sim *simulation) { sim.endpoints["e01"].Hangs = true },
	} {
		t.Run(name, func(t *testing.T) {
			sim := takeOver(t, fault, func(*simulation) {})
			if starts, want := startsOf(sim), 8+2; starts != want {
				t.Errorf("%d starts, want %d: two runs straggle", starts, want)
			}
			if took := sim.answeredAt["j"] - adoptedAt; took > 6*time.Second {
				t.Errorf("answered %v after the adoption, want at most 6 s", took)
			}
		})
	}
}
