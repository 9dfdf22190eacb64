package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// keptJob is a job of equal tasks that outlives its caller.
func keptJob(id leased.JobID, tasks int, run time.Duration) leased.Job {
	return leased.Job{
		ID: id, Service: "s", Queue: "q", MaxAttempts: 2, Stretch: 1.6, Slack: 60 * time.Millisecond, Patience: time.Hour, Kept: true,
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
	if n := len(w.endpoints["e00"].Ends()); n != 2 {
		t.Errorf("the endpoint lists %d ends, want both until they are stored", n)
	}
	if n := w.holds["e00"]; n > 120 {
		t.Errorf("%d looks at the endpoint in 3 s", n)
	}
	w.silentOwner = false
	w.answerReports()
	w.run(5 * time.Second)
	if n := len(w.endpoints["e00"].Ends()); n != 0 {
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

func TestKeptJobGoesOnFromItsProgress(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	job := keptJob("j", 3, 50*time.Millisecond)
	job.Resubmitted = true
	job.Progress = []leased.TaskProgress{{Index: 1, Done: true, Newest: 1<<20 + 40}, {Index: 2, Failures: 1}}
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
	w.step(0, &leased.Learned{Task: leased.TaskID{Job: "j", Index: 0}})
	w.run(400 * time.Millisecond)
	if n := len(w.endpoints["e00"].Running()); n != 1 {
		t.Errorf("%d runs, want the other task's alone", n)
	}
	w.step(0, &leased.Learned{Task: leased.TaskID{Job: "j", Index: 1}})
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
		t.Errorf("answer %+v, want completed", a)
	}
}
