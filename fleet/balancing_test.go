package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/dispatch/balance"
	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// loadedHeartbeat announces a queue of 300 ms.
func loadedHeartbeat() *fleetpb.Beat {
	b := validHeartbeat()
	r := b.Rooms[0]
	r.WaitUs, r.Trend, r.MilliCores, r.WaitAgeUs = proto.Int64(300_000), 0.5, 64_000, 20_000
	return b
}

// Guards against an invalid load that is used, or that is dropped together with its
// heartbeat, whose sender is live, or without a log line; and against a log line for
// older versions, which announce no load.
func TestInvalidAnnouncedLoadsAreDropped(t *testing.T) {
	for name, c := range map[string]struct {
		spoil      func(*fleetpb.Room)
		used, logs int
	}{
		"valid":               {func(*fleetpb.Room) {}, 1, 0},
		"of an older version": {func(r *fleetpb.Room) { *r = fleetpb.Room{FailureDomain: "d0", Cell: 1, Of: 2} }, 0, 0},
		"from the future":     {func(r *fleetpb.Room) { r.WaitAgeUs = -1 }, 0, 1},
		"not a number":        {func(r *fleetpb.Room) { r.Trend = float32(math.NaN()) }, 0, 1},
		"an absurd wait":      {func(r *fleetpb.Room) { r.WaitUs = proto.Int64(math.MaxInt64) }, 0, 1},
		"a negative wait":     {func(r *fleetpb.Room) { r.WaitUs = proto.Int64(math.MinInt64) }, 0, 1},
		"no cores":            {func(r *fleetpb.Room) { r.MilliCores = 0 }, 0, 1},
		"absurdly many cores": {func(r *fleetpb.Room) { r.MilliCores = math.MaxUint64 }, 0, 1},
	} {
		l := testLoop(t, nil)
		l.settings.Balancing = true
		core, logs := observer.New(zapcore.WarnLevel)
		l.log = zap.New(core)
		b := loadedHeartbeat()
		c.spoil(b.Rooms[0])
		l.receiveCapacity(time.Now(), b)
		_, known := l.balancer.table.Expected(time.Now(), b.Incarnation)
		if known != (c.used == 1) || logs.FilterMessage("announced_load_invalid").Len() != c.logs {
			t.Errorf("%s: used %v, %d log lines, want %d and %d", name, known, logs.Len(), c.used, c.logs)
		}
		if len(l.peerCapacity) != 1 {
			t.Errorf("%s: the free capacity was not recorded", name)
		}
	}
}

// twoHolders returns a service in a snapshot with a holder in its own failure
// domain, whose wait is given, and an idle one in another.
func twoHolders(t *testing.T, wait time.Duration) (s *Service, latest *Snapshot) {
	t.Helper()
	l := testLoop(t, nil)
	l.settings.Balancing = true
	now := time.Now()
	r := cells.New(cells.Entry{Name: "e0", FailureDomain: "d0", Incarnation: 1, Weight: 1, Leaving: true}, now.Add(-time.Minute))
	r.ReceiveHeartbeat(now, cells.Entry{Name: "here", FailureDomain: "d0", Incarnation: 2, Weight: 1, Interval: time.Second})
	r.ReceiveHeartbeat(now, cells.Entry{Name: "there", FailureDomain: "d1", Incarnation: 3, Weight: 1, Interval: time.Second})
	l.balancer.receive(now, 2, &balance.Load{Wait: wait, Cores: 64}, transferWithinDomain)
	l.balancer.receive(now, 3, &balance.Load{Cores: 64}, transferBetweenDomains)
	return newService(l, l.peers, zap.NewNop(), l.metrics), &Snapshot{View: r.View(now), CellCounts: map[string]int{"d0": 1, "d1": 1}}
}

// Guards against a new job that leaves its failure domain although the queue there is
// short, and against a returned job that does not go to the holder that was named, or
// goes to it although it is not live.
func TestHolderIsChosenByExpectedWait(t *testing.T) {
	for _, c := range []struct {
		wait      time.Duration
		job       leased.Job
		preferred cells.Incarnation
		want      string
	}{
		{40 * time.Millisecond, leased.Job{}, 0, "here"},
		{400 * time.Millisecond, leased.Job{}, 0, "there"},
		{400 * time.Millisecond, leased.Job{Resubmitted: true}, 0, "here"},
		{0, leased.Job{}, 3, "there"},
		{0, leased.Job{}, 99, "here"},
	} {
		s, latest := twoHolders(t, c.wait)
		// Another holder with an empty queue keeps the mean wait low.
		for id := cells.Incarnation(10); id < 20; id++ {
			s.loop.balancer.receive(time.Now(), id, &balance.Load{Cores: 64}, 0)
		}
		if got, ok := s.chooseHolder(latest, &c.job, c.preferred, &passedOver{}); !ok || got.Name != c.want {
			t.Errorf("wait %v, preferred %d: %q, want %q", c.wait, c.preferred, got.Name, c.want)
		}
	}
}

// Guards against a job that circulates among full holders: it must move only once,
// even if its second holder returns it with a further one.
func TestJobMovesOnce(t *testing.T) {
	s, _ := twoHolders(t, 0)
	from := cells.Entry{Name: "here", Incarnation: 2}
	job := leased.Job{ID: "j", Movable: true}
	to, moved := s.jobMoved(returnedError(&job, 3), from, &job, time.Now().Add(-100*time.Millisecond))
	if !moved || to != 3 || job.Movable || job.Resubmitted {
		t.Errorf("moved %v to %d: %+v", moved, to, job)
	}
	if err := returnedError(&job, 2); !errors.Is(err, errNotHolder) {
		t.Errorf("second return: %v, want %v", err, errNotHolder)
	}
	back := jobFromPB(jobToPB(&leased.Job{Movable: true}, 1))
	if !back.Movable {
		t.Error("movable is lost on the wire")
	}
}

// Guards against an answer to a sender of an older version with a verdict that it does
// not know.
func TestMovedVerdictIsOnlyForSendersThatKnowIt(t *testing.T) {
	moved := &leased.Answer{Verdict: leased.Moved, To: 3}
	if r := answerOf(moved, true); r.Verdict != fleetpb.Verdict_MOVED || r.To != 3 {
		t.Errorf("%v, want MOVED to 3", r)
	}
	if r := answerOf(moved, false); r.Verdict != fleetpb.Verdict_NOT_HOLDER {
		t.Errorf("%v, want NOT_HOLDER", r)
	}
}
