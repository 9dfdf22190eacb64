package fleet

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// fakeClocks are clocks that a test moves.
type fakeClocks struct {
	steady time.Time
	boot   time.Duration
}

func (c *fakeClocks) read() (time.Time, time.Duration) { return c.steady, c.boot }

func (c *fakeClocks) pass(d time.Duration) {
	c.steady = c.steady.Add(d)
	c.boot += d
}

// freeze lets time pass that the steady clock does not count.
func (c *fakeClocks) freeze(d time.Duration) { c.boot += d }

func TestFreezeIsFoundOnce(t *testing.T) {
	clocks := &fakeClocks{steady: time.Now()}
	w := newFreezeWatch(clocks.read, zap.NewNop())
	clocks.pass(time.Minute)
	if woke := w.look(); !woke.IsZero() {
		t.Errorf("awake all the time: woke at %v", woke)
	}
	clocks.freeze(3 * time.Second)
	woke := w.look()
	if !woke.Equal(clocks.steady) {
		t.Errorf("after a freeze: woke at %v, want %v", woke, clocks.steady)
	}
	clocks.pass(100 * time.Millisecond)
	if again := w.look(); !again.Equal(woke) {
		t.Errorf("later: woke at %v, want %v", again, woke)
	}
	if rest := w.rest(); rest != wakePause-100*time.Millisecond {
		t.Errorf("rest %v, want %v", rest, wakePause-100*time.Millisecond)
	}
}

// A process that stands still while its VM goes on finds its clocks in step.
func TestStoppedProcessIsFoundByItsMissingLooks(t *testing.T) {
	clocks := &fakeClocks{steady: time.Now()}
	w := newFreezeWatch(clocks.read, zap.NewNop())
	w.expect(450 * time.Millisecond)
	for range 10 {
		clocks.pass(400 * time.Millisecond)
		if woke := w.look(); !woke.IsZero() {
			t.Fatalf("it looked often enough: woke at %v", woke)
		}
	}
	clocks.pass(2 * time.Second)
	if woke := w.look(); !woke.Equal(clocks.steady) {
		t.Errorf("after it was stopped: woke at %v, want %v", woke, clocks.steady)
	}
}

// recordedEndpoints notes the orders that it is given and answers none.
type recordedEndpoints struct{ holds chan leased.Hold }

func (r recordedEndpoints) Start(context.Context, *leased.Start) leased.StartReply {
	return leased.StartReply{}
}
func (r recordedEndpoints) Stop(context.Context, *leased.Stop) leased.StopReply {
	return leased.StopReply{}
}
func (r recordedEndpoints) Hold(_ context.Context, h *leased.Hold) leased.HoldReply {
	r.holds <- *h
	return leased.HoldReply{}
}

// An entry that wakes up finds that another one has fenced it off. Its picture
// of the entries is from before the freeze: it must not take the endpoint back.
func TestEntryThatWakesUpDoesNotTakeEndpointsBack(t *testing.T) {
	stop := func(c *fakeClocks) { c.pass(3 * time.Second) }
	freeze := func(c *fakeClocks) { c.freeze(3 * time.Second) }
	for name, sleep := range map[string]func(*fakeClocks){"process stopped": stop, "VM frozen": freeze} {
		t.Run(name, func(t *testing.T) { testWakeUp(t, sleep) })
	}
}

func testWakeUp(t *testing.T, sleep func(*fakeClocks)) {
	clocks := &fakeClocks{steady: time.Now()}
	self := cells.Entry{Name: "a1", FailureDomain: "a", Incarnation: 1, Weight: 1}
	endpoints := recordedEndpoints{make(chan leased.Hold, 100)}
	log := zap.NewNop()
	l := newLoop(Settings{MaxLease: time.Second, EndpointsPerCell: DefaultEndpointsPerCell}, self, endpoints, log,
		newMetrics(func() float64 { return 0 }), newPeers(self.Incarnation, log), newFreezeWatch(clocks.read, log))
	l.roster = cells.New(self, time.Now().Add(-time.Minute))
	l.take(setDirectory{Directory{Endpoints: []leased.Endpoint{{ID: "e1", Address: "e1", FailureDomain: "a"}}}})
	l.beats = &beats{}
	l.refresh(time.Now())
	l.expectLooks()
	first := <-endpoints.holds
	sleep(clocks)
	l.take(coreInput{&leased.HoldReply{Endpoint: "e1", Sequence: first.Sequence, Result: leased.HoldFenced}})
	l.take(coreInput{&leased.Tick{}})
	if l.freezes.rest() <= 0 {
		t.Error("callers' requests are not held back")
	}
	select {
	case h := <-endpoints.holds:
		t.Errorf("the endpoint was taken back with token %d", h.Token)
	case <-time.After(100 * time.Millisecond):
	}
}
