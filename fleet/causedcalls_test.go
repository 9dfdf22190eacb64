package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Incarnations of the entries in these tests. The delegate is the loop under test.
const (
	testOrigin    = cells.Incarnation(2) // of validHeartbeat
	testDelegator = cells.Incarnation(3)
)

// lendFor is a delegated task whose job the origin has submitted by a call.
func lendFor(epoch, number uint64) *fleetpb.LendRequest {
	return &fleetpb.LendRequest{
		From: uint64(testDelegator), Job: fmt.Sprintf("j%d", number), Step: &fleetpb.Step{Tasks: 1, MilliCores: 1000}, Run: 1, PatienceUs: 60_000_000,
		Adopt: true, Caller: uint64(testOrigin), CallerEpoch: epoch, CallerCall: number,
	}
}

// withdrawalsOf are the withdrawals that a heartbeat of the origin names.
func withdrawalsOf(epochs []*fleetpb.CallEpoch, calls ...*fleetpb.WithdrawnCalls) *fleetpb.Beat {
	b := validHeartbeat()
	b.CallEpochs, b.WithdrawnCalls = epochs, calls
	return b
}

// Guards against a delegate that goes on with the task of a job that its caller's entry
// has given up, and that the delegator, which does not hear this entry, has not withdrawn.
// Other calls, and those of earlier versions, go on.
func TestDelegatedTaskEndsWithItsCallersCall(t *testing.T) {
	for name, c := range map[string]struct {
		heartbeat *fleetpb.Beat
		ends      bool
	}{
		"its number":       {withdrawalsOf(nil, &fleetpb.WithdrawnCalls{Incarnation: uint64(testDelegator), Calls: encodeNumbers([]uint64{4, 7, 9})}), true},
		"its epoch":        {withdrawalsOf([]*fleetpb.CallEpoch{{Incarnation: uint64(testDelegator), Epoch: 3}}), true},
		"the epoch before": {withdrawalsOf([]*fleetpb.CallEpoch{{Incarnation: uint64(testDelegator), Epoch: 2}}), false},
		"other numbers":    {withdrawalsOf(nil, &fleetpb.WithdrawnCalls{Incarnation: uint64(testDelegator), Calls: encodeNumbers([]uint64{6, 8})}), false},
		"calls to another entry": {withdrawalsOf([]*fleetpb.CallEpoch{{Incarnation: 4, Epoch: 3}},
			&fleetpb.WithdrawnCalls{Incarnation: 4, Calls: []uint64{7}}), false},
	} {
		t.Run(name, func(t *testing.T) {
			l := testLoop(t, nil)
			withHeartbeats(t, l)
			s := &server{loop: l, peers: l.peers}
			open := func(r *fleetpb.LendRequest) <-chan *fleetpb.LendResponse {
				result := make(chan *fleetpb.LendResponse, 1)
				go func() {
					reply, err := s.Lend(t.Context(), r)
					if err != nil {
						reply = nil
					}
					result <- reply
				}()
				nextMessage[submitDelegated](t, l).handle(l)
				return result
			}
			result := open(lendFor(2, 7))
			old := open(lendFor(0, 0))
			peerHeartbeat{c.heartbeat}.handle(l)
			late, lateErr := l.peers.inbound.admitCausedBy(context.Background(), testDelegator, 0, 0, callerCall{testOrigin, 2, 7})
			if !c.ends {
				if lateErr != nil {
					t.Errorf("another task of the same call: %v", lateErr)
				} else {
					l.peers.inbound.end(late)
				}
				select {
				case r := <-result:
					t.Errorf("the task has ended: %v", r)
				case <-time.After(20 * time.Millisecond):
				}
				return
			}
			if !errors.Is(lateErr, errCauseWithdrawn) {
				t.Errorf("another task of the same call: %v, want %v", lateErr, errCauseWithdrawn)
			}
			if r := receiveFrom(t, result); !r.GetCallerWithdrew() || leased.End(r.End) != leased.EndUnknown {
				t.Errorf("the task was answered with %v, want an unknown end, because its caller has withdrawn it", r)
			}
			nextMessage[cancelTicket](t, l)
			reply, err := s.Lend(t.Context(), lendFor(2, 7))
			if err != nil || !reply.CallerWithdrew || leased.End(reply.End) != leased.EndUnknown {
				t.Errorf("a late task was answered with %v, %v", reply, err)
			}
			select {
			case r := <-old:
				t.Errorf("the task of an earlier version has ended: %v", r)
			case <-time.After(20 * time.Millisecond):
			}
		})
	}
}

// Guards against a task that goes on at the entry that has given up its job, because the
// delegator does not hear this entry: it hears no heartbeats of its own.
func TestDelegatedTaskEndsWithTheOwnCall(t *testing.T) {
	l := testLoop(t, nil)
	withHeartbeats(t, l)
	ctx, cancel := context.WithCancel(t.Context())
	own := l.peers.outbound.open(ctx, testDelegator)
	cause := callerCall{l.view.Self.Incarnation, own.epoch, own.number}
	task, err := l.peers.inbound.admitCausedBy(t.Context(), testDelegator, 0, 1, cause)
	if err != nil {
		t.Fatal(err)
	}
	defer l.peers.inbound.end(task)
	l.heartbeat(true)
	if task.ctx.Err() != nil {
		t.Fatal("the task was withdrawn while its job was awaited")
	}
	cancel()
	l.heartbeat(true)
	if !errors.Is(context.Cause(task.ctx), errCauseWithdrawn) {
		t.Errorf("the task has ended with %v, want %v", context.Cause(task.ctx), errCauseWithdrawn)
	}
	if _, err := l.peers.inbound.admitCausedBy(t.Context(), testDelegator, 0, 2, cause); !errors.Is(err, errCauseWithdrawn) {
		t.Errorf("a late task: %v, want %v", err, errCauseWithdrawn)
	}
}

// Guards against a heartbeat that arrives out of order and brings back a state in which a
// call was not withdrawn yet, and against memory for entries that are gone.
func TestNewestHeartbeatTellsWithdrawals(t *testing.T) {
	heard := make(heardWithdrawals)
	now := time.Now()
	cause := callerCall{testOrigin, 0, 7}
	newer := withdrawalsOf(nil, &fleetpb.WithdrawnCalls{Incarnation: uint64(testDelegator), Calls: []uint64{7}})
	newer.SentUs = 2000
	older := withdrawalsOf(nil)
	older.SentUs = 1000
	heard.add(now, newer)
	heard.add(now, older)
	if !heard.withdrawn(cause, testDelegator) {
		t.Error("the older heartbeat has replaced the newer one")
	}
	other := withdrawalsOf([]*fleetpb.CallEpoch{{Incarnation: 9, Epoch: 1}})
	other.Incarnation = 8
	heard.add(now.Add(refusedFor+time.Second), other)
	if len(heard) != 1 {
		t.Errorf("%d heartbeats are kept, want that of one entry", len(heard))
	}
	other.CallEpochs, other.SentUs = nil, 1
	heard.add(now.Add(refusedFor+time.Second), other)
	if len(heard) != 0 {
		t.Errorf("%d heartbeats are kept, none of which names a withdrawal", len(heard))
	}
}

// Guards against a delegator that delegates the task again and again, because it does not
// hear that the job's caller has withdrawn its call: the delegate says so.
func TestDelegatorLearnsThatTheCallerHasWithdrawn(t *testing.T) {
	p := newSilentPair(t)
	call, err := p.caller.peers.inbound.admit(t.Context(), 9, 2, 7)
	if err != nil {
		t.Fatal(err)
	}
	defer p.caller.peers.inbound.end(call)
	other, err := p.caller.peers.inbound.admit(t.Context(), 9, 2, 8)
	if err != nil {
		t.Fatal(err)
	}
	defer p.caller.peers.inbound.end(other)
	b := validHeartbeat()
	b.Incarnation, b.WithdrawnCalls = 9, []*fleetpb.WithdrawnCalls{{Incarnation: 1, Calls: []uint64{7}}}
	peerHeartbeat{b}.handle(p.holder)
	task := leased.DelegatedTask{ID: leased.TaskID{Job: "j"}, Step: leased.Step{Tasks: 1, Demand: leased.Demand{MilliCores: 1000}}, Run: 1, CallerTimeout: time.Minute,
		Origin: 9, OriginCall: leased.CallID{Epoch: 2, Number: 7}}
	p.front.setLendReply(p.server.Lend)
	p.caller.delegate(leased.Delegate{Holder: 2, Task: task})
	if end := nextMessage[delegationEnded](t, p.caller).reply.End; end != leased.EndUnknown {
		t.Errorf("the task ended with %v, want %v", end, leased.EndUnknown)
	}
	if call.ctx.Err() == nil || other.ctx.Err() != nil {
		t.Errorf("the withdrawn call has ended with %v, another one with %v", call.ctx.Err(), other.ctx.Err())
	}
	if n := len(p.holder.messages); n != 0 {
		t.Errorf("%d messages reached the delegate's loop, want none", n)
	}
}

// Guards against a call to the delegator with a number that no correct entry sends.
func TestMalformedCauseIsRefused(t *testing.T) {
	l := testLoop(t, nil)
	s := &server{loop: l, peers: l.peers}
	for _, r := range []*fleetpb.LendRequest{lendFor(maxEpoch+1, 7), lendFor(0, maxCallNumber+1)} {
		_, err := s.Lend(t.Context(), r)
		var refused twirp.Error
		if !errors.As(err, &refused) || refused.Code() != twirp.InvalidArgument {
			t.Errorf("epoch %d, call %d: %v, want %v", r.CallerEpoch, r.CallerCall, err, twirp.InvalidArgument)
		}
	}
}

// Guards against a heartbeat that counts as contact for a task that it withdraws, because
// the goroutine of the task's call has not noticed the withdrawal yet: a Hold or a Start
// that is sent meanwhile would extend the lease by a heartbeat interval.
func TestWithdrawnTaskEndsBeforeItsHeartbeatCounts(t *testing.T) {
	l := testLoop(t, nil)
	withHeartbeats(t, l)
	s := &server{loop: l, peers: l.peers}
	hearDelegator(l)
	b := withdrawalsOf(nil, &fleetpb.WithdrawnCalls{Incarnation: uint64(testDelegator), Calls: []uint64{7}})
	for i := range 2 {
		go func() { _, _ = s.Lend(t.Context(), lendFor(0, uint64(7-i))) }() // ends with the test
		nextMessage[submitDelegated](t, l).handle(l)
	}
	if n := l.core.Status().DelegatedTasks; n != 2 {
		t.Fatalf("%d delegated tasks, want 2", n)
	}
	peerHeartbeat{b}.handle(l)
	if n := l.core.Status().DelegatedTasks; n != 1 {
		t.Errorf("%d delegated tasks after the heartbeat, want the one that is not withdrawn", n)
	}
}

// hearDelegator lets a heartbeat of the delegator arrive, for which its calls wait.
func hearDelegator(l *Loop) {
	b := validHeartbeat()
	b.Name, b.Incarnation = "delegator", uint64(testDelegator)
	peerHeartbeat{b}.handle(l)
}

// Guards against a call that was withdrawn before the loop handles it, and starts a run.
func TestWithdrawnCallReachesNoCore(t *testing.T) {
	l := testLoop(t, nil)
	withHeartbeats(t, l)
	hearDelegator(l)
	ctx, cancel := context.WithCancel(t.Context())
	go l.runDelegated(ctx, delegatedTaskFromPB(lendFor(0, 7)), origin{caller: testDelegator})
	m := nextMessage[submitDelegated](t, l)
	cancel()
	m.handle(l)
	if n := l.core.Status().DelegatedTasks; n != 0 {
		t.Errorf("%d delegated tasks, want none", n)
	}
	nextMessage[cancelTicket](t, l).handle(l)
	if n := len(l.delegatedWaiters) + len(l.tickets); n != 0 {
		t.Errorf("%d records of the call are left", n)
	}
}

// Guards against a delegated task of a lost entry that goes on for as long as its delegator
// is heard: in a large fleet, the entry's heartbeats to this one are too rare to tell.
func TestOriginsOfOtherDomainsAreAskedForHeartbeats(t *testing.T) {
	for name, c := range map[string]struct {
		interval time.Duration
		want     int
	}{"rare heartbeats": {3 * time.Second, 2}, "frequent heartbeats": {maxLocalInterval, 0}} {
		t.Run(name, func(t *testing.T) {
			l := testLoop(t, nil)
			withHeartbeats(t, l)
			self := l.view.Self
			hearDelegator(l)
			o := testLoop(t, nil)
			e := cells.Entry{Name: "e1", FailureDomain: "d1", Incarnation: testOrigin, Interval: c.interval, HeartbeatAddress: withHeartbeats(t, o)}
			start := time.Now()
			l.roster.ReceiveHeartbeat(start, e)
			l.view = l.roster.View(start)
			l.view.Self = self
			l.askOrigins(start.Add(time.Second))
			go func() {
				_, _ = (&server{loop: l, peers: l.peers}).Lend(t.Context(), lendFor(0, 7)) // ends with the test
			}()
			nextMessage[submitDelegated](t, l).handle(l)
			if got := l.core.Origins(); len(got) != 1 || got[0] != uint64(testOrigin) {
				t.Fatalf("origins %v, want that of the task", got)
			}
			for at := time.Duration(0); at < time.Second; at += 20 * time.Millisecond {
				l.askOrigins(start.Add(at))
			}
			for i := range c.want {
				receiveHeartbeat(t, o)
				if b := nextMessage[peerHeartbeat](t, o).heartbeat; !b.Hello {
					t.Errorf("heartbeat %d asks for no answer", i)
				}
			}
			if err := o.heartbeats.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
				t.Fatal(err)
			}
			if _, _, err := o.heartbeats.conn.ReadFromUDP(make([]byte, maxDatagram)); err == nil {
				t.Errorf("more than %d heartbeats within a second", c.want)
			}
		})
	}
}
