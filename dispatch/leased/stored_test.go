package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

// storedJob returns a job with one step of equal tasks that outlives its caller.
func storedJob(id leased.JobID, tasks int, runTime time.Duration) leased.Job {
	return leased.Job{
		ID: id, Service: "s", Queue: "q", MaxAttempts: 2, Stretch: 1.6, Slack: 60 * time.Millisecond, CallerTimeout: time.Hour, Stored: true,
		Steps: []leased.Step{{Tasks: tasks, Demand: leased.Demand{MilliCores: 27_000, MemoryMiB: 64}, Estimate: runTime}},
	}
}

// workOf returns the work of a task of submit or storedJob that runs for runTime.
func workOf(runTime time.Duration) leasedtest.Work {
	return leasedtest.Work{Demand: leased.Demand{MilliCores: 27_000, MemoryMiB: 64}, Time: runTime}
}

// An endpoint may forget the end of a stored job's run only once the owner has
// stored that end.
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
	if n := len(sim.endpoints["e00"].Unacknowledged()); n != 2 {
		t.Errorf("the endpoint lists %d ends, want both until they are stored", n)
	}
	if n := sim.pollCounts["e00"]; n > 120 {
		t.Errorf("%d polls of the endpoint in 3 s, want at most 120", n)
	}
	sim.unresponsiveOwner = false
	sim.storeReports()
	sim.runUntil(5 * time.Second)
	if n := len(sim.endpoints["e00"].Unacknowledged()); n != 0 {
		t.Errorf("the endpoint still lists %d ends, though they are stored", n)
	}
}

// A holder crashes after a run of a stored job has ended. The new holder finds
// the end on the endpoint and reports it, though the job was not submitted to it.
func TestNewHolderReportsEndsThatItFinds(t *testing.T) {
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

// The owner crashes before it has stored the end of a run. The next owner submits
// the job to the same holder, which knows that the task is done.
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
	for _, resubmitted := range []leased.Job{storedJob("j", 1, 50*time.Millisecond), job} {
		resubmitted.Resubmitted = true
		sim.submitJob(0, resubmitted, 300*time.Millisecond)
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

// A job is resubmitted to a holder that is about to take an endpoint over. The
// endpoint's list then shows that the task is done.
func TestEndFoundAfterJobIsResubmitted(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	sim.unresponsiveOwner = true
	sim.runUntil(100 * time.Millisecond)
	sim.submitJob(0, storedJob("j", 1, 100*time.Millisecond), 100*time.Millisecond)
	sim.runUntil(300 * time.Millisecond)
	sim.crashed[0] = true
	resubmitted := storedJob("j", 1, 100*time.Millisecond)
	resubmitted.Resubmitted = true
	sim.submitJob(1, resubmitted, 100*time.Millisecond)
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

// An owner submits a job again with the progress that it has received meanwhile.
func TestRepeatedSubmitAppliesProgress(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(100 * time.Millisecond)
	job := storedJob("j", 2, 200*time.Millisecond)
	job.Resubmitted = true
	sim.submitJob(0, job, 200*time.Millisecond)
	job.Progress = []leased.TaskProgress{{Index: 1, Done: true}}
	sim.submitJob(0, job, 200*time.Millisecond)
	sim.runUntil(6 * time.Second)
	if n := sim.startCounts[leased.TaskID{Job: "j", Index: 1}]; n != 0 {
		t.Errorf("the task that is done was started %d times", n)
	}
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

// A run is cancelled, but completes because the stop request is lost. Its job has
// been resubmitted meanwhile.
func TestCancelledRunThatCompletesIsNotRepeated(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	ticket := sim.submitJob(0, storedJob("j", 1, 200*time.Millisecond), 200*time.Millisecond)
	sim.runUntil(200 * time.Millisecond)
	sim.lossRate = 1 // the stop request
	sim.step(0, &leased.Cancel{Ticket: ticket})
	sim.lossRate = 0
	resubmitted := storedJob("j", 1, 200*time.Millisecond)
	resubmitted.Resubmitted = true
	sim.submitJob(0, resubmitted, 200*time.Millisecond)
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
	sim.step(0, doneUpdate(leased.TaskID{Job: "j"}))
	sim.submitJob(0, storedJob("j", 2, 100*time.Millisecond), 100*time.Millisecond)
	sim.runUntil(time.Second)
	if n := sim.startCounts[leased.TaskID{Job: "j"}]; n != 0 {
		t.Errorf("the task that is done was started %d times", n)
	}
}

// A task of a stored job has run at a delegate, which could not report its end
// yet. The job is resubmitted to the delegator: the task must not be started
// again.
func TestEndsOfDelegatedTasksAreRemembered(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(1, 2)
	sim.shareFreeCapacity()
	sim.unresponsiveOwner = true
	sim.runUntil(100 * time.Millisecond)
	job := storedJob("j", 3, 200*time.Millisecond)
	job.Steps = append(job.Steps, leased.Step{Tasks: 1, After: []int{0}, Demand: job.Steps[0].Demand, Estimate: 2 * time.Second})
	ticket := sim.submitJob(0, job, 200*time.Millisecond)
	sim.runUntil(400 * time.Millisecond) // the last step is running
	sim.step(0, &leased.Cancel{Ticket: ticket})
	resubmitted := job
	resubmitted.Resubmitted = true
	sim.submitJob(0, resubmitted, 200*time.Millisecond)
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

// Guards against a second run of a task of a stored job that is done: the delegate's
// answer is lost, so that the delegator finds no run and delegates the task again,
// while the owner has not stored the end. Only the delegate knows of it.
func TestDelegateRemembersEndsOfStoredJobs(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(1, 2)
	sim.shareFreeCapacity()
	sim.unresponsiveOwner = true
	sim.delegateAnswersLost = true
	sim.runUntil(100 * time.Millisecond)
	sim.submitJob(0, storedJob("j", 1, 200*time.Millisecond), 200*time.Millisecond)
	sim.runUntil(400 * time.Millisecond) // the run has ended
	sim.delegateAnswersLost = false
	sim.runUntil(8 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
	task := leased.TaskID{Job: "j"}
	if n := sim.startCounts[task]; n != 1 {
		t.Errorf("the task was started %d times, want once", n)
	}
	if n := sim.delegatedRuns[task]; n < 2 {
		t.Errorf("the task was delegated %d times; want at least twice, or the test shows nothing", n)
	}
}

// Guards against a second run of a task of a stored job that is done: the delegate
// has answered and crashed before the owner has stored the end, and the next owner
// submits the job to the delegator again. Only the delegator knows of the end, and the
// holder that now has free capacity does not.
func TestDelegatorRemembersEndsOfStoredJobs(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addEndpoints(1, 2)
	sim.shareFreeCapacity()
	sim.unresponsiveOwner = true
	sim.runUntil(100 * time.Millisecond)
	job := storedJob("j", 3, 200*time.Millisecond)
	job.Steps = append(job.Steps, leased.Step{Tasks: 1, After: []int{0}, Demand: job.Steps[0].Demand, Estimate: 200 * time.Millisecond})
	ticket := sim.submitJob(0, job, 200*time.Millisecond)
	sim.runUntil(400 * time.Millisecond) // the last step is running
	sim.step(0, &leased.Cancel{Ticket: ticket})
	sim.crashed[1] = true
	sim.addEndpoints(2, 2)
	resubmitted := job
	resubmitted.Resubmitted = true
	sim.submitJob(0, resubmitted, 200*time.Millisecond)
	sim.runUntil(8 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
	for index := range 3 {
		if n := sim.startCounts[leased.TaskID{Job: "j", Index: index}]; n != 1 {
			t.Errorf("task %d was started %d times, want once", index, n)
		}
	}
	if n := sim.startCounts[leased.TaskID{Job: "j", Step: 1}]; n != 2 {
		t.Errorf("the last task was started %d times; want once by each holder, or the test shows nothing", n)
	}
}

func TestStoredJobResumesFromProgress(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	job := storedJob("j", 3, 50*time.Millisecond)
	job.Resubmitted = true
	job.Progress = []leased.TaskProgress{{Index: 1, Done: true, LastRun: 1<<20 + 40}, {Index: 2, Failures: 1}}
	sim.submitJob(0, job, 50*time.Millisecond)
	sim.runUntil(6 * time.Second)
	// Its tasks wait until a replaced owner has noticed it (1.2 s), for runs of earlier
	// holders (2.25 s) and for reports of their ends (0.5 s).
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took < 3950*time.Millisecond || a.Took > 4100*time.Millisecond {
		t.Errorf("answer %+v, want completed after 3.95 to 4.1 s", a)
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
		t.Errorf("answer %+v, want completed once there is free capacity", a)
	}
}

// Another holder has reported to the owner that a task is done, so the task's
// run here is unnecessary and must be stopped.
func TestTaskDoneElsewhereIsNotRun(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(100 * time.Millisecond)
	sim.submitJob(0, storedJob("j", 2, time.Second), time.Second)
	sim.runUntil(200 * time.Millisecond)
	sim.step(0, doneUpdate(leased.TaskID{Job: "j", Index: 0}))
	sim.runUntil(400 * time.Millisecond)
	if n := len(sim.endpoints["e00"].Running()); n != 1 {
		t.Errorf("%d runs, want only that of the other task", n)
	}
	sim.step(0, doneUpdate(leased.TaskID{Job: "j", Index: 1}))
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

// An unreachable entry may have received ends of runs that no other entry knows
// of. Tasks of stored jobs that may have run there wait until it is reachable
// again.
func TestTasksThatMayHaveEndedElsewhereWait(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.step(0, &leased.SetReachability{SomeUnreachable: true})
	resubmitted := storedJob("j", 2, 50*time.Millisecond)
	resubmitted.Resubmitted = true
	sim.submitJob(0, resubmitted, 50*time.Millisecond)
	sim.submitJob(0, storedJob("new", 1, 50*time.Millisecond), 50*time.Millisecond)
	sim.runUntil(4 * time.Second)
	if n := sim.startCounts[leased.TaskID{Job: "j"}]; n != 0 {
		t.Errorf("the task was started %d times while an entry was unreachable", n)
	}
	if a := sim.answers["new"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("a job without earlier runs: %+v, want completed", a)
	}
	sim.step(0, &leased.SetReachability{SomeUnreachable: false})
	sim.after(time.Second, func() { sim.step(0, doneUpdate(leased.TaskID{Job: "j"})) })
	sim.runUntil(9 * time.Second)
	if n := sim.startCounts[leased.TaskID{Job: "j"}]; n != 0 {
		t.Errorf("the task was started %d times, though its end was reported", n)
	}
	// The other task waits from the time at which all entries are reachable on.
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took < 7800*time.Millisecond || a.Took > 8100*time.Millisecond {
		t.Errorf("answer %+v, want completed after 7.8 to 8.1 s", a)
	}
}

func TestTasksDoNotWaitForeverForUnreachableEntry(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.step(0, &leased.SetReachability{SomeUnreachable: true})
	resubmitted := storedJob("j", 2, 50*time.Millisecond)
	resubmitted.Resubmitted = true
	sim.submitJob(0, resubmitted, 50*time.Millisecond)
	sim.runUntil(10 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

// doneUpdate returns an update which says that a task is done.
func doneUpdate(task leased.TaskID) *leased.TaskUpdate {
	return &leased.TaskUpdate{Task: task, Progress: leased.TaskProgress{Step: task.Step, Index: task.Index, Done: true}}
}
