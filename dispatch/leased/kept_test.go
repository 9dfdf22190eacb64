package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

// keptJob is a job of equal tasks that outlives its caller.
func keptJob(id leased.JobID, tasks int, run time.Duration) leased.Job {
	return leased.Job{
		ID: id, Service: "s", Queue: "q", MaxAttempts: 2, Stretch: 1.6, Slack: 60 * time.Millisecond, CallerTimeout: time.Hour, Stored: true,
		Steps: []leased.Step{{Tasks: tasks, Demand: leased.Demand{MilliCores: 27_000, MemoryMiB: 64}, Estimate: run}},
	}
}

// An endpoint may forget the end of a kept job's run only once it is stored.
func TestEndsOfKeptJobsAreNotedOnceTheyAreReported(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 1)
	w.silentOwner = true
	w.run(100 * time.Millisecond)
	w.submitAs(0, keptJob("j", 2, 100*time.Millisecond), 100*time.Millisecond)
	w.run(3 * time.Second)
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
	if n := len(w.endpoints["e00"].Unacknowledged()); n != 2 {
		t.Errorf("the endpoint lists %d ends, want both until they are stored", n)
	}
	if n := w.holds["e00"]; n > 120 {
		t.Errorf("%d looks at the endpoint in 3 s", n)
	}
	w.silentOwner = false
	w.answerReports()
	w.run(5 * time.Second)
	if n := len(w.endpoints["e00"].Unacknowledged()); n != 0 {
		t.Errorf("the endpoint still lists %d ends, though they are stored", n)
	}
}

// A holder dies after a run of a kept job has ended. The next one finds the end
// on the endpoint and reports it, though nobody has given it the job.
func TestNextHolderReportsEndsThatItFinds(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.addEndpoints(0, 1)
	w.silentOwner = true
	w.run(100 * time.Millisecond)
	w.submitAs(0, keptJob("j", 1, 100*time.Millisecond), 100*time.Millisecond)
	w.run(150 * time.Millisecond)
	w.dead[0] = true
	w.run(400 * time.Millisecond)
	before := len(w.reports)
	w.owner["e00"] = 1
	w.announce()
	w.run(2 * time.Second)
	found := false
	for _, r := range w.reports[before:] {
		found = found || r.Task.Job == "j" && !r.Begun && r.End == leased.EndDone
	}
	if !found {
		t.Errorf("reports %+v, want the end of the run", w.reports[before:])
	}
}

// The owner dies before it has stored the end of a run. The next one offers the
// job to the same holder, which knows that the task is done.
func TestHolderRemembersEndsThatAreNotStoredYet(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.silentOwner = true
	w.run(100 * time.Millisecond)
	ticket := w.submitAs(0, keptJob("j", 1, 50*time.Millisecond), 50*time.Millisecond)
	job := keptJob("k", 2, 50*time.Millisecond)
	job.Steps = append(job.Steps, leased.Step{Tasks: 1, After: []int{0}, Demand: job.Steps[0].Demand, Estimate: 2 * time.Second})
	second := w.submitAs(0, job, 50*time.Millisecond)
	w.work["k"] = leasedtest.Work{Demand: job.Steps[0].Demand, Time: 300 * time.Millisecond}
	w.run(500 * time.Millisecond)
	w.step(0, &leased.Cancel{Ticket: ticket})
	w.step(0, &leased.Cancel{Ticket: second})
	for _, again := range []leased.Job{keptJob("j", 1, 50*time.Millisecond), job} {
		again.Resubmitted = true
		w.submitAs(0, again, 300*time.Millisecond)
	}
	w.run(4 * time.Second)
	for id, want := range map[leased.TaskID]int{{Job: "j"}: 1, {Job: "k"}: 1, {Job: "k", Index: 1}: 1} {
		if n := w.starts[id]; n != want {
			t.Errorf("task %v was started %d times, want %d", id, n, want)
		}
	}
	for _, id := range []leased.JobID{"j", "k"} {
		if a := w.answers[id]; a.Verdict != leased.Completed {
			t.Errorf("job %s: %+v, want completed", id, a)
		}
	}
}

// A job comes again to a holder that has just taken an endpoint over. The
// endpoint's list says a little later that the task is done.
func TestEndThatIsFoundAfterItsJobCameAgain(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.addEndpoints(0, 1)
	w.addEndpoints(1, 1)
	w.silentOwner = true
	w.run(100 * time.Millisecond)
	w.submitAs(0, keptJob("j", 1, 100*time.Millisecond), 100*time.Millisecond)
	w.run(300 * time.Millisecond)
	w.dead[0] = true
	again := keptJob("j", 1, 100*time.Millisecond)
	again.Resubmitted = true
	w.submitAs(1, again, 100*time.Millisecond)
	w.run(350 * time.Millisecond)
	w.owner["e00"] = 1
	w.announce()
	w.run(4 * time.Second)
	if n := w.starts[leased.TaskID{Job: "j"}]; n != 1 {
		t.Errorf("the task was started %d times, want once", n)
	}
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

// An owner offers a job anew with what it has learned meanwhile.
func TestNewerOfferOfAJobBringsItsProgress(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 1)
	w.run(100 * time.Millisecond)
	job := keptJob("j", 2, 200*time.Millisecond)
	job.Resubmitted = true
	w.submitAs(0, job, 200*time.Millisecond)
	job.Progress = []leased.TaskProgress{{Index: 1, Done: true}}
	w.submitAs(0, job, 200*time.Millisecond)
	w.run(4 * time.Second)
	if n := w.starts[leased.TaskID{Job: "j", Index: 1}]; n != 0 {
		t.Errorf("the task that is done was started %d times", n)
	}
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

// A run is withdrawn, but ends before the order to stop comes; its job has come
// again meanwhile.
func TestWithdrawnRunThatEndsAllTheSame(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	ticket := w.submitAs(0, keptJob("j", 1, 200*time.Millisecond), 200*time.Millisecond)
	w.run(200 * time.Millisecond)
	w.lose = 1 // the order to stop
	w.step(0, &leased.Cancel{Ticket: ticket})
	w.lose = 0
	again := keptJob("j", 1, 200*time.Millisecond)
	again.Resubmitted = true
	w.submitAs(0, again, 200*time.Millisecond)
	w.run(4 * time.Second)
	if n := w.starts[leased.TaskID{Job: "j"}]; n != 1 {
		t.Errorf("the task was started %d times, want once", n)
	}
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

func TestNewsThatComeBeforeTheirJobAreRemembered(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 1)
	w.run(100 * time.Millisecond)
	w.step(0, &leased.DoneTask{Task: leased.TaskID{Job: "j"}})
	w.submitAs(0, keptJob("j", 2, 100*time.Millisecond), 100*time.Millisecond)
	w.run(time.Second)
	if n := w.starts[leased.TaskID{Job: "j"}]; n != 0 {
		t.Errorf("the task that is done was started %d times", n)
	}
}

// A task of a kept job has run at a borrower, which could not report its end
// yet. The job comes again to the lender: the task must not start again.
func TestLentEndsAreNotForgotten(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.addEndpoints(1, 2)
	w.shareRooms()
	w.silentOwner = true
	w.run(100 * time.Millisecond)
	job := keptJob("j", 3, 200*time.Millisecond)
	job.Steps = append(job.Steps, leased.Step{Tasks: 1, After: []int{0}, Demand: job.Steps[0].Demand, Estimate: 2 * time.Second})
	ticket := w.submitAs(0, job, 200*time.Millisecond)
	w.run(400 * time.Millisecond) // the last step is at work
	w.step(0, &leased.Cancel{Ticket: ticket})
	again := job
	again.Resubmitted = true
	w.submitAs(0, again, 200*time.Millisecond)
	w.run(6 * time.Second)
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
	for index := range 3 {
		if n := w.starts[leased.TaskID{Job: "j", Index: index}]; n != 1 {
			t.Errorf("task %d was started %d times, want once", index, n)
		}
	}
}

func TestKeptJobGoesOnFromItsProgress(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	job := keptJob("j", 3, 50*time.Millisecond)
	job.Resubmitted = true
	job.Progress = []leased.TaskProgress{{Index: 1, Done: true, LastRun: 1<<20 + 40}, {Index: 2, Failures: 1}}
	w.submitAs(0, job, 50*time.Millisecond)
	w.run(3 * time.Second)
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
	for index, want := range []int{1, 0, 1} {
		if n := w.starts[leased.TaskID{Job: "j", Index: index}]; n != want {
			t.Errorf("task %d was started %d times, want %d", index, n, want)
		}
	}
}

func TestKeptJobWaitsForRoomForAsLongAsItTakes(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 1)
	w.run(100 * time.Millisecond)
	w.submit(0, "b", 2, 27_000, 5*time.Second, 20*time.Second)
	w.submitAs(0, keptJob("j", 1, 50*time.Millisecond), 50*time.Millisecond)
	w.run(7 * time.Second)
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took < 4*time.Second {
		t.Errorf("answer %+v, want completed once there is room", a)
	}
}

// The owner has learned from another holder that a task is done, so a run of it
// here is in vain.
func TestLearnedTaskIsNotRun(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 1)
	w.run(100 * time.Millisecond)
	w.submitAs(0, keptJob("j", 2, time.Second), time.Second)
	w.run(200 * time.Millisecond)
	w.step(0, &leased.DoneTask{Task: leased.TaskID{Job: "j", Index: 0}})
	w.run(400 * time.Millisecond)
	if n := len(w.endpoints["e00"].Running()); n != 1 {
		t.Errorf("%d runs, want the other task's alone", n)
	}
	w.step(0, &leased.DoneTask{Task: leased.TaskID{Job: "j", Index: 1}})
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

// While an entry cannot be reached, it may have seen ends that nobody else
// knows of. Tasks of kept jobs that may have run there wait for its return.
func TestTasksThatMayHaveEndedElsewhereWait(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	w.step(0, &leased.SetReachability{SomeUnreachable: true})
	again := keptJob("j", 2, 50*time.Millisecond)
	again.Resubmitted = true
	w.submitAs(0, again, 50*time.Millisecond)
	w.submitAs(0, keptJob("new", 1, 50*time.Millisecond), 50*time.Millisecond)
	w.run(4 * time.Second)
	if n := w.starts[leased.TaskID{Job: "j"}]; n != 0 {
		t.Errorf("the task was started %d times while an entry is out of reach", n)
	}
	if a := w.answers["new"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("a job without earlier runs: %+v, want completed", a)
	}
	w.step(0, &leased.SetReachability{SomeUnreachable: false})
	w.after(time.Second, func() { w.step(0, &leased.DoneTask{Task: leased.TaskID{Job: "j"}}) })
	w.run(7 * time.Second)
	if n := w.starts[leased.TaskID{Job: "j"}]; n != 0 {
		t.Errorf("the task was started %d times, though its end was reported", n)
	}
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}

func TestTasksDoNotWaitForEverForAnEntryThatIsGone(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	w.step(0, &leased.SetReachability{SomeUnreachable: true})
	again := keptJob("j", 2, 50*time.Millisecond)
	again.Resubmitted = true
	w.submitAs(0, again, 50*time.Millisecond)
	w.run(10 * time.Second)
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}
