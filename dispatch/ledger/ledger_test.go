package ledger

import (
	"bytes"
	"testing"
	"time"

	"lovagespread.example/dispatch/jobid"
)

var epoch = time.Unix(1_700_000_000, 0)

const lifetime = time.Minute

func issuer(t testing.TB, owner jobid.Incarnation) *jobid.Issuer {
	t.Helper()
	key := jobid.Key{Number: 1, Secret: bytes.Repeat([]byte{1}, jobid.MinKeyBytes)}
	s, err := jobid.NewIssuer(owner, key)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newID(t testing.TB) jobid.ID {
	t.Helper()
	id, _ := issuer(t, 1).Issue(epoch, lifetime)
	return id
}

func newOpenJob(t testing.TB, idempotent ...bool) (*Ledger, jobid.ID) {
	t.Helper()
	l, id := New(1), newID(t)
	if !l.Open(id, idempotent) {
		t.Fatal("a new ID was not admitted")
	}
	return l, id
}

func start(t testing.TB, l *Ledger, id jobid.ID, index int) int {
	t.Helper()
	attempt, ok := l.Start(id, index)
	if !ok {
		t.Fatalf("start of task %d refused", index)
	}
	return attempt
}

func resolve(t testing.TB, l *Ledger, id jobid.ID, index, attempt int, status AttemptStatus, want TaskState, wantOK bool) {
	t.Helper()
	state, ok := l.Resolve(id, index, attempt, status)
	if state != want || ok != wantOK {
		t.Fatalf("fate %d of attempt %d: got %d, %t; want %d, %t", status, attempt, state, ok, want, wantOK)
	}
}

func TestOneAttemptDecidesATask(t *testing.T) {
	l, id := newOpenJob(t, true)
	first := start(t, l, id, 0)
	second := start(t, l, id, 0)
	resolve(t, l, id, 0, second, AttemptDone, Done, true)
	resolve(t, l, id, 0, first, AttemptDone, Done, false)
	resolve(t, l, id, 0, first, AttemptFailed, Done, false)
}

func TestDuplicateStatusDoesNotResolveAnotherAttempt(t *testing.T) {
	l, id := newOpenJob(t, true)
	first := start(t, l, id, 0)
	second := start(t, l, id, 0)
	resolve(t, l, id, 0, first, AttemptFailed, Started, true)
	resolve(t, l, id, 0, first, AttemptFailed, Started, false)
	resolve(t, l, id, 0, second, AttemptFailed, Waiting, true)
	resolve(t, l, id, 0, 99, AttemptDone, Waiting, false)
	resolve(t, l, id, 0, 0, AttemptDone, Waiting, false)
}

func TestNonIdempotentTaskStartsOnceUnlessNotStarted(t *testing.T) {
	for _, c := range []struct {
		fate  AttemptStatus
		state TaskState
		again bool
	}{
		{AttemptNotStarted, Waiting, true},
		{AttemptFailed, Failed, false},
		{AttemptUnknown, Lost, false},
		{AttemptDone, Done, false},
	} {
		l, id := newOpenJob(t, false)
		attempt := start(t, l, id, 0)
		if l.MayStart(id, 0) {
			t.Error("a second attempt is admitted beside the first")
		}
		resolve(t, l, id, 0, attempt, c.fate, c.state, true)
		if _, ok := l.Start(id, 0); ok != c.again {
			t.Errorf("after fate %d: start admitted = %t, want %t", c.fate, ok, c.again)
		}
	}
}

func TestRanIsFalseWhenNothingStarted(t *testing.T) {
	l, id := newOpenJob(t, false)
	attempt := start(t, l, id, 0)
	if !l.Ran(id) || l.Close(id) {
		t.Fatal("a started job counts as not run")
	}
	resolve(t, l, id, 0, attempt, AttemptNotStarted, Waiting, true)
	if l.Ran(id) || !l.Close(id) || l.State(id) != Closed {
		t.Fatal("a job whose only attempt did not start can't be refused as not run")
	}
	if l.Open(id, []bool{false}) {
		t.Fatal("a closed ID was admitted")
	}
}

func TestCancelLetsStartedTasksFinish(t *testing.T) {
	l, id := newOpenJob(t, false, false)
	attempt := start(t, l, id, 0)
	if running := l.Cancel(id); running != 1 {
		t.Fatalf("%d attempts run, want 1", running)
	}
	if l.MayStart(id, 1) {
		t.Fatal("a job that was given up admits a start")
	}
	resolve(t, l, id, 0, attempt, AttemptDone, Done, true)
	if !l.Ran(id) || !l.End(id) || l.State(id) != Ended || !l.Ran(id) {
		t.Fatal("the job's end is not on record")
	}
}

func TestAttemptWindowIsBounded(t *testing.T) {
	l, id := newOpenJob(t, true)
	for range attemptWindow {
		start(t, l, id, 0)
	}
	if _, ok := l.Start(id, 0); ok {
		t.Fatal("an attempt would leave the window while its fate is open")
	}
	resolve(t, l, id, 0, 1, AttemptUnknown, Started, true)
	start(t, l, id, 0)
}

func TestRecordRetainedForClockMargin(t *testing.T) {
	l, id := newOpenJob(t, false)
	l.End(id)
	l.Expire(epoch.Add(lifetime + ClockMargin))
	if l.State(id) != Ended {
		t.Fatal("record dropped within the margin")
	}
	if n := l.Expire(epoch.Add(lifetime + ClockMargin + time.Second)); n != 0 {
		t.Fatalf("%d records left", n)
	}
	if l.State(id) != Expired || l.Open(id, []bool{false}) || l.Close(id) {
		t.Fatal("a forgotten ID is admitted or called not run")
	}
}

func TestOpenJobRetainedAfterExpiry(t *testing.T) {
	l, id := newOpenJob(t, false)
	attempt := start(t, l, id, 0)
	late := epoch.Add(time.Hour)
	l.Expire(late)
	resolve(t, l, id, 0, attempt, AttemptDone, Done, true)
	l.End(id)
	l.Expire(late.Add(ClockMargin))
	if l.State(id) != Ended {
		t.Fatal("the outcome of a long job is dropped right after its end")
	}
}

func TestExpireReachesEveryPage(t *testing.T) {
	l, id := New(1), newID(t)
	for range 10 * pagesPerExpire {
		l.Close(id)
		id.Sequence += PageIDs
	}
	late := epoch.Add(lifetime + ClockMargin + time.Second)
	for range 11 {
		l.Expire(late)
	}
	if n := l.Expire(late); n != 0 || len(l.finished.byKey) != 0 {
		t.Fatalf("%d records in %d pages left", n, len(l.finished.byKey))
	}
}
