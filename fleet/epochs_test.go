package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/membership/cells"
)

// Guards against heartbeats that grow with the number of entries ever lost, or that
// leave out the newest epochs.
func TestRecentEpochsAreAnnounced(t *testing.T) {
	start := time.Now()
	e := newEpochs()
	if got := e.recent(start); len(got) != 0 || e.current(7) != 0 {
		t.Errorf("announced %v and epoch %d before any rise, want none and 0", got, e.current(7))
	}
	for i := range 2 * maxAnnouncedEpochs {
		e.next(start.Add(time.Duration(i)*time.Millisecond), cells.Incarnation(1+i))
	}
	e.next(start, 1)
	now := start.Add(time.Second)
	for at, want := range map[time.Time]int{
		now:                           2 * maxAnnouncedEpochs, // all have just risen
		now.Add(minWithdrawnNamedFor): maxAnnouncedEpochs,
	} {
		got := e.recent(at)
		if len(got) != want {
			t.Fatalf("%d epochs are announced %v after the last rise, want %d", len(got), at.Sub(now), want)
		}
		for i, announced := range got {
			entry, epoch := uint64(2*maxAnnouncedEpochs-i), uint64(1)
			if i == 2*maxAnnouncedEpochs-1 {
				epoch = 2 // that of entry 1 has risen twice
			}
			if announced.Incarnation != entry || announced.Epoch != epoch {
				t.Errorf("place %d: epoch %d of %d, want epoch %d of %d", i, announced.Epoch, announced.Incarnation, epoch, entry)
			}
		}
	}
	for i := range 2 * maxNewEpochs {
		e.next(start, cells.Incarnation(1000+i))
	}
	if got := e.recent(now); len(got) != maxNewEpochs {
		t.Errorf("%d epochs are announced of %d that have just risen, want %d", len(got), 2*maxNewEpochs, maxNewEpochs)
	}
	if got := e.recent(now.Add(epochAnnouncedFor)); len(got) != 0 {
		t.Errorf("%d epochs are announced after %v, want none", len(got), epochAnnouncedFor)
	}
}

// An epoch that falls would let no call to the entry in any more, because that one
// remembers the higher epoch.
func TestForgottenEpochsDoNotFall(t *testing.T) {
	now := time.Now()
	e := newEpochs()
	for range 5 {
		e.next(now, 1)
	}
	for id := range cells.Incarnation(2 * maxEpochs) {
		e.next(now.Add(time.Duration(1+id)*time.Second), 2+id)
	}
	if len(e.byEntry) > maxEpochs {
		t.Errorf("%d epochs are kept, want at most %d", len(e.byEntry), maxEpochs)
	}
	if got := e.current(1); got < 5 {
		t.Errorf("epoch %d, was 5 before it was forgotten", got)
	}
}

// An entry that forgets withdrawals must not refuse calls of other entries, whose
// epochs are lower.
func TestForgottenWithdrawalsRefuseNothing(t *testing.T) {
	now := time.Now()
	e := newEpochs()
	for id := range cells.Incarnation(2 * maxEpochs) {
		e.raise(now.Add(time.Duration(id)*time.Second), 1+id, 100)
	}
	if len(e.byEntry) > maxEpochs || e.current(1) != 0 || e.current(2*maxEpochs) != 100 {
		t.Errorf("%d epochs, %d for the oldest and %d for the newest, want at most %d, 0 and 100", len(e.byEntry), e.current(1), e.current(2*maxEpochs), maxEpochs)
	}
	e.raise(now, 2*maxEpochs, 99)
	if got := e.current(2 * maxEpochs); got != 100 {
		t.Errorf("epoch %d after a delayed heartbeat, want 100", got)
	}
}

// Calls that break together begin one epoch, not one each: the second one would
// withdraw jobs that were submitted again in between.
func TestCallsThatBreakTogetherBeginOneEpoch(t *testing.T) {
	s := newCallSet()
	first, second, other := s.open(context.Background(), 2), s.open(context.Background(), 2), s.open(context.Background(), 3)
	if epoch, calls := s.giveUpBroken(first); epoch != 1 || calls != 2 {
		t.Errorf("epoch %d, %d calls, want epoch 1 and both calls", epoch, calls)
	}
	again := s.open(context.Background(), 2)
	if epoch, calls := s.giveUpBroken(second); epoch != 0 || calls != 0 {
		t.Errorf("the second call began epoch %d with %d calls, want none", epoch, calls)
	}
	if again.epoch != 1 || again.ctx.Err() != nil {
		t.Errorf("the next call has epoch %d, ended by %v, want an open one of epoch 1", again.epoch, again.ctx.Err())
	}
	if !errors.Is(context.Cause(second.ctx), errCallsGivenUp) {
		t.Errorf("the second call goes on (%v): its connection is the one that broke", context.Cause(second.ctx))
	}
	if other.epoch != 0 || other.ctx.Err() != nil {
		t.Error("a call to another entry was given up")
	}
	s.end(first)
	s.end(second)
	if got := s.entries(); len(got) != 2 {
		t.Errorf("open calls to %v, want the later one and that to the other entry", got)
	}
	if epoch, calls := s.giveUp(4, errEntryGone); epoch != 0 || calls != 0 {
		t.Errorf("epoch %d without an open call, want no new one", epoch)
	}
}

// Guards against a delayed request that starts a job after its entry has given it up,
// and against calls of an older version, without epochs, that are refused.
func TestWithdrawnCallsAreRefused(t *testing.T) {
	s := newCallSet()
	admit := func(id cells.Incarnation, epoch uint64) *call {
		t.Helper()
		c, err := s.admit(context.Background(), id, epoch, 0)
		if err != nil {
			t.Fatalf("call of epoch %d from %d: %v", epoch, id, err)
		}
		return c
	}
	old, other := admit(2, 0), admit(3, 0)
	second := admit(2, 1)
	if old.ctx.Err() == nil || second.ctx.Err() != nil {
		t.Errorf("ended: %v and %v, want only the call of the epoch that a later call has ended", old.ctx.Err(), second.ctx.Err())
	}
	for i, want := range []int{1, 0} {
		if n := s.withdraw(2, 2); n != want {
			t.Errorf("heartbeat %d withdrew %d calls, want %d", i, n, want)
		}
	}
	resubmitted := admit(2, 2)
	if second.ctx.Err() == nil || resubmitted.ctx.Err() != nil || other.ctx.Err() != nil {
		t.Errorf("ended: %v, %v and %v, want only the call of the earlier epoch", second.ctx.Err(), resubmitted.ctx.Err(), other.ctx.Err())
	}
	for epoch := range uint64(2) {
		if _, err := s.admit(context.Background(), 2, epoch, 0); !errors.Is(err, errCallWithdrawn) {
			t.Errorf("a delayed request of epoch %d: error %v, want %v", epoch, err, errCallWithdrawn)
		}
	}
	if n := s.withdraw(2, 1); n != 0 {
		t.Errorf("a delayed heartbeat withdrew %d calls, want none", n)
	}
	admit(2, 2)
	admit(2, 3)
	admit(3, 0)
}
