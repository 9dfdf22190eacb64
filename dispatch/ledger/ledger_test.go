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
		t.Fatalf("status %d of attempt %d: got %d, %t; want %d, %t", status, attempt, state, ok, want, wantOK)
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
		status   AttemptStatus
		state    TaskState
		mayStart bool
	}{
		{AttemptNotStarted, Waiting, true},
		{AttemptFailed, Failed, false},
		{AttemptUnknown, Lost, false},
		{AttemptDone, Done, false},
	} {
		l, id := newOpenJob(t, false)
		attempt := start(t, l, id, 0)
		if l.MayStart(id, 0) {
			t.Error("a second attempt is permitted while the first is unresolved")
		}
		resolve(t, l, id, 0, attempt, c.status, c.state, true)
		if _, ok := l.Start(id, 0); ok != c.mayStart {
			t.Errorf("after status %d: start permitted = %t, want %t", c.status, ok, c.mayStart)
		}
	}
}

func TestRanIsFalseWhenNothingStarted(t *testing.T) {
	l, id := newOpenJob(t, false)
	attempt := start(t, l, id, 0)
	if !l.Ran(id) || l.Close(id) {
		t.Fatal("a started job is reported as not run")
	}
	resolve(t, l, id, 0, attempt, AttemptNotStarted, Waiting, true)
	if l.Ran(id) || !l.Close(id) || l.State(id) != Closed {
		t.Fatal("a job whose only attempt did not start cannot be rejected as not run")
	}
	if l.Open(id, []bool{false}) {
		t.Fatal("a closed ID was admitted")
	}
}

func TestCancelLetsStartedTasksFinish(t *testing.T) {
	l, id := newOpenJob(t, false, false)
	attempt := start(t, l, id, 0)
	if unresolved := l.Cancel(id); unresolved != 1 {
		t.Fatalf("%d unresolved attempts, want 1", unresolved)
	}
	if l.MayStart(id, 1) {
		t.Fatal("a cancelled job permits a start")
	}
	resolve(t, l, id, 0, attempt, AttemptDone, Done, true)
	if !l.Ran(id) || !l.End(id) || l.State(id) != Ended || !l.Ran(id) {
		t.Fatal("the end of the job is not recorded")
	}
}

func TestAttemptWindowIsBounded(t *testing.T) {
	l, id := newOpenJob(t, true)
	for range attemptWindow {
		start(t, l, id, 0)
	}
	if _, ok := l.Start(id, 0); ok {
		t.Fatal("an attempt would leave the window while it is unresolved")
	}
	resolve(t, l, id, 0, 1, AttemptUnknown, Started, true)
	start(t, l, id, 0)
}

func TestRecordRetainedForClockMargin(t *testing.T) {
	l, id := newOpenJob(t, false)
	l.End(id)
	l.Expire(epoch.Add(lifetime + ClockMargin))
	if l.State(id) != Ended {
		t.Fatal("record dropped within ClockMargin")
	}
	if n := l.Expire(epoch.Add(lifetime + ClockMargin + time.Second)); n != 0 {
		t.Fatalf("%d records left", n)
	}
	if l.State(id) != Expired || l.Open(id, []bool{false}) || l.Close(id) {
		t.Fatal("an expired ID is admitted or reported as not run")
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
		t.Fatal("the outcome of a job is dropped less than ClockMargin after its end")
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
