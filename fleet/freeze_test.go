package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// fakeClocks are clocks that a test sets.
type fakeClocks struct {
	monotonic time.Time
	boot      time.Duration
}

func (c *fakeClocks) read() (time.Time, time.Duration) { return c.monotonic, c.boot }

func (c *fakeClocks) advance(d time.Duration) {
	c.monotonic = c.monotonic.Add(d)
	c.boot += d
}

// freeze advances only the boot clock, as a freeze of the VM does.
func (c *fakeClocks) freeze(d time.Duration) { c.boot += d }

func TestFreezeIsDetectedOnce(t *testing.T) {
	clocks := &fakeClocks{monotonic: time.Now()}
	detector := newFreezeDetector(clocks.read, zap.NewNop())
	clocks.advance(time.Minute)
	if resumedAt := detector.check(); !resumedAt.IsZero() {
		t.Errorf("without a freeze: resumed at %v", resumedAt)
	}
	clocks.freeze(3 * time.Second)
	resumedAt := detector.check()
	if !resumedAt.Equal(clocks.monotonic) {
		t.Errorf("after a freeze: resumed at %v, want %v", resumedAt, clocks.monotonic)
	}
	clocks.advance(100 * time.Millisecond)
	if again := detector.check(); !again.Equal(resumedAt) {
		t.Errorf("later: resumed at %v, want %v", again, resumedAt)
	}
	if pause := detector.remainingPause(); pause != resumePause-100*time.Millisecond {
		t.Errorf("remaining pause %v, want %v", pause, resumePause-100*time.Millisecond)
	}
}

// If only the process is stopped and not its VM, both clocks count the time, so
// the freeze shows only in the time between two checks.
func TestSuspendedProcessIsDetectedByGapBetweenChecks(t *testing.T) {
	clocks := &fakeClocks{monotonic: time.Now()}
	detector := newFreezeDetector(clocks.read, zap.NewNop())
	detector.setMaxGap(450 * time.Millisecond)
	for range 10 {
		clocks.advance(400 * time.Millisecond)
		if resumedAt := detector.check(); !resumedAt.IsZero() {
			t.Fatalf("without a gap between checks: resumed at %v", resumedAt)
		}
	}
	clocks.advance(2 * time.Second)
	if resumedAt := detector.check(); !resumedAt.Equal(clocks.monotonic) {
		t.Errorf("after the process was stopped: resumed at %v, want %v", resumedAt, clocks.monotonic)
	}
}

// recordingEndpoints records the Holds that it receives, and answers every call
// with an empty reply.
type recordingEndpoints struct{ holds chan leased.Hold }

func (r recordingEndpoints) Start(context.Context, *leased.Start) leased.StartReply {
	return leased.StartReply{}
}
func (r recordingEndpoints) Stop(context.Context, *leased.Stop) leased.StopReply {
	return leased.StopReply{}
}
func (r recordingEndpoints) Hold(_ context.Context, h *leased.Hold) leased.HoldReply {
	r.holds <- *h
	return leased.HoldReply{}
}

// After a freeze, an entry finds that another entry has fenced it off. Its view
// of the entries is older than the freeze, so it must not reclaim the endpoint.
func TestResumedEntryDoesNotReclaimEndpoints(t *testing.T) {
	stopProcess := func(c *fakeClocks) { c.advance(3 * time.Second) }
	freezeVM := func(c *fakeClocks) { c.freeze(3 * time.Second) }
	for name, suspend := range map[string]func(*fakeClocks){"process stopped": stopProcess, "VM frozen": freezeVM} {
		t.Run(name, func(t *testing.T) { testResume(t, suspend) })
	}
}

func testResume(t *testing.T, suspend func(*fakeClocks)) {
	clocks := &fakeClocks{monotonic: time.Now()}
	self := cells.Entry{Name: "a1", FailureDomain: "a", Incarnation: 1, Weight: 1}
	endpoints := recordingEndpoints{make(chan leased.Hold, 100)}
	log := zap.NewNop()
	l := newLoop(Settings{MaxLease: time.Second, EndpointsPerCell: DefaultEndpointsPerCell}, self, endpoints, log,
		newMetrics(func() float64 { return 0 }), newPeers(self.Incarnation, log), newFreezeDetector(clocks.read, log))
	l.roster = cells.New(self, time.Now().Add(-time.Minute))
	l.handle(setDirectory{Directory{Endpoints: []leased.Endpoint{{ID: "e1", Address: "e1", FailureDomain: "a"}}}})
	l.heartbeats = &heartbeats{}
	l.refresh(time.Now())
	l.updateMaxCheckGap()
	first := <-endpoints.holds
	suspend(clocks)
	l.handle(coreInput{&leased.HoldReply{Endpoint: "e1", Sequence: first.Sequence, Result: leased.HoldFenced}})
	l.handle(coreInput{&leased.Tick{}})
	if l.freezeDetector.remainingPause() <= 0 {
		t.Error("requests of callers are not delayed")
	}
	select {
	case h := <-endpoints.holds:
		t.Errorf("the endpoint was reclaimed with token %d", h.Token)
	case <-time.After(100 * time.Millisecond):
	}
}

// Guards against a job that is rejected, or waits beyond its caller's deadline,
// because its process was frozen while it waited for a holder.
func TestSearchForHolderBeginsAnewAfterFreeze(t *testing.T) {
	const frozenAfter = time.Second
	for _, c := range []struct {
		name          string
		evacuated     bool // the own failure domain
		callerTimeout time.Duration
		want          leased.Verdict
		after         time.Duration
	}{
		{"no holder found", false, time.Hour, leased.Rejected, frozenAfter + holderTimeout},
		{"deadline during the search", false, 1500 * time.Millisecond, leased.Abandoned, 1500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, freeze := searchingService(t, c.evacuated)
				time.AfterFunc(frozenAfter, freeze)
				checkSearch(t, s, c.callerTimeout, c.want, c.after)
			})
		})
	}
}

// Guards against a job that is rejected because its process was not scheduled for half a
// second, which is no freeze, while another holder had the endpoints already.
func TestSearchForHolderDoesNotCountStalls(t *testing.T) {
	const stallTime = 500 * time.Millisecond
	for _, c := range []struct {
		name    string
		stalls  int
		timeout time.Duration // expected
	}{
		{"none", 0, holderTimeout},
		{"one", 1, holderTimeout + stallTime},
		{"most of the time", 100, 2 * holderTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, _ := searchingService(t, false)
				began, stalls := time.Now(), 0
				s.loop.freezeDetector = newFreezeDetector(func() (time.Time, time.Duration) {
					if time.Since(began) > 300*time.Millisecond && stalls < c.stalls {
						stalls++
						time.Sleep(stallTime)
					}
					return time.Now(), time.Since(began)
				}, zap.NewNop())
				got := s.Submit(t.Context(), leased.Job{ID: "j", Service: "s", CallerTimeout: time.Hour, Steps: []leased.Step{{Tasks: 1}}})
				if took := time.Since(began); got.Verdict != leased.Rejected || took < c.timeout || took > c.timeout+2*maxHolderBackoff+2*stallTime {
					t.Errorf("%v after %v, want rejected after %v", got.Verdict, took, c.timeout)
				}
			})
		})
	}
}

// Guards against callers of an evacuated domain that are rejected after a freeze
// because no other entry has been heard again yet.
func TestJobsOfAnEvacuatedDomainWaitForHoldersAfterFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, freeze := searchingService(t, true)
		freeze()
		checkSearch(t, s, time.Hour, leased.Rejected, holderTimeout)
		checkSearch(t, s, time.Hour, leased.Rejected, 0)
	})
}

// searchingService returns a service that knows no holder, and a function that
// freezes its VM.
func searchingService(t *testing.T, evacuated bool) (s *Service, freeze func()) {
	t.Helper()
	const freezeTime = 2 * time.Second
	l := testLoop(t, nil)
	began := time.Now()
	var frozen atomic.Int64
	l.freezeDetector = newFreezeDetector(func() (time.Time, time.Duration) {
		return time.Now(), time.Since(began) + time.Duration(frozen.Load())
	}, zap.NewNop())
	latest := &Snapshot{View: l.view, CellCounts: map[string]int{"d0": 1}}
	latest.View.Self.FailureDomain = "d0"
	if evacuated {
		latest.DomainShares = map[string]float64{"d0": 0}
		latest.CellCounts["d1"] = 1
	}
	l.snapshot.Store(latest)
	return newService(l, l.peers, zap.NewNop(), l.metrics), func() { frozen.Add(int64(freezeTime)) }
}

// checkSearch checks the verdict about a job, and when it is given. A freeze is
// noticed, and a search ends, when the next attempt to find a holder fails.
func checkSearch(t *testing.T, s *Service, callerTimeout time.Duration, want leased.Verdict, after time.Duration) {
	t.Helper()
	began := time.Now()
	got := s.Submit(t.Context(), leased.Job{ID: "j", Service: "s", CallerTimeout: callerTimeout, Steps: []leased.Step{{Tasks: 1}}})
	if took := time.Since(began); got.Verdict != want || took < after || took > after+2*maxHolderBackoff {
		t.Errorf("%v after %v (%s), want %v after %v", got.Verdict, took, got.Reason, want, after)
	}
}
