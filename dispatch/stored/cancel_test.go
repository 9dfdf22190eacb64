package stored

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// replayed returns the next owner's shard after the batches that were stored.
func replayed(now time.Time, batches ...[]Event) *Shard {
	s := New(testOptions())
	for offset, events := range batches {
		s.Replay(now, int64(offset), events)
	}
	s.FinishReplay(now)
	return s
}

// wantAppend checks the kinds of the events of the only append, and returns them.
func wantAppend(t *testing.T, out *Actions, want ...EventKind) []Event {
	t.Helper()
	var got []EventKind
	for _, a := range out.Appends {
		for _, e := range a.Events {
			got = append(got, e.Kind)
		}
	}
	if len(out.Appends) != 1 || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("%d appends with events %v, want one with %v", len(out.Appends), got, want)
	}
	return out.Appends[0].Events
}

// Guards against a job that runs although its cancellation was answered with "no such job":
// its acceptance was in an append, and the cancellation did not wait for it.
func TestCancellationIsStoredBehindTheAcceptance(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 1)})
	if out := s.Step(start, &Cancel{Ticket: 2, Job: "a"}); len(out.Replies)+len(out.Appends) != 0 {
		t.Fatalf("the cancellation does not wait for the acceptance: %+v", out)
	}
	out := s.Step(start, &Appended{Sequence: 1})
	wantReplies(t, out, Reply{Ticket: 1, Result: Stored})
	wantAppend(t, out, JobCancelled)
	if len(out.Offers) != 0 {
		t.Error("a job is offered while its cancellation is on its way to the log")
	}
	out = s.Step(start, &Appended{Sequence: 2, Offset: 1})
	wantReplies(t, out, Reply{Ticket: 2, Result: Stored})
	if len(out.Offers) != 0 || s.State("a") != Cancelled {
		t.Errorf("%d offers, state %v, want none, cancelled", len(out.Offers), s.State("a"))
	}
}

// Guards against a job that runs on because one batch has both its acceptance and its
// cancellation: it is offered after its offer was withdrawn.
func TestJobThatIsStoredAndCancelledInOneBatchIsNotOffered(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("other", 1)})
	s.Step(start, &Accept{Ticket: 2, Job: testJob("a", 1)})
	s.Step(start, &Cancel{Ticket: 3, Job: "a"})
	wantAppend(t, s.Step(start, &Appended{Sequence: 1}), JobAccepted, JobCancelled)
	out := s.Step(start, &Appended{Sequence: 2, Offset: 1})
	wantReplies(t, out, Reply{Ticket: 2, Result: Stored}, Reply{Ticket: 3, Result: Stored})
	if len(out.Offers) != 0 || s.State("a") != Cancelled {
		t.Errorf("%d offers, state %v, want none, cancelled", len(out.Offers), s.State("a"))
	}
}

// Guards against a caller who is told that a job was stored and cancelled though the log has
// neither, and against a later copy of the submission that is accepted: the append of the
// acceptance is refused.
func TestCancellationBehindRefusedAcceptance(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 1)})
	s.Step(start, &Cancel{Ticket: 2, Job: "a"})
	wantReplies(t, s.Step(start, &AppendRefused{Sequence: 1}), Reply{Ticket: 1, Result: Refused})
	wantReplies(t, s.Step(start, &Accept{Ticket: 3, Job: testJob("a", 1)}), Reply{Ticket: 3, Result: AlreadyCancelled})
	later := start.Add(time.Second)
	wantAppend(t, s.Step(later, &Tick{}), JobCancelled)
	wantReplies(t, s.Step(later, &Appended{Sequence: 2}), Reply{Ticket: 2, Result: NoSuchJob})
	wantReplies(t, s.Step(later, &Accept{Ticket: 4, Job: testJob("a", 1)}), Reply{Ticket: 4, Result: AlreadyCancelled})
}

// Guards against a job that runs although its cancellation was answered with "no such job": its
// submission was still on its way, or was sent twice, and arrives at this owner or at the next
// one.
func TestSubmissionBehindCancellationIsRefused(t *testing.T) {
	s := New(testOptions())
	cancelled := wantAppend(t, s.Step(start, &Cancel{Ticket: 1, Job: "a"}), JobCancelled)
	wantReplies(t, s.Step(start, &Accept{Ticket: 2, Job: testJob("a", 1)}), Reply{Ticket: 2, Result: AlreadyCancelled})
	wantReplies(t, s.Step(start, &Cancel{Ticket: 3, Job: "a"}))
	wantReplies(t, s.Step(start, &Appended{Sequence: 1}), Reply{Ticket: 1, Result: NoSuchJob}, Reply{Ticket: 3, Result: NoSuchJob})
	wantReplies(t, s.Step(start, &Cancel{Ticket: 4, Job: "a"}), Reply{Ticket: 4, Result: NoSuchJob})
	later := start.Add(testOptions().Retain)
	s.Step(later, &Tick{})
	wantReplies(t, s.Step(later, &Accept{Ticket: 5, Job: testJob("a", 1)}), Reply{Ticket: 5, Result: AlreadyCancelled})
	next := replayed(later, cancelled)
	wantReplies(t, next.Step(later, &Accept{Ticket: 1, Job: testJob("a", 1)}), Reply{Ticket: 1, Result: AlreadyCancelled})
	if state := next.State("a"); state != Unknown {
		t.Errorf("a job that nobody has stored is %v", state)
	}
}

// Guards against a job that is lost because another one of its ID was cancelled before: the
// cancellation had expired when the job was accepted, and the next owner reads both.
func TestJobAcceptedAfterCancellationHasExpired(t *testing.T) {
	s := New(testOptions())
	cancelled := wantAppend(t, s.Step(start, &Cancel{Ticket: 1, Job: "a"}), JobCancelled)
	s.Step(start, &Appended{Sequence: 1})
	later := start.Add(testOptions().Retain + time.Second)
	s.Step(later, &Tick{})
	accepted := wantAppend(t, s.Step(later, &Accept{Ticket: 2, Job: testJob("a", 1)}), JobAccepted)
	wantReplies(t, s.Step(later, &Appended{Sequence: 2, Offset: 1}), Reply{Ticket: 2, Result: Stored})
	next := replayed(later, cancelled, accepted)
	if state := next.State("a"); state != Queued {
		t.Errorf("the job is %v at the next owner, want queued", state)
	}
	wantReplies(t, next.Step(later, &Accept{Ticket: 1, Job: testJob("a", 1)}), Reply{Ticket: 1, Result: Stored})
}

// Guards against strangers who cancel made-up IDs: against memory that grows without a bound,
// a real cancellation that is forgotten for theirs, and jobs that are not accepted any more.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Cancel{Ticket: 1, Job: "real"})
	sequence := uint64(1)
	s.Step(start, &Appended{Sequence: sequence})
	refused, ticket := 0, Ticket(1)
	for i := range maxCancelledIDs + 2*maxUnstoredCancellations {
		ticket++
		for _, r := range s.Step(start, &Cancel{Ticket: ticket, Job: leased.JobID(fmt.Sprintf("made-up-%d", i))}).Replies {
			if r.Ticket != ticket || r.Result != Refused {
				t.Fatalf("reply %+v to ticket %d", r, ticket)
			}
			refused++
		}
		if i%maxUnstoredCancellations == maxUnstoredCancellations/2 { // the log is slow
			for len(s.inFlight) > 0 {
				sequence++
				s.Step(start, &Appended{Sequence: sequence, Offset: int64(sequence)})
			}
		}
	}
	if n := len(s.cancelled.order) + len(s.cancelling); n > maxCancelledIDs || refused == 0 {
		t.Errorf("%d IDs are remembered, at most %d may be; %d cancellations were refused", n, maxCancelledIDs, refused)
	}
	s.Step(start, &Accept{Ticket: 1, Job: testJob("wanted", 1)})
	if s.jobs["wanted"] == nil {
		t.Error("no job is accepted beside them")
	}
	if !s.isCancelled("real") {
		t.Error("the real cancellation was forgotten")
	}
	s.Step(start.Add(testOptions().Retain+time.Second), &Tick{})
	if n := len(s.cancelled.storedAt); n != 0 {
		t.Errorf("%d IDs are remembered after their time", n)
	}
}

// Guards against a cancellation that the next owner does not find, because its record was
// trimmed while a submission could still arrive.
func TestTrimKeepsCancelledIDs(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Cancel{Ticket: 1, Job: "gone"})
	s.Step(start, &Appended{Sequence: 1, Offset: 4})
	s.Step(start, &Accept{Ticket: 2, Job: testJob("a", 1)})
	s.Step(start, &Appended{Sequence: 2, Offset: 9})
	if out := s.Step(start.Add(trimInterval), &Tick{}); len(out.Trims) != 1 || out.Trims[0] != 4 {
		t.Errorf("trims %v, want all before 4", out.Trims)
	}
	if out := s.Step(start.Add(testOptions().Retain+time.Second), &Tick{}); len(out.Trims) != 1 || out.Trims[0] != 9 {
		t.Errorf("trims %v after the cancellation has expired, want all before 9", out.Trims)
	}
}
