package fleet

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// clockLead is how far the receiver's boot clock is ahead of the sender's in these tests.
const clockLead = 5 * time.Minute

// withFakeClocks lets a loop read clocks that the test sets.
func withFakeClocks(l *Loop) *fakeClocks {
	clocks := &fakeClocks{monotonic: time.Now(), boot: time.Hour}
	l.freezeDetector = newFreezeDetector(clocks.read, zap.NewNop())
	l.resumedAt = l.freezeDetector.check()
	return clocks
}

// heartbeatSentAt returns a heartbeat that was sent when the receiver's boot clock
// showed a time.
func heartbeatSentAt(boot time.Duration) *fleetpb.Beat {
	b := validHeartbeat()
	b.SentUs = uint64((boot - clockLead).Microseconds())
	return b
}

// hearHeartbeats lets a loop read ten heartbeats without delay.
func hearHeartbeats(l *Loop, clocks *fakeClocks) {
	for range 10 {
		clocks.advance(heartbeatInterval)
		peerHeartbeat{heartbeatSentAt(clocks.boot)}.handle(l)
	}
}

func wantTime(t *testing.T, what string, got, want time.Time) {
	t.Helper()
	if d := got.Sub(want).Abs(); d > 200*time.Millisecond { // the real clock goes on meanwhile
		t.Errorf("%s: %v from the expected time", what, got.Sub(want))
	}
}

// Guards against a heartbeat that counts as contact from the time at which it was read:
// this process stood still for 0.5 s, less time than counts as a freeze. A run would be
// renewed for that much longer than its caller waits. The entry must not look lost.
func TestQueuedHeartbeatIsContactOfItsSending(t *testing.T) {
	l := testLoop(t, nil)
	withHeartbeats(t, l)
	clocks := withFakeClocks(l)
	c, err := l.peers.inbound.admit(context.Background(), 2, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer l.peers.inbound.end(c)
	hearHeartbeats(l, clocks)
	wantTime(t, "contact without delay", l.callerContacts()[0].HeardAt, time.Now())
	const stoodStill = 500 * time.Millisecond
	sentAt := clocks.boot + time.Millisecond
	clocks.advance(stoodStill)
	l.roster = rosterAsOf(l, time.Now().Add(-stoodStill))
	peerHeartbeat{heartbeatSentAt(sentAt)}.handle(l)
	wantTime(t, "contact of a queued heartbeat", l.callerContacts()[0].HeardAt, time.Now().Add(-stoodStill))
	if _, live := l.roster.View(time.Now()).Find(2); !live {
		t.Error("the entry whose heartbeat was just read is not live")
	}
	peerHeartbeat{validHeartbeat()}.handle(l) // of a version that does not say when it was sent
	wantTime(t, "contact of an earlier version", l.callerContacts()[0].HeardAt, time.Now())
}

// rosterAsOf returns a roster that has heard the entry of validHeartbeat last at a time.
func rosterAsOf(l *Loop, at time.Time) *cells.Roster {
	r := cells.New(l.view.Self, at.Add(-time.Minute))
	r.ReceiveHeartbeat(at.Add(-time.Millisecond), entryOf(validHeartbeat()))
	return r
}

// callSentAt returns the origin of a call that has just arrived and was sent when the
// receiver's boot clock showed a time.
func callSentAt(boot time.Duration) origin {
	return origin{caller: 2, sentUs: uint64((boot - clockLead).Microseconds()), arrivedAt: time.Now()}
}

// Guards against a call that was held up on its way and counts as contact from its
// arrival: its entry may be lost since, and a run that is started for it outlasts the
// return of its caller. A call that was not held up is contact with an entry whose
// heartbeats are rare.
func TestCallIsContactOfItsSending(t *testing.T) {
	l := testLoop(t, nil)
	withHeartbeats(t, l)
	clocks := withFakeClocks(l)
	first := callSentAt(clocks.boot)
	first.arrivedAt = time.Now().Add(-time.Second) // then it waited in the loop's queue
	if got := l.heardAt(first); !got.Equal(first.arrivedAt) {
		t.Errorf("the first call of an entry that was not heard yet is contact at %v, want its arrival, %v", got, first.arrivedAt)
	}
	hearHeartbeats(l, clocks)
	const silent = 850 * time.Millisecond
	heardAt := time.Now().Add(-silent)
	l.roster = rosterAsOf(l, heardAt)
	clocks.advance(silent)
	for heldUp, want := range map[time.Duration]time.Duration{
		0:                       0,
		400 * time.Millisecond:  400 * time.Millisecond,
		silent:                  silent,
		1200 * time.Millisecond: silent, // the heartbeat is newer
	} {
		wantTime(t, "call held up for "+heldUp.String(), l.heardAt(callSentAt(clocks.boot-heldUp)), time.Now().Add(-want))
	}
	if got := l.heardAt(origin{}); !got.IsZero() {
		t.Errorf("a caller at this entry: heard at %v, want none", got)
	}
}

// Guards against a call of an earlier version that does not count as contact, so that
// nothing is started for an entry whose heartbeats are rare, and against one that was
// held up while its entry was silent.
func TestCallOfEarlierVersionIsContactOfItsArrival(t *testing.T) {
	l := testLoop(t, nil)
	for silent, want := range map[time.Duration]time.Duration{
		leased.ContactGrace - 250*time.Millisecond: 0,
		leased.ContactGrace + 250*time.Millisecond: leased.ContactGrace + 250*time.Millisecond,
	} {
		now := time.Now()
		l.roster = rosterAsOf(l, now.Add(-silent))
		wantTime(t, "after silence of "+silent.String(), l.heardAt(origin{caller: 2, arrivedAt: now}), now.Add(-want))
	}
	now := time.Now()
	if got := l.heardAt(origin{caller: 9, arrivedAt: now}); !got.Equal(now) {
		t.Errorf("an entry without heartbeats: heard at %v, want %v", got, now)
	}
}

// Guards against requests that do not say when they were sent, and against a time that
// does not reach the loop.
func TestCallsSayWhenTheyWereSent(t *testing.T) {
	l := testLoop(t, nil)
	x := startFakeEntry(t, cells.Entry{Name: "x", HeartbeatAddress: "127.0.0.1:2", FailureDomain: "d0", Incarnation: 2, Interval: time.Second})
	l.roster.ReceiveHeartbeat(time.Now(), x.entry)
	l.view = l.roster.View(time.Now())
	l.publish()
	x.setLend(nil)
	before := bootMicroseconds(readClocks)
	if _, err := l.peers.submit(context.Background(), x.entry, &leased.Job{ID: "j"}); err != nil {
		t.Fatal(err)
	}
	l.peers.delegate(context.Background(), &leased.Delegate{Holder: 2, Task: leased.DelegatedTask{CallerTimeout: time.Second}})
	after := bootMicroseconds(readClocks)
	submit, lend := receiveFrom(t, x.submits), receiveFrom(t, x.lends)
	for name, sentUs := range map[string]uint64{"Submit": submit.SentUs, "Lend": lend.SentUs} {
		if sentUs < before || sentUs > after {
			t.Errorf("%s: sent at %d us, want %d to %d", name, sentUs, before, after)
		}
	}
	s := &server{loop: l, peers: l.peers}
	lendRequest := &fleetpb.LendRequest{From: 2, Job: "j", Step: &fleetpb.Step{Tasks: 1, MilliCores: 1000}, Run: 1, PatienceUs: 1_000_000, SentUs: 77}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = s.Lend(ctx, lendRequest) }() // ends with the test
	if m := nextMessage[submitDelegated](t, l); m.sentUs != 77 || m.caller != 2 || m.arrivedAt.IsZero() {
		t.Errorf("the call of entry %d reaches the loop as sent at %d us, arrived at %v", m.caller, m.sentUs, m.arrivedAt)
	}
}

// Guards against heartbeats that do not say when they were sent, by which a receiver
// cannot tell how old they are.
func TestHeartbeatsSayWhenTheyWereSent(t *testing.T) {
	l := testLoop(t, nil)
	clocks := withFakeClocks(l)
	for range 2 {
		if got, want := l.heartbeat(true).SentUs, uint64(clocks.boot.Microseconds()); got != want {
			t.Errorf("sent at %d us, want %d", got, want)
		}
		clocks.advance(time.Second)
	}
}

// Guards against calls that are cancelled right after this process stood still, because
// heartbeats that have arrived meanwhile are not read yet, and against calls of lost
// entries that go on.
func TestCallsGoOnWhileHeartbeatsAreUnread(t *testing.T) {
	l := testLoop(t, nil)
	now := time.Now()
	l.roster.ReceiveHeartbeat(now, entryOf(validHeartbeat()))
	ctx, done := l.peers.inbound.track(context.Background(), 2)
	defer done()
	tickAt := func(at time.Time) {
		l.detectStall(at)
		l.cancelCallsOfLostEntries(at)
	}
	silence := l.settings.callerSilence()
	tickAt(now.Add(silence - 400*time.Millisecond))
	resumedAt := now.Add(silence + 100*time.Millisecond) // it stood still for 0.5 s
	tickAt(resumedAt)
	tickAt(resumedAt.Add(20 * time.Millisecond))
	if ctx.Err() != nil {
		t.Fatal("the calls were cancelled before the queued heartbeats were read")
	}
	l.roster.ReceiveDelayedHeartbeat(resumedAt, entryOf(validHeartbeat()), 200*time.Millisecond)
	for at := resumedAt; at.Before(resumedAt.Add(silence - 250*time.Millisecond)); at = at.Add(20 * time.Millisecond) {
		tickAt(at)
	}
	if ctx.Err() != nil {
		t.Fatal("the calls were cancelled although a heartbeat was sent recently")
	}
	for at := resumedAt.Add(silence - 250*time.Millisecond); at.Before(resumedAt.Add(silence - 150*time.Millisecond)); at = at.Add(20 * time.Millisecond) {
		tickAt(at)
	}
	if ctx.Err() == nil {
		t.Error("the calls of an entry whose last heartbeat was sent longer ago go on")
	}
}
