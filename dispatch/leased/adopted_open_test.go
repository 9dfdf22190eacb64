package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// A holder adopts runs that have been under way for a second, and starts a task of the
// same step whose run was lost. Guards against run times that count from the adoption:
// compared with them, the started run is too slow, and is stopped and started elsewhere
// without need.
func TestAdoptedRunsAreNotTakenForShort(t *testing.T) {
	const (
		runTime   = 1500 * time.Millisecond
		takenOver = 1100 * time.Millisecond // a second after the start of the runs
	)
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 5)
	sim.runUntil(100 * time.Millisecond)
	sim.submit(0, "j", 8, 27_000, runTime, 10*time.Second)
	sim.runUntil(takenOver)
	sim.crashed[0] = true
	sim.crashEndpoint("e00") // with the runs of two tasks
	for id := range sim.holderOf {
		sim.holderOf[id] = 1
	}
	sim.announce()
	sim.runUntil(takenOver + 20*time.Millisecond)
	job := sim.submissions[1].job
	job.Resubmitted = true
	sim.submitJob(1, job, runTime)
	sim.runUntil(12 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed", a)
	}
	starts := 0
	for task := range 8 {
		starts += sim.startCounts[leased.TaskID{Job: "j", Index: task}]
	}
	if want := 8 + 2; starts != want {
		t.Errorf("%d starts, want %d: two runs were lost", starts, want)
	}
	sim.wantNoDoubleRuns()
}
