package fleet

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// silentPair is a caller and a holder without a connection that would end their calls:
// a test hands the caller's requests to the holder, and only heartbeats connect them.
type silentPair struct {
	caller, holder *Loop
	server         *server    // of the holder
	front          *fakeEntry // takes the caller's requests instead of the holder
}

func newSilentPair(t *testing.T) *silentPair {
	t.Helper()
	p := &silentPair{caller: testLoop(t, nil), holder: testLoop(t, nil)}
	withHeartbeats(t, p.caller)
	p.holder.view.Self.Incarnation = 2
	now := time.Now()
	view := cells.New(p.holder.view.Self, now.Add(-time.Minute)).View(now)
	p.holder.snapshot.Store(&Snapshot{View: view, CellCounts: map[string]int{"d0": 1}})
	p.server = &server{loop: p.holder, peers: p.holder.peers}
	e := cells.Entry{Name: "x", HeartbeatAddress: withHeartbeats(t, p.holder), FailureDomain: "d0", Incarnation: 2, Interval: time.Minute}
	p.front = startFakeEntry(t, e)
	p.front.setSubmit(func(ctx context.Context, _ int) (*fleetpb.SubmitResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	p.front.setLend(func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	p.caller.roster.ReceiveHeartbeat(now, p.front.entry)
	self := p.caller.view.Self
	p.caller.view = p.caller.roster.View(now)
	p.caller.view.Self = self
	p.caller.publish()
	return p
}

// openSubmit submits a job to the holder. It returns how to cancel the call, its
// request, and the result of the call at the holder.
func (p *silentPair) openSubmit(t *testing.T) (context.CancelFunc, *fleetpb.SubmitRequest, <-chan error) {
	t.Helper()
	job := leased.Job{ID: "j", Service: "s", MaxAttempts: 1, CallerTimeout: time.Minute, Steps: []leased.Step{{Tasks: 1, Demand: leased.Demand{MilliCores: 1000}}}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _, _ = p.caller.peers.submit(ctx, p.front.entry, &job) }() // ends with the test
	request := receiveFrom(t, p.front.submits)
	result := make(chan error, 1)
	go func() {
		_, err := p.server.Submit(context.Background(), request)
		result <- err
	}()
	nextMessage[submitJob](t, p.holder).handle(p.holder)
	return cancel, request, result
}

// hear makes the holder handle the next heartbeat.
func (p *silentPair) hear(t *testing.T) {
	t.Helper()
	receiveHeartbeat(t, p.holder)
	nextMessage[peerHeartbeat](t, p.holder).handle(p.holder)
}

// withdrawnCallCount returns the metric of withdrawn calls with a result.
func withdrawnCallCount(t *testing.T, l *Loop, result string) float64 {
	t.Helper()
	families, err := l.metrics.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != "lovage_withdrawn_calls_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			if m.GetLabel()[0].GetValue() == result {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// Guards against a holder that goes on running a job whose client has left: the
// cancelled call does not reach it on a silent connection, while heartbeats do.
func TestCancelledSubmitIsWithdrawnWithoutItsConnection(t *testing.T) {
	p := newSilentPair(t)
	cancel, _, result := p.openSubmit(t)
	other, err := p.holder.peers.inbound.admit(context.Background(), 1, 0, 1000)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	p.caller.announceWithdrawn(time.Now())
	p.hear(t)
	if err := receiveFrom(t, result); !errors.Is(err, context.Canceled) {
		t.Errorf("the call ended with %v, want %v", err, context.Canceled)
	}
	nextMessage[cancelTicket](t, p.holder) // which stops the runs
	if other.ctx.Err() != nil {
		t.Error("another call of the same entry was cancelled")
	}
	p.hear(t) // the second datagram changes nothing
	if n := withdrawnCallCount(t, p.holder, "cancelled"); n != 1 {
		t.Errorf("%v withdrawn calls are counted, want 1", n)
	}
}

// Guards against a delegate that goes on running a task that was withdrawn. A heartbeat
// that the delegator sends right after it has cancelled the task must name the call: it
// counts as contact.
func TestCancelledDelegationIsNamedByTheNextHeartbeat(t *testing.T) {
	p := newSilentPair(t)
	task := leased.DelegatedTask{ID: leased.TaskID{Job: "j"}, Step: leased.Step{Tasks: 1, Demand: leased.Demand{MilliCores: 1000}}, Run: 1, CallerTimeout: time.Minute, Adopt: true}
	p.caller.delegate(leased.Delegate{Holder: 2, Task: task})
	request := receiveFrom(t, p.front.lends)
	result := make(chan error, 1)
	go func() {
		_, err := p.server.Lend(context.Background(), request)
		result <- err
	}()
	nextMessage[submitDelegated](t, p.holder).handle(p.holder)
	p.caller.cancelDelegation(task.ID)
	p.caller.heartbeats.write(p.front.entry.HeartbeatAddress, p.caller.encodeHeartbeat(true, false))
	p.hear(t)
	if err := receiveFrom(t, result); !errors.Is(err, context.Canceled) {
		t.Errorf("the call ended with %v, want %v", err, context.Canceled)
	}
	nextMessage[cancelTicket](t, p.holder)
	if end := nextMessage[delegationEnded](t, p.caller).reply.End; end != leased.EndUnknown {
		t.Errorf("the task ended with %v, want %v", end, leased.EndUnknown)
	}
	if got := p.caller.heartbeat(true).WithdrawnCalls; len(got) != 1 || !slices.Equal(got[0].Calls, []uint64{request.Call}) {
		t.Errorf("later heartbeats name %v, want call %d once", got, request.Call)
	}
}

// Guards against a request that is delivered after its call was withdrawn, and starts
// the job. The requests of other calls, and of older versions, are let in.
func TestCallThatArrivesAfterItsWithdrawalIsRefused(t *testing.T) {
	l := testLoop(t, nil)
	withHeartbeats(t, l)
	s := &server{loop: l, peers: l.peers}
	b := validHeartbeat()
	b.WithdrawnCalls = []*fleetpb.WithdrawnCalls{{Incarnation: 1, Calls: encodeNumbers([]uint64{9, 5})}, {Incarnation: 3, Calls: []uint64{6}}}
	peerHeartbeat{b}.handle(l)
	for _, number := range []uint64{5, 9} {
		result := make(chan error, 1)
		go func() {
			_, err := s.Lend(context.Background(), &fleetpb.LendRequest{
				From: b.Incarnation, Job: "j", Step: &fleetpb.Step{Tasks: 1, MilliCores: 1000}, Run: 1, PatienceUs: 1_000_000, Adopt: true, Call: number})
			result <- err
		}()
		var refused twirp.Error
		if err := receiveFrom(t, result); !errors.As(err, &refused) || refused.Code() != twirp.FailedPrecondition {
			t.Errorf("call %d: error %v, want %v", number, err, twirp.FailedPrecondition)
		}
	}
	if n := len(l.messages); n != 0 {
		t.Errorf("%d messages of refused calls reached the loop, want none", n)
	}
	if n := withdrawnCallCount(t, l, "refused"); n != 2 {
		t.Errorf("%v refused calls are counted, want 2", n)
	}
	for _, number := range []uint64{0, 6, 8} {
		if _, err := l.peers.inbound.admit(context.Background(), 2, 0, number); err != nil {
			t.Errorf("call %d: %v", number, err)
		}
	}
	if _, err := l.peers.inbound.admit(context.Background(), 4, 0, 5); err != nil {
		t.Errorf("call 5 of another entry: %v", err)
	}
}

// A heartbeat counts as contact, so each one after a withdrawal must name the call until
// the called entry has ended it by itself; one that does not renews the runs.
func TestEachHeartbeatNamesWithdrawnCalls(t *testing.T) {
	s := newCallSet()
	ctx, cancel := context.WithCancel(context.Background())
	call, open := s.open(ctx, 2), s.open(context.Background(), 2)
	defer s.end(open)
	if w := s.withdrawals(time.Now()); len(w.calls) != 0 {
		t.Fatalf("%v are named before any withdrawal", w.calls)
	}
	cancel()
	began := time.Now()
	for at := time.Duration(0); at < withdrawnNamedFor; at += heartbeatInterval {
		w := s.withdrawals(began.Add(at))
		if len(w.calls) != 1 || w.calls[0].Incarnation != 2 || !slices.Equal(w.calls[0].Calls, []uint64{call.number}) {
			t.Fatalf("%v after the withdrawal, %v are named, want call %d to entry 2", at, w.calls, call.number)
		}
		s.withdrawEnded(call) // its goroutine notices the end later
	}
	s.end(call)
	if w := s.withdrawals(time.Now().Add(2 * withdrawnNamedFor)); len(w.calls) != 0 {
		t.Errorf("%v are still named", w.calls)
	}
	if pings := peerPingAfter + peerPingTimeout; withdrawnNamedFor <= pings || minWithdrawnNamedFor <= leased.CallerSilence(0, time.Second) || refusedFor <= withdrawnNamedFor+pings {
		t.Error("calls are named or refused for less time than they may last")
	}
}

// Guards against heartbeats that name calls with an answer, those that were never sent,
// and those that an epoch withdraws: each one costs space.
func TestOnlyUnansweredCallsAreNamed(t *testing.T) {
	answered := func(context.Context, int) (*fleetpb.SubmitResponse, error) { return &fleetpb.SubmitResponse{}, nil }
	failed := func(context.Context, int) (*fleetpb.SubmitResponse, error) {
		return nil, twirp.InternalError("an error of the application")
	}
	broken := func(ctx context.Context, _ int) (*fleetpb.SubmitResponse, error) { return nil, breakConnection(ctx) }
	p := newSilentPair(t)
	for name, submit := range map[string]func(context.Context, int) (*fleetpb.SubmitResponse, error){"answered": answered, "failed": failed, "broken": broken} {
		p.front.setSubmit(submit)
		_, err := p.caller.peers.submit(context.Background(), p.front.entry, &leased.Job{ID: "j"})
		if got := p.caller.heartbeat(true).WithdrawnCalls; len(got) != 0 {
			t.Errorf("%s (error %v): %v are named", name, err, got)
		}
	}
	p.front.setSubmit(func(ctx context.Context, _ int) (*fleetpb.SubmitResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := p.caller.peers.submit(ctx, p.front.entry, &leased.Job{ID: "j"}); err == nil {
		t.Error("a call beyond its deadline returned no error")
	}
	if got := p.caller.heartbeat(true).WithdrawnCalls; len(got) != 1 || len(got[0].Calls) != 1 {
		t.Errorf("after a deadline %v are named, want one call", got)
	}
	p.caller.giveUpCalls(p.front.entry) // no call is open
	open := p.caller.peers.outbound.open(context.Background(), 2)
	p.caller.giveUpCalls(p.front.entry)
	p.caller.peers.outbound.withdrawEnded(open)
	if b := p.caller.heartbeat(true); len(b.WithdrawnCalls) != 0 || len(b.CallEpochs) != 1 {
		t.Errorf("after all calls were given up %v are named, and epochs %v, want one epoch only", b.WithdrawnCalls, b.CallEpochs)
	}
}

// Guards against a wave of cancellations that causes a datagram for each call, or one
// that is too long to be read.
func TestWaveOfCancellationsTakesOneHeartbeat(t *testing.T) {
	const wave = 1000
	p := newSilentPair(t)
	ctx, cancel := context.WithCancel(context.Background())
	for range 50_000 { // calls that were answered before
		p.caller.peers.outbound.end(p.caller.peers.outbound.open(context.Background(), 2))
	}
	for range wave {
		c := p.caller.peers.outbound.open(ctx, 2)
		if _, err := p.holder.peers.inbound.admit(context.Background(), 1, 0, c.number); err != nil {
			t.Fatal(err)
		}
		for range 100 {
			p.caller.peers.outbound.end(p.caller.peers.outbound.open(context.Background(), 3))
		}
	}
	cancel()
	for range 3 {
		p.caller.announceWithdrawn(time.Now())
	}
	p.hear(t)
	if n := withdrawnCallCount(t, p.holder, "cancelled"); n != wave {
		t.Errorf("the first datagram has cancelled %v calls, want %d", n, wave)
	}
	p.hear(t)
	if err := p.holder.heartbeats.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, _, err := p.holder.heartbeats.conn.ReadFromUDP(make([]byte, maxDatagram)); err == nil {
		t.Errorf("a third datagram of %d bytes, want two", n)
	}
}

// Guards against a stream of cancellations that causes heartbeats at every tick.
func TestStreamOfCancellationsCausesFewHeartbeats(t *testing.T) {
	p := newSilentPair(t)
	start := time.Now()
	for at := time.Duration(0); at < heartbeatInterval; at += leased.TickInterval {
		c := p.caller.peers.outbound.open(context.Background(), 2)
		p.caller.peers.outbound.withdrawEnded(c)
		p.caller.announceWithdrawn(start.Add(at))
	}
	if n := len(p.caller.peers.outbound.withdrawn.unannounced); n != 1 {
		t.Errorf("the withdrawals since the first heartbeat are announced already (%d entries left), want them left for the next", n)
	}
	p.caller.announceWithdrawn(start.Add(heartbeatInterval))
	if n := len(p.caller.peers.outbound.withdrawn.unannounced); n != 0 {
		t.Errorf("%d entries are left after %v, want none", n, heartbeatInterval)
	}
}

// Guards against heartbeats beyond the size of a datagram. What no heartbeat names any
// more must have been named for long enough, or be withdrawn by an epoch.
func TestWithdrawnCallsFitIntoAHeartbeat(t *testing.T) {
	const calls = 5000
	s := newCallSet()
	start := time.Now()
	withdraw := func(at time.Time, to cells.Incarnation, n int) {
		for range n {
			c := s.open(context.Background(), to)
			s.remove(c)
			s.withdrawn.add(at, c)
		}
	}
	other := s.open(context.Background(), 3)
	withdraw(start, 2, calls)
	now := start.Add(minWithdrawnNamedFor)
	w := s.withdrawals(now)
	named := decodeNumbers(w.calls[0].Calls)
	if size := proto.Size(&fleetpb.Beat{WithdrawnCalls: w.calls}); size > maxWithdrawnBytes || size < maxWithdrawnBytes/2 {
		t.Errorf("%d bytes for withdrawn calls, want at most %d and at least half of that", size, maxWithdrawnBytes)
	}
	if len(w.overflow) != 0 || len(w.epochs) != 0 || named[len(named)-1] != calls+1 {
		t.Errorf("epochs %v, the last call named is %d, want none, and the newest call %d", w.epochs, named[len(named)-1], calls+1)
	}
	open := s.open(context.Background(), 2)
	withdraw(now, 2, calls)
	withdraw(now, 3, 1)
	w = s.withdrawals(now)
	if len(w.overflow) != 1 || w.overflow[0] != (overflow{to: 2, epoch: 1, calls: 1}) || !errors.Is(context.Cause(open.ctx), errCallsGivenUp) {
		t.Errorf("overflow %v, want the open call to entry 2 given up", w.overflow)
	}
	if len(w.epochs) != 1 || w.epochs[0].Incarnation != 2 || w.epochs[0].Epoch != 1 || len(w.calls) != 1 || w.calls[0].Incarnation != 3 || len(w.calls[0].Calls) != 1 {
		t.Errorf("epochs %v and calls %v, want epoch 1 of entry 2 and the call to entry 3", w.epochs, w.calls)
	}
	if other.ctx.Err() != nil {
		t.Error("the open call to entry 3 was given up")
	}
}

// Guards against memory that grows with the calls that were ever withdrawn, and against
// forgetting those of the latest heartbeat.
func TestRefusedCallsAreBounded(t *testing.T) {
	s := newCallSet()
	now := time.Now()
	for n := range uint64(2 * maxRefusedCalls) {
		s.withdrawNumbers(now, 2, []uint64{1 + n})
	}
	if n := len(s.refused.heardAt); n > maxRefusedCalls || n != len(s.refused.order) {
		t.Errorf("%d calls are kept, in an order of %d, want at most %d", n, len(s.refused.order), maxRefusedCalls)
	}
	last := uint64(2 * maxRefusedCalls)
	if s.refused.contains(2, 1) || !s.refused.contains(2, last) || !s.refused.contains(2, last-maxDatagram) {
		t.Error("the oldest call is kept, or a recent one is forgotten")
	}
	s.withdrawNumbers(now.Add(2*refusedFor), 3, []uint64{1})
	if n := len(s.refused.heardAt); n != 1 {
		t.Errorf("%d calls are kept after %v, want the new one", n, 2*refusedFor)
	}
}

// Guards against the cost of the numbers when there is nothing to withdraw, and against
// calls of entries that number none being withdrawn.
func TestVersionsWithoutCallNumbers(t *testing.T) {
	l := testLoop(t, nil)
	withHeartbeats(t, l)
	l.peers.outbound.open(context.Background(), 2)
	b := l.heartbeat(true)
	if b.WithdrawnCalls != nil {
		t.Errorf("%v are named without a withdrawal", b.WithdrawnCalls)
	}
	old, err := l.peers.inbound.admit(context.Background(), 2, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	peerHeartbeat{validHeartbeat()}.handle(l) // of a version that names none
	named := validHeartbeat()
	named.WithdrawnCalls = []*fleetpb.WithdrawnCalls{{Incarnation: 1, Calls: []uint64{1, 1}}, {Incarnation: 1}}
	peerHeartbeat{named}.handle(l)
	if old.ctx.Err() != nil {
		t.Error("a call without a number was withdrawn")
	}
	if _, err := l.peers.inbound.admit(context.Background(), 2, 0, 0); err != nil {
		t.Errorf("another call without a number: %v", err)
	}
}

// Guards against an entry of another failure domain that hears of a withdrawal only
// after the long interval of remote heartbeats, because no call to it is open any more.
func TestEntriesOfWithdrawnCallsGetHeartbeats(t *testing.T) {
	l := loopWithEntries(t, 300)
	l.log, l.peers, l.settings = zap.NewNop(), newPeers(1, zap.NewNop()), Settings{}
	if l.interval(false) <= maxLocalInterval {
		t.Fatal("heartbeats to other failure domains are frequent anyway")
	}
	c := l.peers.outbound.open(context.Background(), 2)
	l.peers.outbound.withdrawEnded(c)
	l.peers.outbound.end(c)
	if got := l.peers.outbound.heartbeatReceivers(); !slices.Equal(got, []cells.Incarnation{2}) {
		t.Errorf("heartbeats go to %v, want entry 2", got)
	}
}
