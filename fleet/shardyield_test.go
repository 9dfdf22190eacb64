package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/fleet/keep"
	"lovagespread.example/fleet/keep/keeptest"
	"lovagespread.example/membership/cells"
)

// resultLog is a log whose Open returns a fixed error.
type resultLog struct {
	keep.Log
	err error
}

func (l *resultLog) Open(context.Context, int, int64) error { return l.err }

// A log that answers with what it holds serves the entry, and one that refuses or is
// silent does not. Guards against shards that move because an owner was replaced, or
// because a call was given up.
func TestWhetherTheLogServesAnEntry(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	timedOut, cancelTimedOut := context.WithTimeout(context.Background(), 0)
	defer cancelTimedOut()
	for name, c := range map[string]struct {
		ctx    context.Context
		err    error
		served bool
		failed int
	}{
		"answered":       {context.Background(), nil, true, 0},
		"fenced":         {context.Background(), &keep.FencedError{Epoch: 1}, true, 0},
		"wrong sequence": {context.Background(), errors.Wrap(&keep.SequenceError{Expected: 3}, "append"), true, 0},
		"trimmed":        {context.Background(), &keep.GapError{First: 3}, true, 0},
		"refused":        {context.Background(), &keep.RefusedError{Cause: errors.New("503")}, false, 1},
		"reset":          {context.Background(), errors.New("connection reset"), false, 1},
		"silent":         {timedOut, context.DeadlineExceeded, false, 1},
		"given up":       {cancelled, context.Canceled, false, 0},
	} {
		l := &observedLog{Log: &resultLog{Log: keeptest.NewLog(), err: c.err}}
		if err := l.Open(c.ctx, 0, 1); !errors.Is(err, c.err) {
			t.Errorf("%s: error %v, want that of the log, %v", name, err, c.err)
		}
		calls := l.latest()
		if served := !calls.AnsweredAt.IsZero(); served != c.served || calls.Failed != c.failed {
			t.Errorf("%s: served %v, %d failed calls, want %v, %d", name, served, calls.Failed, c.served, c.failed)
		}
	}
}

// A probe must not fence off the owner of a shard, whatever its epoch.
func TestProbesFenceOffNoOwner(t *testing.T) {
	log := keeptest.NewLog()
	ctx := context.Background()
	owner := time.Now().UnixMilli()
	if err := log.Open(ctx, 0, owner); err != nil {
		t.Fatal(err)
	}
	if err := log.Open(ctx, 0, probeEpoch); !servedByLog(err) {
		t.Errorf("probe: %v, want an answer", err)
	}
	if _, err := log.Append(ctx, 0, owner, 1, []byte("x")); err != nil {
		t.Errorf("append of the owner after a probe: %v", err)
	}
}

// Guards against an entry that the log turns away and that does not tell the others,
// or yields although the log serves nobody: the decision and its announcement pass
// through heartbeats.
func TestYieldIsAnnouncedInHeartbeats(t *testing.T) {
	for _, servesOthers := range []bool{true, false} {
		l := testLoop(t, nil)
		withHeartbeats(t, l)
		l.jobLog = &observedLog{Log: keeptest.NewLog()}
		other := validHeartbeat()
		other.IntervalMs = 2000
		other.LogFails = !servesOthers
		for range 4 {
			l.jobLog.observe(context.Background(), time.Now().Add(-1900*time.Millisecond), errors.New("reset"))
		}
		if l.heartbeat(true).YieldsShards || !l.heartbeat(true).LogFails {
			t.Fatal("before it has heard of others, the entry yields, or does not say that its calls fail")
		}
		other.LogAnsweredMs = 3000
		if servesOthers {
			other.LogAnsweredMs = 10
		}
		peerHeartbeat{other}.handle(l)
		now := time.Now()
		l.refresh(now)
		peerHeartbeat{other}.handle(l)
		later := now.Add(1600 * time.Millisecond)
		l.roster.ReceiveHeartbeat(later, entryOf(other))
		l.roster.ReceiveLogContact(later, cells.Incarnation(other.Incarnation), logContactOf(other))
		l.refresh(later)
		b := l.heartbeat(true)
		if b.YieldsShards != servesOthers {
			t.Errorf("the log serves others: %v; the heartbeat says yields %v", servesOthers, b.YieldsShards)
		}
		if got := entryOf(b).YieldsShards; got != servesOthers {
			t.Errorf("the log serves others: %v; the receiver takes the entry for one that yields: %v", servesOthers, got)
		}
		if _, ok := l.view.Owner(0, 1); !ok {
			t.Error("the shard has no owner")
		} else if owner, _ := l.view.Owner(0, 1); servesOthers && owner.Incarnation == l.view.Self.Incarnation {
			t.Error("the entry that yields is the owner of the shard")
		}
		if !l.roster.ProbesLog(later) {
			t.Error("the entry does not probe the log")
		}
	}
}
