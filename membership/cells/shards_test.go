package cells

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	simStep   = 50 * time.Millisecond
	simBeat   = 100 * time.Millisecond
	simProbe  = 500 * time.Millisecond // between calls of an entry that are answered
	simRetry  = 150 * time.Millisecond // after a call that was turned away
	simShards = 8
)

// simEntry is an entry of a simulated fleet.
type simEntry struct {
	id       Entry
	roster   *Roster
	calls    LogCalls
	nextCall time.Time
	view     *View
}

// simFleet simulates entries that exchange heartbeats and call the log.
type simFleet struct {
	now     time.Time
	entries []*simEntry
	// turnedAway reports whether the log turns an entry away at a time since start.
	turnedAway func(entry int, at time.Duration) bool
	owners     []Incarnation
	moves      int
	observe    func(at time.Duration)
}

func newSimFleet(n int, turnedAway func(int, time.Duration) bool) *simFleet {
	f := &simFleet{now: start, turnedAway: turnedAway}
	for i := range n {
		e := entry(fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i%3), Incarnation(1000+i))
		f.entries = append(f.entries, &simEntry{id: e, roster: New(e, start.Add(-time.Minute))})
	}
	f.exchangeHeartbeats()
	return f
}

func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simStep) {
		for i, e := range f.entries {
			f.callLog(i, e)
			e.roster.ReviewShards(f.now, e.calls)
			e.view = e.roster.View(f.now)
		}
		if f.now.Sub(start)%simBeat == 0 {
			f.exchangeHeartbeats()
		}
		f.countMoves()
		if f.observe != nil {
			f.observe(f.now.Sub(start))
		}
	}
}

// callLog calls the log as an entry does: for the shards that it owns, or to find out
// whether it is served.
func (f *simFleet) callLog(i int, e *simEntry) {
	if f.now.Before(e.nextCall) || !e.ownsShard() && !e.roster.ProbesLog(f.now) {
		return
	}
	if f.turnedAway(i, f.now.Sub(start)) {
		e.calls.NotServed(f.now)
		e.nextCall = f.now.Add(simRetry)
		return
	}
	e.calls.Answered(f.now)
	e.nextCall = f.now.Add(simProbe)
}

func (e *simEntry) ownsShard() bool {
	for shard := range simShards {
		if e.view == nil {
			return false
		}
		if owner, ok := e.view.Owner(shard, simShards); ok && owner.Incarnation == e.id.Incarnation {
			return true
		}
	}
	return false
}

func (f *simFleet) exchangeHeartbeats() {
	for _, from := range f.entries {
		for _, to := range f.entries {
			to.roster.ReceiveHeartbeat(f.now, from.roster.self)
			to.roster.ReceiveLogContact(f.now, from.id.Incarnation, from.calls.Contact(f.now))
		}
	}
}

// countMoves counts the shards whose owner has changed, as the first entry sees it.
func (f *simFleet) countMoves() {
	owners := make([]Incarnation, simShards)
	for shard := range owners {
		owner, _ := f.entries[0].view.Owner(shard, simShards)
		owners[shard] = owner.Incarnation
		if f.owners != nil && f.owners[shard] != owner.Incarnation {
			f.moves++
		}
	}
	f.owners = owners
}

// ownersTurnedAway returns how many shards an entry owns that the log turns away.
func (f *simFleet) ownersTurnedAway() int {
	n := 0
	for _, owner := range f.owners {
		if f.turnedAway(int(owner)-1000, f.now.Sub(start)) {
			n++
		}
	}
	return n
}

// Guards against jobs that nobody knows or runs: the log turned three of nine
// entries away for 9 s, and they stayed the owners of their shards.
func TestEntriesThatTheLogTurnsAwayYieldTheirShards(t *testing.T) {
	const from, until = 5 * time.Second, 14 * time.Second
	f := newSimFleet(9, func(i int, at time.Duration) bool { return i >= 1 && i <= 3 && at >= from && at < until })
	f.run(from)
	before := slices.Clone(f.owners)
	f.run(simStep)
	affected := f.ownersTurnedAway()
	if affected == 0 {
		t.Fatal("the entries that are turned away own no shard: the test shows nothing")
	}
	f.observe = func(at time.Duration) {
		if n := f.ownersTurnedAway(); at >= from+2*time.Second && n > 0 {
			t.Fatalf("%v after the log began to turn entries away, they own %d shards", at-from, n)
		}
	}
	f.run(until - from - simStep)
	f.observe = nil
	if f.moves != affected {
		t.Errorf("%d shards moved, want the %d of the entries that are turned away", f.moves, affected)
	}
	f.run(10 * time.Second)
	if !slices.Equal(f.owners, before) {
		t.Errorf("the shards are owned by %v in the end, want %v as before", f.owners, before)
	}
}

// A log that is down for everybody, or that answers everybody late, must move no
// shard: the move would cost the offers of its jobs and gain nothing.
func TestLogThatServesNobodyMovesNoShard(t *testing.T) {
	for name, turnedAway := range map[string]func(int, time.Duration) bool{
		"at the same time": func(_ int, at time.Duration) bool { return at >= 5*time.Second && at < 14*time.Second },
		"one by one within 0.5 s": func(i int, at time.Duration) bool {
			return at >= 5*time.Second+time.Duration(i)*60*time.Millisecond && at < 14*time.Second
		},
		"served again one by one": func(i int, at time.Duration) bool {
			return at >= 5*time.Second && at < 14*time.Second+time.Duration(i)*60*time.Millisecond
		},
		"one call in two": func(i int, at time.Duration) bool { return (int(at/simStep)+i)%2 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newSimFleet(9, turnedAway)
			f.run(30 * time.Second)
			if f.moves != 0 {
				t.Errorf("%d shards moved, want none", f.moves)
			}
		})
	}
}

// An entry that the log turns away time and again must not move its shards each
// time.
func TestFlappingEntryMovesFewShards(t *testing.T) {
	for _, period := range []time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second} {
		t.Run(period.String(), func(t *testing.T) {
			f := newSimFleet(9, func(i int, at time.Duration) bool { return i == 1 && at%period < period/2 })
			owned := 0
			f.run(simStep)
			for _, owner := range f.owners {
				if owner == 1001 {
					owned++
				}
			}
			f.run(2 * time.Minute)
			if limit := 4 * owned; owned == 0 || f.moves > limit {
				t.Errorf("%d moves of %d shards within 2 min, want at most %d", f.moves, owned, limit)
			}
		})
	}
}

// Each shard must have an owner that the log serves, whichever entry that is: also
// if the last one that has not yielded is turned away.
func TestYieldedShardsReturnWhenTheOthersAreTurnedAway(t *testing.T) {
	f := newSimFleet(3, func(i int, at time.Duration) bool {
		if i == 0 {
			return at >= 11*time.Second
		}
		return at >= 2*time.Second && at < 10*time.Second
	})
	f.run(10 * time.Second)
	if n := f.ownersTurnedAway(); n != 0 {
		t.Fatalf("%d shards are owned by entries that are turned away", n)
	}
	f.run(5 * time.Second)
	if n := f.ownersTurnedAway(); n != 0 {
		t.Errorf("4 s after the roles changed, %d shards are owned by an entry that is turned away", n)
	}
}

// Guards against an entry that takes shards again too early: a call that was sent
// before the log began to turn the entry away, and answered after that, does not show
// that the log has served the entry since it was sent.
func TestLateAnswerCountsFromTheFailuresBeforeIt(t *testing.T) {
	var calls LogCalls
	failed := start.Add(2 * time.Second)
	calls.NotServed(failed)
	calls.Answered(start)
	if calls.ServedSince.Before(failed) {
		t.Errorf("served since %v before a failed call", failed.Sub(calls.ServedSince))
	}
	if !calls.FailingSince.IsZero() || calls.Failed != 0 {
		t.Errorf("failing since %v, %d failed calls, want none after an answer", calls.FailingSince, calls.Failed)
	}
}
