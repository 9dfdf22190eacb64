package leased_test

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// labelledSimulation has cores with two endpoints each, of a label of their own.
func labelledSimulation(t *testing.T, labels ...string) *simulation {
	sim := newSimulation(t, 1, len(labels))
	for core, label := range labels {
		sim.addEndpoints(core, 2)
		for i := range sim.specs {
			if sim.specs[i].Cell == fmt.Sprintf("c%d", core) {
				sim.specs[i].Labels = []string{label}
			}
		}
	}
	sim.announce()
	sim.shareFreeCapacity()
	sim.runUntil(100 * time.Millisecond)
	return sim
}

// Guards against jobs that are never started although the endpoints which they require are
// idle (review/6): after a burst, each of two holders has a job in its queue that needs the
// other's endpoints, and refuses the other's tasks for that reason.
func TestHoldersDoNotRefuseEachOtherForGood(t *testing.T) {
	sim := labelledSimulation(t, "a", "b", "c")
	const jobs = 12 // 48 tasks of 0.5 s on 12 slots
	for n := range jobs {
		job := storedJob(leased.JobID(fmt.Sprintf("j%02d", n)), 4, 500*time.Millisecond)
		job.Steps[0].Label = []string{"a", "b", "c"}[(n+1)%3]
		sim.submitJob(n%3, job, 500*time.Millisecond)
	}
	sim.runUntil(10 * time.Second)
	for n := range jobs {
		id := leased.JobID(fmt.Sprintf("j%02d", n))
		if a := sim.answers[id]; a.Verdict != leased.Completed || a.Took == 0 {
			t.Errorf("job %s: %+v, want completed", id, a)
		}
	}
}

// Guards against delegated tasks that overtake the holder's own queue.
func TestDelegatedTaskDoesNotOvertakeOwnQueue(t *testing.T) {
	sim := labelledSimulation(t, "a", "b")
	big := storedJob("big", 1, 300*time.Millisecond)
	big.Steps[0].Demand.MilliCores = 64_000
	for n := range 2 {
		sim.submitJob(1, sizedJob(leased.JobID(fmt.Sprint("own", n)), 40_000), 300*time.Millisecond)
	}
	big.Steps[0].Label = "b"
	sim.submitJob(1, big, 300*time.Millisecond)
	for n := range 10 {
		job := storedJob(leased.JobID(fmt.Sprint("small", n)), 1, time.Second)
		job.Steps[0].Demand.MilliCores, job.Steps[0].Label = 10_000, "b"
		sim.at(sim.now+time.Duration(n)*40*time.Millisecond, func() { sim.submitJob(0, job, time.Second) })
	}
	sim.runUntil(5 * time.Second)
	if a := sim.answers["big"]; a.Verdict != leased.Completed || a.Took > 700*time.Millisecond {
		t.Errorf("answer %+v, want the job of the holder's own queue to go before delegated tasks", a)
	}
}
