package leased_test

import (
	"slices"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// resubmitted returns a job as its caller's entry submits it again after the loss of
// a holder.
func resubmitted(job leased.Job) leased.Job {
	job.Resubmitted = true
	return job
}

// Guards against a task that runs twice after connections were reset: its delegate's
// answer was lost, then its job was cancelled and submitted again to the same holder.
// The run at the delegate may be active although the job was cancelled here.
func TestLostDelegationOutlivesCancelledJob(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 2)
	sim.shareFreeCapacity()
	sim.runUntil(200 * time.Millisecond)
	other := singleTaskJob("other")
	other.Steps[0].Demand.MilliCores = 60_000 // the holder has no other capacity of its own
	sim.submitJob(0, other, 700*time.Millisecond)
	job := singleTaskJob("j")
	ticket := sim.submitJob(0, job, 2*time.Second)
	sim.runUntil(300 * time.Millisecond)
	task := leased.TaskID{Job: "j"}
	delegated, ok := sim.delegations[task]
	if !ok {
		t.Fatal("the task was not delegated")
	}
	sim.isolated[1] = true // announces nothing, so that it cannot be asked for the run
	sim.runUntil(time.Second)
	sim.endDelegation(0, task, leased.EndUnknown, false)
	sim.step(0, &leased.Cancel{Ticket: ticket})
	sim.after(40*time.Millisecond, func() { sim.step(1, &leased.Cancel{Ticket: delegated.ticket}) })
	sim.submitJob(0, resubmitted(job), 900*time.Millisecond)
	sim.runUntil(8 * time.Second)
	sim.wantNoDoubleRuns()
	if a := sim.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed", a)
	}
}

// Guards against a task that runs twice because its job was cancelled here once: since
// then it was submitted to another holder, which has started it and was lost.
func TestCancelledJobThatRanElsewhereSince(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 2)
	sim.addEndpoints(1, 2)
	sim.runUntil(200 * time.Millisecond)
	job := singleTaskJob("j")
	ticket := sim.submitJob(0, job, 900*time.Millisecond)
	sim.runUntil(300 * time.Millisecond)
	sim.step(0, &leased.Cancel{Ticket: ticket})
	second := sim.submitJob(1, resubmitted(job), 900*time.Millisecond)
	sim.runUntil(3 * time.Second) // the second holder has waited for 2.25 s at most
	if n := activeRuns(sim, "j"); n != 1 {
		t.Fatalf("%d runs are active at the second loss, want one", n)
	}
	sim.after(40*time.Millisecond, func() { sim.step(1, &leased.Cancel{Ticket: second}) })
	sim.submitJob(0, resubmitted(job), 900*time.Millisecond)
	sim.runUntil(8 * time.Second)
	sim.wantNoDoubleRuns()
}

// Guards against a log that shows a restart as a first run: an operator who looks for the
// cause of a double run must see which later starts rest on the word of the only holder.
func TestEvidenceOfResubmittedJob(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	var evidence []leased.Evidence
	sim.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
		for i := range out.Starts {
			evidence = append(evidence, out.Starts[i].Evidence)
		}
	}
	sim.runUntil(200 * time.Millisecond)
	job := singleTaskJob("j")
	ticket := sim.submitJob(0, job, 900*time.Millisecond)
	sim.runUntil(300 * time.Millisecond)
	sim.step(0, &leased.Cancel{Ticket: ticket})
	job.OnlyHolder = true
	sim.submitJob(0, resubmitted(job), 900*time.Millisecond)
	sim.runUntil(3 * time.Second)
	want := []leased.Evidence{leased.EvidenceFirstRun, leased.EvidenceOnlyHolder}
	if !slices.Equal(evidence, want) {
		t.Errorf("evidence of the starts %v, want %v", evidence, want)
	}
}
