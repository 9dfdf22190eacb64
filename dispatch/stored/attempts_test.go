package stored

import (
	"testing"

	"lovagespread.example/dispatch/leased"
)

// wantProgress checks the only progress that a reply to a report has.
func wantProgress(t *testing.T, out *Actions, want leased.TaskProgress) {
	t.Helper()
	if len(out.Replies) != 1 || len(out.Replies[0].Progress) != 1 {
		t.Fatalf("replies %+v, want one with the progress of the task", out.Replies)
	}
	got := out.Replies[0].Progress[0]
	if got.Failures != want.Failures || got.JobEnded != want.JobEnded || got.Crashes != want.Crashes {
		t.Errorf("progress %+v, want %+v", got, want)
	}
}

// Guards against a holder that counts one failure less than the owner: the answer to the
// report of a failure tells the number of all, also of those that others have found.
func TestAnswerToAReportTellsAllFailures(t *testing.T) {
	s := acceptedShard(3)
	s.Step(start, reportOf(2, TaskReport{Run: runOn("x")}))
	wantProgress(t, s.Step(start, &Appended{Sequence: 2}), leased.TaskProgress{Failures: 1})
	wantProgress(t, s.Step(start, reportOf(3, TaskReport{Run: runOn("x")})), leased.TaskProgress{Failures: 1}) // repeated
	s.Step(start, reportOf(4, TaskReport{Run: runOn("y")}))
	wantProgress(t, s.Step(start, &Appended{Sequence: 3}), leased.TaskProgress{Failures: 2})
	s.Step(start, reportOf(5, TaskReport{Run: runOn("z")}))
	wantProgress(t, s.Step(start, &Appended{Sequence: 4}), leased.TaskProgress{JobEnded: true})
	wantProgress(t, s.Step(start, reportOf(6, TaskReport{Run: runOn("w")})), leased.TaskProgress{JobEnded: true})
	out := s.Step(start, doneReport(7, "a", 0, 18))
	if len(out.Replies) != 1 || out.Replies[0].Progress != nil {
		t.Errorf("replies %+v to the report of a run that is done, want one without progress", out.Replies)
	}
}

// Guards against an offer that lacks the failures which wait for the log, as after an
// outage of the log: its holder would start the task once more than it may.
func TestOfferCountsFailuresThatWaitForTheLog(t *testing.T) {
	s := acceptedShard(3)
	s.Step(start, reportOf(2, TaskReport{Run: runOn("x")}))
	out := s.Step(start, &Outcome{Job: "a", Attempt: 1, Lost: true, Begun: true})
	if len(out.Offers) != 1 || len(out.Offers[0].Job.Progress) != 1 || out.Offers[0].Job.Progress[0].Failures != 1 {
		t.Fatalf("offers %+v, want one with a failure", out.Offers)
	}
	s.Step(start, reportOf(3, TaskReport{Run: runOn("y")}))
	s.Step(start, reportOf(4, TaskReport{Run: runOn("z")}))
	out = s.Step(start, &Outcome{Job: "a", Attempt: 2, Lost: true, Begun: true})
	if len(out.Offers) != 0 {
		t.Errorf("a job whose attempts are used up is offered: %+v", out.Offers)
	}
	s.Step(start, &Appended{Sequence: 2})
	out = s.Step(start, &Appended{Sequence: 3})
	if s.State("a") != Failed || len(out.Withdrawals) != 1 {
		t.Errorf("state %v, withdrawals %v, want failed and one", s.State("a"), out.Withdrawals)
	}
}

// Guards against a holder that does not learn of failures and crashes which other entries
// find after the job was offered.
func TestHolderIsNotifiedOfWhatOthersReport(t *testing.T) {
	s := acceptedShard(3)
	report := reportOf(2, TaskReport{Run: runOn("x")})
	report.From = 7
	out := s.Step(start, report)
	if len(out.Updates) != 1 || out.Updates[0].From != 7 || out.Updates[0].Progress.Failures != 1 {
		t.Errorf("updates %+v, want one with a failure, at once", out.Updates)
	}
	s.Step(start, &Appended{Sequence: 2})
	if out := s.Step(start, report); len(out.Updates) != 0 {
		t.Errorf("updates %+v after a repeated report, want none", out.Updates)
	}
	crash := leased.Loss{Cause: leased.LossByCrash}
	s.Step(start, reportOf(3, TaskReport{Run: runOn("y"), Begun: true, Lost: true, Loss: crash}))
	out = s.Step(start, &Appended{Sequence: 3})
	if len(out.Updates) != 1 || out.Updates[0].Progress.Crashes.Crashes != 1 || out.Updates[0].Progress.Failures != 1 {
		t.Errorf("updates %+v, want one with the crash and the failure", out.Updates)
	}
}

// Guards against failures that are counted twice by a snapshot, or lost by it, because they
// wait for the log.
func TestSnapshotHasStoredFailuresOnly(t *testing.T) {
	s := acceptedShard(3)
	j := s.jobs["a"]
	s.Step(start, reportOf(2, TaskReport{Run: runOn("x")}))
	if p := j.progress(true); len(p) != 1 || p[0].Failures != 0 {
		t.Errorf("snapshot %+v, want no failure before it is stored", p)
	}
	s.Step(start, &Appended{Sequence: 2})
	if p := j.progress(true); len(p) != 1 || p[0].Failures != 1 || len(p[0].Counted) != 1 {
		t.Errorf("snapshot %+v, want the stored failure", p)
	}
}
