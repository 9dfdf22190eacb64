package stored

import "testing"

// wantState checks the reply to a query.
func wantState(t *testing.T, out *Actions, ticket Ticket, want State) {
	t.Helper()
	for _, r := range out.Replies {
		if r.Ticket != ticket {
			continue
		}
		if r.Result != Stored || r.State != want || r.Unconfirmed != (want == Unknown) {
			t.Errorf("reply %+v, want state %v", r, want)
		}
		return
	}
	t.Errorf("no reply to ticket %d, want state %v", ticket, want)
}

// Guards against "no such job" about a job that is about to be stored, and against a job that
// runs although its caller was told that it never will: it was refused as too large while its
// first submission was in an append.
func TestQueryWaitsForAcceptance(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 1)})
	s.Step(start, &Accept{Ticket: 2, Job: testJob("b", 1)}) // waits for the next batch
	wantState(t, s.Step(start, &Query{Ticket: 3, Job: "none"}), 3, Unknown)
	wantReplies(t, s.Step(start, &Query{Ticket: 4, Job: "a"}))
	wantReplies(t, s.Step(start, &Query{Ticket: 5, Job: "b"}))
	wantState(t, s.Step(start, &Appended{Sequence: 1}), 4, Queued)
	wantState(t, s.Step(start, &AppendRefused{Sequence: 2}), 5, Unknown)
	wantState(t, s.Step(start, &Query{Ticket: 6, Job: "b"}), 6, Unknown)
}
