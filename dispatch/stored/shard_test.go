package stored

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

var start = time.Unix(1_800_000_000, 0)

func testOptions() Options { return Options{Retain: time.Minute, SnapshotAge: 2 * time.Minute} }

func testJob(id leased.JobID, tasks int) leased.Job {
	return leased.Job{ID: id, Queue: "q", Service: "s", MaxAttempts: 2, Spec: "x",
		Steps: []leased.Step{{Tasks: tasks, Estimate: time.Second}}}
}

func taskOf(id leased.JobID, index int) leased.TaskID { return leased.TaskID{Job: id, Index: index} }

// doneReport returns a report that one task is done.
func doneReport(t Ticket, id leased.JobID, index, run int) *Report {
	return &Report{Ticket: t, Tasks: []TaskReport{{Task: taskOf(id, index), Run: leased.RunID{Number: run}, Done: true}}}
}

// wantReplies checks the tickets and results of the replies. Tests of the progress in them
// are in attempts_test.go.
func wantReplies(t *testing.T, out *Actions, want ...Reply) {
	t.Helper()
	var got []Reply
	for _, r := range out.Replies {
		got = append(got, Reply{Ticket: r.Ticket, Result: r.Result})
	}
	if fmt.Sprint(got) != fmt.Sprint(want) && len(got)+len(want) > 0 {
		t.Errorf("replies %v, want %v", got, want)
	}
}

func TestJobIsAcceptedOnceItIsStored(t *testing.T) {
	s := New(testOptions())
	out := s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 1)})
	if len(out.Appends) != 1 || len(out.Replies) != 0 || len(out.Offers) != 0 || s.State("a") != Unknown {
		t.Fatalf("before it is stored: %+v, state %v", out, s.State("a"))
	}
	out = s.Step(start, &Accept{Ticket: 2, Job: testJob("a", 1)})
	if len(out.Appends) != 0 || len(out.Replies) != 0 {
		t.Fatalf("the same job again: %+v", out)
	}
	out = s.Step(start, &Appended{Sequence: 1, Offset: 7})
	wantReplies(t, out, Reply{Ticket: 1, Result: Stored}, Reply{Ticket: 2, Result: Stored})
	if len(out.Offers) != 1 || s.State("a") != Queued {
		t.Errorf("%d offers, state %v, want one, queued", len(out.Offers), s.State("a"))
	}
	out = s.Step(start, &Accept{Ticket: 3, Job: testJob("a", 1)})
	wantReplies(t, out, Reply{Ticket: 3, Result: Stored})
	if len(out.Offers)+len(out.Appends) != 0 {
		t.Errorf("a job that is known is stored or offered again: %+v", out)
	}
}

func TestRefusedBatchRefusesItsJobsAndKeepsOtherEvents(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 2)})
	s.Step(start, &Appended{Sequence: 1})
	s.Step(start, doneReport(2, "a", 0, 1))
	s.Step(start, &Accept{Ticket: 3, Job: testJob("b", 1)})
	out := s.Step(start, &AppendRefused{Sequence: 2})
	wantReplies(t, out, Reply{Ticket: 3, Result: Refused})
	if s.State("b") != Unknown {
		t.Errorf("state of a refused job: %v", s.State("b"))
	}
	out = s.Step(start, &Accept{Ticket: 4, Job: testJob("c", 1)})
	wantReplies(t, out, Reply{Ticket: 4, Result: Refused})
	out = s.Step(start.Add(time.Second), &Tick{})
	if len(out.Appends) != 1 || len(out.Appends[0].Events) != 1 || out.Appends[0].Events[0].Kind != TaskEnded {
		t.Fatalf("appends %+v, want the end of the task again", out.Appends)
	}
	wantReplies(t, s.Step(start.Add(time.Second), &Appended{Sequence: 3}), Reply{Ticket: 2, Result: Stored})
}

func TestReportIsAcknowledgedOnceAllItsEndsAreStored(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 2)})
	s.Step(start, &Accept{Ticket: 2, Job: testJob("b", 1)})
	s.Step(start, &Appended{Sequence: 1})
	s.Step(start, &Appended{Sequence: 2})
	s.Step(start, doneReport(3, "a", 0, 1)) // in flight as the third batch
	both := &Report{Ticket: 4, Tasks: []TaskReport{{Task: taskOf("a", 0), Run: leased.RunID{Number: 1}, Done: true}, {Task: taskOf("b", 0), Run: leased.RunID{Number: 1}, Done: true}}}
	wantReplies(t, s.Step(start, both))
	wantReplies(t, s.Step(start, &Appended{Sequence: 3}), Reply{Ticket: 3, Result: Stored})
	wantReplies(t, s.Step(start, &Appended{Sequence: 4}), Reply{Ticket: 4, Result: Stored})
	if s.State("b") != Completed || s.State("a") != Running {
		t.Errorf("states %v, %v", s.State("a"), s.State("b"))
	}
}

// Guards against a job that is shown as completed and runs again (rig2 -case completed): the
// ends of its tasks were reported, and the owner was lost before they were stored.
func TestJobIsCompletedOnceAllEndsAreStored(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 2)})
	s.Step(start, &Appended{Sequence: 1})
	s.Step(start, doneReport(2, "a", 0, 1))
	if s.State("a") != Running {
		t.Errorf("state %v, want running", s.State("a"))
	}
	s.Step(start, &Appended{Sequence: 2})
	s.Step(start, doneReport(3, "a", 1, 1))
	if s.State("a") != Running {
		t.Errorf("state %v before the last end is stored, want running", s.State("a"))
	}
	s.Step(start, &Appended{Sequence: 3})
	if s.State("a") != Completed {
		t.Errorf("state %v, want completed", s.State("a"))
	}
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 1)})
	s.Step(start, &Appended{Sequence: 1})
	for ticket := Ticket(2); ticket < 4; ticket++ {
		s.Step(start, &Report{Ticket: ticket, Tasks: []TaskReport{{Task: taskOf("a", 0), Run: leased.RunID{Number: 1}}}})
	}
	s.Step(start, &Appended{Sequence: 2})
	if s.State("a") != Running {
		t.Errorf("after one failed run, reported twice: %v, want running", s.State("a"))
	}
	s.Step(start, &Report{Ticket: 9, Tasks: []TaskReport{{Task: taskOf("a", 0), Run: leased.RunID{Number: 2}}}})
	s.Step(start, &Appended{Sequence: 3})
	if s.State("a") != Failed {
		t.Errorf("after two: %v, want failed", s.State("a"))
	}
}

func TestCancelledJobIsWithdrawn(t *testing.T) {
	s := New(testOptions())
	wantReplies(t, s.Step(start, &Cancel{Ticket: 1, Job: "none"}))
	wantReplies(t, s.Step(start, &Appended{Sequence: 1}), Reply{Ticket: 1, Result: NoSuchJob})
	s.Step(start, &Accept{Ticket: 2, Job: testJob("a", 1)})
	s.Step(start, &Appended{Sequence: 2})
	s.Step(start, &Cancel{Ticket: 3, Job: "a"})
	out := s.Step(start, &Appended{Sequence: 3})
	wantReplies(t, out, Reply{Ticket: 3, Result: Stored})
	if len(out.Withdrawals) != 1 || s.State("a") != Cancelled {
		t.Errorf("withdrawals %v, state %v", out.Withdrawals, s.State("a"))
	}
	out = s.Step(start, &Outcome{Job: "a", Attempt: 1, Lost: true})
	if len(out.Offers) != 0 {
		t.Error("a cancelled job is offered again")
	}
}

func TestSnapshotIsWrittenBeforeRecordsExpire(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 2)})
	s.Step(start, &Appended{Sequence: 1, Offset: 0})
	s.Step(start, doneReport(2, "a", 0, 5))
	s.Step(start, &Appended{Sequence: 2, Offset: 1})
	now := start.Add(2*time.Minute + time.Second)
	out := s.Step(now, &Tick{})
	if len(out.Appends) != 1 || out.Appends[0].Events[0].Kind != JobSnapshot {
		t.Fatalf("appends %+v, want a snapshot of the job", out.Appends)
	}
	snapshot := out.Appends[0].Events
	s.Step(now, &Appended{Sequence: 3, Offset: 2})
	out = s.Step(now.Add(trimInterval), &Tick{})
	if len(out.Trims) != 1 || out.Trims[0] != 2 {
		t.Errorf("trims %v, want all before 2", out.Trims)
	}
	next := New(testOptions())
	next.Replay(now, 2, snapshot)
	offers := next.FinishReplay(now).Offers
	if len(offers) != 1 || !offers[0].Job.Resubmitted || len(offers[0].Job.Progress) != 1 || !offers[0].Job.Progress[0].Done {
		t.Errorf("offers of the next owner: %+v", offers)
	}
}

func TestEndedJobIsRetained(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 1)})
	s.Step(start, &Appended{Sequence: 1})
	s.Step(start, doneReport(2, "a", 0, 1))
	s.Step(start, &Appended{Sequence: 2})
	s.Step(start.Add(50*time.Second), &Tick{})
	if s.State("a") != Completed {
		t.Errorf("state %v after 50 s", s.State("a"))
	}
	s.Step(start.Add(61*time.Second), &Tick{})
	if s.State("a") != Unknown {
		t.Errorf("state %v after 61 s", s.State("a"))
	}
}

func TestJobOfLostHolderIsOfferedAgainWithProgress(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 3)})
	s.Step(start, &Appended{Sequence: 1})
	s.Step(start, doneReport(2, "a", 1, 4))
	s.Step(start, &Appended{Sequence: 2})
	out := s.Step(start, &Outcome{Job: "a", Attempt: 1, Lost: true, Begun: true})
	if len(out.Offers) != 1 {
		t.Fatalf("offers %+v", out.Offers)
	}
	job := out.Offers[0].Job
	if !job.Resubmitted || !job.Stored || len(job.Progress) != 1 || !job.Progress[0].Done || job.Progress[0].LastRun != 4 {
		t.Errorf("offered %+v", job)
	}
	out = s.Step(start, &Outcome{Job: "a", Attempt: 1, Lost: true})
	if len(out.Offers) != 0 {
		t.Error("the outcome of an earlier attempt causes an offer")
	}
}

// A holder says that a job has ended, but an end was never reported because
// the endpoint that listed it was lost.
func TestJobWithMissingReportsIsOfferedAgain(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 2)})
	s.Step(start, &Appended{Sequence: 1})
	s.Step(start, &Outcome{Job: "a", Attempt: 1, Verdict: leased.Completed})
	if out := s.Step(start.Add(confirmTimeout/2), &Tick{}); len(out.Offers) != 0 {
		t.Error("offered again while reports may still arrive")
	}
	if out := s.Step(start.Add(confirmTimeout+time.Second), &Tick{}); len(out.Offers) != 1 {
		t.Error("not offered again though no reports have arrived")
	}
}
