package ledger

import (
	"errors"
	"testing"
	"time"

	"lovagespread.example/dispatch/jobid"
)

// handOver sends all parts of l except the last to a successor, each twice and
// in reverse order. It returns the last part.
func handOver(t *testing.T, l, to *Ledger, maxRecords int) Part {
	t.Helper()
	if !l.BeginHandover(to.self) {
		t.Fatal("BeginHandover returned false")
	}
	var parts []Part
	for l.Pending() > 0 {
		part, _ := l.NextPart(PartLimit{Records: maxRecords})
		parts = append(parts, part)
	}
	for i := len(parts) - 1; i >= 0; i-- {
		accept(t, to, parts[i], false)
		accept(t, to, parts[i], false)
	}
	last, ok := l.Relinquish()
	if !ok {
		t.Fatal("Relinquish returned false")
	}
	return last
}

func accept(t *testing.T, l *Ledger, part Part, want bool) {
	t.Helper()
	accepted, err := l.Accept(part)
	if err != nil || accepted != want {
		t.Fatalf("part %d: accepted = %t, %v; want %t", part.Number, accepted, err, want)
	}
}

// openThreeJobs opens three jobs: one that waits, one that is started and one
// that has ended.
func openThreeJobs(t *testing.T, l *Ledger) (waiting, started, ended jobid.ID) {
	t.Helper()
	ids := issuer(t, l.self)
	for _, id := range []*jobid.ID{&waiting, &started, &ended} {
		*id, _ = ids.Issue(epoch, lifetime)
		l.Open(*id, []bool{false, false})
	}
	start(t, l, started, 0)
	attempt := start(t, l, ended, 0)
	resolve(t, l, ended, 0, attempt, AttemptFailed, Failed, true)
	l.End(ended)
	return waiting, started, ended
}

func TestHandoverMovesAuthority(t *testing.T) {
	a, b := New(1), New(2)
	waiting, started, ended := openThreeJobs(t, a)
	last := handOver(t, a, b, 1)
	if b.State(waiting) != NotOwned || b.MayStart(waiting, 0) {
		t.Fatal("a handover takes effect before its last part")
	}
	if a.State(waiting) != NotOwned || a.MayStart(waiting, 0) || a.Close(waiting) {
		t.Fatal("the former owner is still authoritative after Relinquish")
	}
	accept(t, b, last, true)
	accept(t, b, last, true)
	if b.State(ended) != Ended || !b.Ran(ended) || b.State(started) != Open {
		t.Fatal("the successor does not know the jobs")
	}
	if b.MayStart(started, 0) || !b.MayStart(started, 1) || !b.MayStart(waiting, 0) {
		t.Fatal("the successor may start a started task, or may not start a waiting one")
	}
	resolve(t, b, started, 0, 1, AttemptDone, Done, true)
}

func TestChangesDuringHandoverReachSuccessor(t *testing.T) {
	a, b := New(1), New(2)
	waiting, started, _ := openThreeJobs(t, a)
	a.BeginHandover(2)
	for a.Pending() > 0 {
		part, _ := a.NextPart(PartLimit{Records: 10})
		accept(t, b, part, false)
	}
	start(t, a, waiting, 1)
	resolve(t, a, started, 0, 1, AttemptDone, Done, true)
	a.End(started)
	late, _ := issuer(t, 1).Issue(epoch, 2*lifetime)
	late.Sequence = 1000
	a.Open(late, []bool{true})
	last, _ := a.Relinquish()
	accept(t, b, last, true)
	if b.MayStart(waiting, 1) || b.State(started) != Ended || b.State(late) != Open {
		t.Fatal("the successor has a stale state")
	}
}

func TestUnknownAttemptsOfFormerOwnerStayLost(t *testing.T) {
	a, b := New(1), New(2)
	id := newID(t)
	a.Open(id, []bool{false, true})
	start(t, a, id, 0)
	start(t, a, id, 1)
	accept(t, b, handOver(t, a, b, 10), true)
	if b.MayStart(id, 0) || b.MayStart(id, 1) {
		t.Fatal("a task may be started again while an attempt of the former owner is unresolved")
	}
	if got := b.UnresolvedStarters(); len(got) != 1 || got[0] != 1 {
		t.Fatalf("UnresolvedStarters returned %v, want 1", got)
	}
	resolved := b.ResolveAsUnknown(1)
	if len(resolved) != 2 || resolved[0].State != Lost || resolved[1].State != Waiting {
		t.Fatalf("ResolveAsUnknown returned %+v", resolved)
	}
	if b.MayStart(id, 0) || !b.MayStart(id, 1) {
		t.Fatal("a lost non-idempotent task may start again, or an idempotent one may not")
	}
	resolve(t, b, id, 0, 1, AttemptDone, Lost, false)
}

func TestConsecutiveHandovers(t *testing.T) {
	a, b, c := New(1), New(2), New(3)
	waiting, started, ended := openThreeJobs(t, a)
	accept(t, b, handOver(t, a, b, 2), true)
	start(t, b, waiting, 0)
	accept(t, c, handOver(t, b, c, 2), true)
	if b.State(waiting) != NotOwned || c.State(ended) != Ended {
		t.Fatal("the second successor is not authoritative for the first owner")
	}
	if c.MayStart(waiting, 0) || !c.MayStart(waiting, 1) || c.MayStart(started, 0) {
		t.Fatal("the second successor may start a started task, or may not start a waiting one")
	}
	if got := c.UnresolvedStarters(); len(got) != 2 || got[0] != 1 || got[1] != 2 {
		t.Fatalf("UnresolvedStarters returned %v, want 1 and 2", got)
	}
	resolve(t, c, started, 0, 1, AttemptDone, Done, true)
	if got := c.ResolveAsUnknown(2); len(got) != 1 || got[0].State != Lost {
		t.Fatalf("ResolveAsUnknown returned %+v", got)
	}
}

func TestFailedSuccessorIsReplaced(t *testing.T) {
	a, b, c := New(1), New(2), New(3)
	waiting, _, _ := openThreeJobs(t, a)
	a.BeginHandover(2)
	part, _ := a.NextPart(PartLimit{Records: 1})
	accept(t, b, part, false)
	accept(t, c, handOver(t, a, c, 1), true)
	if !c.MayStart(waiting, 0) || b.MayStart(waiting, 0) {
		t.Fatal("the second successor is not the only one that is authoritative")
	}
}

func TestMissingPartInvalidatesSession(t *testing.T) {
	a, b := New(1), New(2)
	waiting, _, _ := openThreeJobs(t, a)
	a.BeginHandover(2)
	withheld, _ := a.NextPart(PartLimit{Records: 1})
	last, _ := a.Relinquish()
	_, err := b.Accept(last)
	var missing *MissingPartError
	if !errors.As(err, &missing) || missing.Have != 1 || missing.Want != 2 {
		t.Fatalf("got %v, want a MissingPartError with 1 of 2 parts", err)
	}
	var stale *StaleSessionError
	for _, part := range []Part{withheld, last} {
		if _, err := b.Accept(part); !errors.As(err, &stale) {
			t.Fatalf("got %v, want a StaleSessionError", err)
		}
	}
	a.Reclaim()
	if !a.MayStart(waiting, 0) {
		t.Fatal("the former owner does not continue to serve")
	}
	accept(t, b, handOver(t, a, b, 10), true)
}

func TestOnlyIntendedSuccessorAccepts(t *testing.T) {
	a, b := New(1), New(2)
	openThreeJobs(t, a)
	last := handOver(t, a, b, 10)
	var wrong *WrongSuccessorError
	if _, err := New(3).Accept(last); !errors.As(err, &wrong) {
		t.Fatalf("got %v, want a WrongSuccessorError", err)
	}
	stopping := New(2)
	stopping.BeginHandover(4)
	var stoppingError *StoppingError
	if _, err := stopping.Accept(last); !errors.As(err, &stoppingError) {
		t.Fatalf("got %v, want a StoppingError", err)
	}
}

func TestNotOwnedIDAdmitsNothing(t *testing.T) {
	l := New(2)
	id := newID(t) // of owner 1
	if l.State(id) != NotOwned || l.Open(id, []bool{false}) || l.Close(id) || !l.Ran(id) {
		t.Fatal("an ID of another owner is admitted or reported as not run")
	}
}

func TestHandedOverPagesExpire(t *testing.T) {
	a, b := New(1), New(2)
	waiting, started, ended := openThreeJobs(t, a)
	accept(t, b, handOver(t, a, b, 10), true)
	late := epoch.Add(lifetime + ClockMargin + time.Second)
	if n := b.Expire(late); n != 2 {
		t.Fatalf("%d records, want the 2 open jobs", n)
	}
	if b.State(ended) != Expired || b.State(started) != Open || b.State(waiting) != Open {
		t.Fatal("the record of an open job is dropped, or an expired record is retained")
	}
}

func TestJobExpiringDuringHandoverStaysEnded(t *testing.T) {
	a, b := New(1), New(2)
	_, started, _ := openThreeJobs(t, a)
	a.BeginHandover(2)
	for a.Pending() > 0 {
		part, _ := a.NextPart(PartLimit{Records: 10})
		accept(t, b, part, false)
	}
	a.End(started)
	a.Expire(epoch.Add(10 * lifetime))
	last, _ := a.Relinquish()
	accept(t, b, last, true)
	if b.State(started) != Ended || b.MayStart(started, 1) {
		t.Fatal("the successor revived a job that has ended")
	}
}
