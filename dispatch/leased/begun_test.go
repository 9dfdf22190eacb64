package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// begunReports counts the reports that a run of a job has begun.
func begunReports(sim *simulation, id leased.JobID) int {
	n := 0
	for _, r := range sim.reports {
		if r.Task.Job == id && r.Begun {
			n++
		}
	}
	return n
}

// Guards against jobs that count as begun while no run has begun (rig2 -case pending): another
// holder refuses their tasks again and again, because the endpoints there are busy or have
// another label.
func TestRefusedTaskDoesNotCountAsBegun(t *testing.T) {
	sim := labelledSimulation(t, "a", "b")
	sim.specs[3].Labels = []string{"x"} // free, and announced like any other
	sim.announce()
	busy := storedJob("busy", 2, 3*time.Second)
	busy.Steps[0].Label = "b"
	sim.submitJob(1, busy, 3*time.Second)
	sim.runUntil(200 * time.Millisecond)
	waiting := storedJob("waiting", 1, 100*time.Millisecond)
	waiting.Steps[0].Label = "b"
	sim.submitJob(0, waiting, 100*time.Millisecond)
	sim.runUntil(2 * time.Second)
	if sim.delegatedRuns[leased.TaskID{Job: "waiting"}] == 0 {
		t.Fatal("the task was not delegated: the test shows nothing")
	}
	if n := begunReports(sim, "waiting"); n != 0 {
		t.Errorf("%d reports that the waiting job has begun", n)
	}
	sim.runUntil(5 * time.Second)
	for _, id := range []leased.JobID{"waiting", "busy"} {
		if begunReports(sim, id) == 0 {
			t.Errorf("no report that job %s has begun", id)
		}
	}
}
