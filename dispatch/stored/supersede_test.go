package stored

import (
	"testing"

	"lovagespread.example/dispatch/leased"
)

// restartReport returns a request to start a task again, of a holder that has the job by an
// offer.
func restartReport(t Ticket, from, request, offer uint64, run int) *Report {
	return &Report{Ticket: t, From: from, Tasks: []TaskReport{{
		Task: taskOf("a", 0), Run: leased.RunID{Number: run}, Begun: true, Restart: request, Offer: offer,
	}}}
}

// storeAll stores the batches of a step, and returns the replies.
func storeAll(s *Shard, out *Actions) []Reply {
	replies := append([]Reply(nil), out.Replies...)
	for len(out.Appends) > 0 {
		out = s.Step(start, &Appended{Sequence: out.Appends[0].Sequence})
		replies = append(replies, out.Replies...)
	}
	return replies
}

// Guards against a restart that is allowed before it is stored, and against a repeated request
// that supersedes the run which the first one has allowed.
func TestRestartIsAllowedOnceItIsStored(t *testing.T) {
	s := acceptedShard(2)
	out := s.Step(start, restartReport(2, 7, 1, 1, 40))
	if len(out.Replies) > 0 {
		t.Errorf("replies %+v before the record is stored", out.Replies)
	}
	replies := storeAll(s, out)
	if len(replies) != 1 || replies[0].Progress[0].Superseded < 40 || replies[0].Progress[0].JobEnded {
		t.Fatalf("replies %+v, want that the runs up to 40 are superseded", replies)
	}
	if state := s.State("a"); state != Queued {
		t.Errorf("state %v: a request for a restart is no start", state)
	}
	first := replies[0].Progress[0].Superseded
	replies = storeAll(s, s.Step(start, restartReport(3, 7, 1, 1, 40)))
	if len(replies) != 1 || replies[0].Progress[0].Superseded != first {
		t.Errorf("replies %+v to a repeated request, want the same as to the first one, %d", replies, first)
	}
	replies = storeAll(s, s.Step(start, restartReport(4, 7, 2, 1, first+1)))
	if len(replies) != 1 || replies[0].Progress[0].Superseded <= first+1 {
		t.Errorf("replies %+v to a second request, want that run %d is superseded, too", replies, first+1)
	}
}

// Guards against a request that was under way during a cut, and supersedes the runs of the
// holder that has the job by now.
func TestRequestOfAnEarlierHolderSupersedesNothing(t *testing.T) {
	s := acceptedShard(2)
	s.Step(start, &Outcome{Job: "a", Attempt: 1, Lost: true, Begun: true})
	replies := storeAll(s, s.Step(start, restartReport(2, 7, 1, 1, 40)))
	if len(replies) != 1 || !replies[0].Progress[0].JobEnded || replies[0].Progress[0].Superseded != 0 {
		t.Errorf("replies %+v, want that the job has ended for the earlier holder", replies)
	}
	replies = storeAll(s, s.Step(start, restartReport(3, 8, 1, 2, 17)))
	if len(replies) != 1 || replies[0].Progress[0].JobEnded || replies[0].Progress[0].Superseded == 0 {
		t.Errorf("replies %+v, want that the present holder may start the task", replies)
	}
}

// Guards against an end that is counted, or discarded, before it is stored which runs are
// superseded: an owner that is replaced meanwhile leaves neither.
func TestEndWaitsForTheRecordOfARestart(t *testing.T) {
	s := acceptedShard(2)
	out := s.Step(start, restartReport(2, 7, 1, 1, 40))
	append1 := out.Appends[0].Sequence
	if out := s.Step(start, doneReport(3, "a", 0, 40)); len(out.Replies) > 0 {
		t.Errorf("replies %+v to an end, before the record is stored", out.Replies)
	}
	replies := storeAll(s, s.Step(start, &Appended{Sequence: append1}))
	if len(replies) != 2 || !replies[1].Progress[0].Discarded || s.State("a").Ended() {
		t.Errorf("replies %+v, want that the end is discarded; job %v", replies, s.State("a"))
	}
	replies = storeAll(s, s.Step(start, doneReport(4, "a", 0, replies[0].Progress[0].Superseded+1)))
	if len(replies) != 1 || s.State("a") != Completed {
		t.Errorf("replies %+v, job %v; want the end of the next run to count", replies, s.State("a"))
	}
}
