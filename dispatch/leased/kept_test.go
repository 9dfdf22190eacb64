package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

// storedJob is a job of equal tasks that outlives its caller.
func storedJob(id leased.JobID, tasks int, run time.Duration) leased.Job {
	return leased.Job{
		ID: id, Service: "s", Queue: "q", MaxAttempts: 2, Stretch: 1.6, Slack: 60 * time.Millisecond, Patience: time.Hour, Kept: true,
		Steps: []leased.Step{{Tasks: tasks, Demand: leased.Demand{MilliCores: 27_000, MemoryMiB: 64}, Estimate: run}},
	}
}

// An endpoint may forget the end of a kept job's run only once it is stored.
func TestEndsOfStoredJobsAreAcknowledgedOnceStored(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.unresponsiveOwner = true
	sim.runUntil(100 * time.Millisecond)
	sim.submitJob(0, storedJob("j", 2, 100*time.Millisecond), 100*time.Millisecond)
	sim.runUntil(3 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
	if n := len(sim.endpoints["e00"].Ends()); n != 2 {
		t.Errorf("the endpoint lists %d ends, want both until they are stored", n)
	}
	if n := sim.pollCounts["e00"]; n > 120 {
		t.Errorf("%d looks at the endpoint in 3 s", n)
	}
	sim.unresponsiveOwner = false
	sim.acknowledgeReports()
	sim.runUntil(5 * time.Second)
	if n := len(sim.endpoints["e00"].Ends()); n != 0 {
		t.Errorf("the endpoint still lists %d ends, though they are stored", n)
	}
}

// A holder dies after a run of a kept job has ended. The next one finds the end
// on the endpoint and reports it, though nobody has given it the job.
func TestSuccessorReportsEndsThatItFinds(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.unresponsiveOwner = true
	sim.runUntil(100 * time.Millisecond)
	sim.submitJob(0, storedJob("j", 1, 100*time.Millisecond), 100*time.Millisecond)
	sim.runUntil(150 * time.Millisecond)
	sim.crashed[0] = true
	sim.runUntil(400 * time.Millisecond)
	before := len(sim.reports)
	sim.holderOf["e00"] = 1
	sim.announce()
	sim.runUntil(2 * time.Second)
	found := false
	for _, r := range sim.reports[before:] {
		found = found || r.Task.Job == "j" && !r.Begun && r.End == leased.EndDone
	}
	if !found {
		t.Errorf("reports %+v, want the end of the run", sim.reports[before:])
	}
}

// The owner dies before it has stored the end of a run. The next one offers the
// job to the same holder, which knows that the task is done.
func TestHolderRemembersEndsNotYetStored(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.unresponsiveOwner = true
	sim.runUntil(100 * time.Millisecond)
	ticket := sim.submitJob(0, storedJob("j", 1, 50*time.Millisecond), 50*time.Millisecond)
	job := storedJob("k", 2, 50*time.Millisecond)
	job.Steps = append(job.Steps, leased.Step{Tasks: 1, After: []int{0}, Demand: job.Steps[0].Demand, Estimate: 2 * time.Second})
	second := sim.submitJob(0, job, 50*time.Millisecond)
	sim.work["k"] = leasedtest.Work{Demand: job.Steps[0].Demand, Time: 300 * time.Millisecond}
	sim.runUntil(500 * time.Millisecond)
	sim.step(0, &leased.Cancel{Ticket: ticket})
	sim.step(0, &leased.Cancel{Ticket: second})
	for _, again := range []leased.Job{storedJob("j", 1, 50*time.Millisecond), job} {
		again.Resubmitted = true
		sim.submitJob(0, again, 300*time.Millisecond)
	}
	sim.runUntil(4 * time.Second)
	for id, want := range map[leased.TaskID]int{{Job: "j"}: 1, {Job: "k"}: 1, {Job: "k", Index: 1}: 1} {
		if n := sim.startCounts[id]; n != want {
			t.Errorf("task %v was started %d times, want %d", id, n, want)
		}
	}
	for _, id := range []leased.JobID{"j", "k"} {
		if a := sim.answers[id]; a.Verdict != leased.Completed {
			t.Errorf("job %s: %+v, want completed", id, a)
		}
	}
}

// A job comes again to a holder that has just taken an endpoint over. The
// endpoint's list says a little later that the task is done.
func TestEndFoundAfterJobIsResubmitted(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	sim.unresponsiveOwner = true
	sim.runUntil(100 * time.Millisecond)
	sim.submitJob(0, storedJob("j", 1, 100*time.Millisecond), 100*time.Millisecond)
	sim.runUntil(300 * time.Millisecond)
	sim.crashed[0] = true
	again := storedJob("j", 1, 100*time.Millisecond)
	again.Resubmitted = true
	sim.submitJob(1, again, 100*time.Millisecond)
	sim.runUntil(350 * time.Millisecond)
	sim.holderOf["e00"] = 1
	sim.announce()
	sim.runUntil(4 * time.Second)
	if n := sim.startCounts[leased.TaskID{Job: "j"}]; n != 1 {
		t.Errorf("the task was started %d times, want once", n)
	}
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

// An owner offers a job anew with what it has learned meanwhile.
func TestRepeatedSubmitAppliesProgress(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(100 * time.Millisecond)
	job := storedJob("j", 2, 200*time.Millisecond)
	job.Resubmitted = true
	sim.submitJob(0, job, 200*time.Millisecond)
	job.Progress = []leased.TaskProgress{{Index: 1, Done: true}}
	sim.submitJob(0, job, 200*time.Millisecond)
	sim.runUntil(4 * time.Second)
	if n := sim.startCounts[leased.TaskID{Job: "j", Index: 1}]; n != 0 {
		t.Errorf("the task that is done was started %d times", n)
	}
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

// A run is withdrawn, but ends before the order to stop comes; its job has come
// again meanwhile.
func TestCancelledRunThatCompletesIsNotRepeated(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	ticket := sim.submitJob(0, storedJob("j", 1, 200*time.Millisecond), 200*time.Millisecond)
	sim.runUntil(200 * time.Millisecond)
	sim.lossRate = 1 // the order to stop
	sim.step(0, &leased.Cancel{Ticket: ticket})
	sim.lossRate = 0
	again := storedJob("j", 1, 200*time.Millisecond)
	again.Resubmitted = true
	sim.submitJob(0, again, 200*time.Millisecond)
	sim.runUntil(4 * time.Second)
	if n := sim.startCounts[leased.TaskID{Job: "j"}]; n != 1 {
		t.Errorf("the task was started %d times, want once", n)
	}
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

func TestCompletionReceivedBeforeItsJobIsRemembered(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(100 * time.Millisecond)
	sim.step(0, &leased.Learned{Task: leased.TaskID{Job: "j"}})
	sim.submitJob(0, storedJob("j", 2, 100*time.Millisecond), 100*time.Millisecond)
	sim.runUntil(time.Second)
	if n := sim.startCounts[leased.TaskID{Job: "j"}]; n != 0 {
		t.Errorf("the task that is done was started %d times", n)
	}
}

// A task of a kept job has run at a borrower, which could not report its end
// yet. The job comes again to the lender: the task must not start again.
func TestEndsOfDelegatedTasksAreRemembered(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(1, 2)
	sim.shareFreeCapacity()
	sim.unresponsiveOwner = true
	sim.runUntil(100 * time.Millisecond)
	job := storedJob("j", 3, 200*time.Millisecond)
	job.Steps = append(job.Steps, leased.Step{Tasks: 1, After: []int{0}, Demand: job.Steps[0].Demand, Estimate: 2 * time.Second})
	ticket := sim.submitJob(0, job, 200*time.Millisecond)
	sim.runUntil(400 * time.Millisecond) // the last step is at work
	sim.step(0, &leased.Cancel{Ticket: ticket})
	again := job
	again.Resubmitted = true
	sim.submitJob(0, again, 200*time.Millisecond)
	sim.runUntil(6 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
	for index := range 3 {
		if n := sim.startCounts[leased.TaskID{Job: "j", Index: index}]; n != 1 {
			t.Errorf("task %d was started %d times, want once", index, n)
		}
	}
}

func TestStoredJobResumesFromProgress(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	job := storedJob("j", 3, 50*time.Millisecond)
	job.Resubmitted = true
	job.Progress = []leased.TaskProgress{{Index: 1, Done: true, Newest: 1<<20 + 40}, {Index: 2, Failures: 1}}
	sim.submitJob(0, job, 50*time.Millisecond)
	sim.runUntil(3 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
	for index, want := range []int{1, 0, 1} {
		if n := sim.startCounts[leased.TaskID{Job: "j", Index: index}]; n != want {
			t.Errorf("task %d was started %d times, want %d", index, n, want)
		}
	}
}

func TestStoredJobWaitsForCapacityWithoutTimeLimit(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(100 * time.Millisecond)
	sim.submit(0, "b", 2, 27_000, 5*time.Second, 20*time.Second)
	sim.submitJob(0, storedJob("j", 1, 50*time.Millisecond), 50*time.Millisecond)
	sim.runUntil(7 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took < 4*time.Second {
		t.Errorf("answer %+v, want completed once there is room", a)
	}
}

// The owner has learned from another holder that a task is done, so a run of it
// here is in vain.
func TestTaskDoneElsewhereIsNotRun(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(100 * time.Millisecond)
	sim.submitJob(0, storedJob("j", 2, time.Second), time.Second)
	sim.runUntil(200 * time.Millisecond)
	sim.step(0, &leased.Learned{Task: leased.TaskID{Job: "j", Index: 0}})
	sim.runUntil(400 * time.Millisecond)
	if n := len(sim.endpoints["e00"].Running()); n != 1 {
		t.Errorf("%d runs, want the other task's alone", n)
	}
	sim.step(0, &leased.Learned{Task: leased.TaskID{Job: "j", Index: 1}})
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

// While an entry cannot be reached, it may have seen ends that nobody else
// knows of. Tasks of kept jobs that may have run there wait for its return.
func TestTasksThatMayHaveEndedElsewhereWait(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.step(0, &leased.SetReach{Lacking: true})
	again := storedJob("j", 2, 50*time.Millisecond)
	again.Resubmitted = true
	sim.submitJob(0, again, 50*time.Millisecond)
	sim.submitJob(0, storedJob("new", 1, 50*time.Millisecond), 50*time.Millisecond)
	sim.runUntil(4 * time.Second)
	if n := sim.startCounts[leased.TaskID{Job: "j"}]; n != 0 {
		t.Errorf("the task was started %d times while an entry is out of reach", n)
	}
	if a := sim.answers["new"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("a job without earlier runs: %+v, want completed", a)
	}
	sim.step(0, &leased.SetReach{Lacking: false})
	sim.after(time.Second, func() { sim.step(0, &leased.Learned{Task: leased.TaskID{Job: "j"}}) })
	sim.runUntil(7 * time.Second)
	if n := sim.startCounts[leased.TaskID{Job: "j"}]; n != 0 {
		t.Errorf("the task was started %d times, though its end was reported", n)
	}
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

func TestTasksDoNotWaitForeverForUnreachableEntry(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.step(0, &leased.SetReach{Lacking: true})
	again := storedJob("j", 2, 50*time.Millisecond)
	again.Resubmitted = true
	sim.submitJob(0, again, 50*time.Millisecond)
	sim.runUntil(10 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}
