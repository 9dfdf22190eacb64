package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// These tests hand requests to an entry that were held up on their way, as a cut does. The
// sender is incarnation 2, that of validHeartbeat, which has given the call up and has
// started the task elsewhere by then (dispatch/leased/restart_late_test.go).

// freeEndpoint is an endpoint that answers every call, and runs whatever is started.
type freeEndpoint struct{}

func (freeEndpoint) Start(_ context.Context, s *leased.Start) leased.StartReply {
	return leased.StartReply{Endpoint: s.Endpoint, Task: s.Task, Run: s.Run, Result: leased.StartAccepted, Clock: time.Minute}
}
func (freeEndpoint) Stop(_ context.Context, s *leased.Stop) leased.StopReply {
	return leased.StopReply{Endpoint: s.Endpoint, Task: s.Task, Run: s.Run}
}
func (freeEndpoint) Hold(_ context.Context, h *leased.Hold) leased.HoldReply {
	return leased.HoldReply{Endpoint: h.Endpoint, Sequence: h.Sequence, Result: leased.HoldAnswered, Clock: time.Minute}
}

// receiver is an entry that holds an endpoint with free capacity.
type receiver struct {
	*Loop
	clocks *fakeClocks
	server *server
	calls  uint64 // delivered ones
}

func newReceiver(t *testing.T, endpoint EndpointClient) *receiver {
	t.Helper()
	l := testLoop(t, endpoint)
	withHeartbeats(t, l)
	r := &receiver{Loop: l, clocks: withFakeClocks(l), server: &server{loop: l, peers: l.peers}}
	l.roster = cells.New(l.view.Self, time.Now().Add(-time.Minute))
	l.handle(setDirectory{Directory{Endpoints: []leased.Endpoint{{
		ID: "e1", Address: "e1", Service: "s", FailureDomain: "d0", Capacity: leased.Demand{MilliCores: 64_000, MemoryMiB: 1000},
	}}}})
	l.refresh(time.Now())
	l.publish()
	nextMessage[coreInput](t, l).handle(l) // the answer to the first Hold
	if held := l.core.Status().Held; held != 1 {
		t.Fatalf("%d endpoints are held, want one", held)
	}
	return r
}

// lateResult is the result of a call at the receiver.
type lateResult struct {
	end     leased.End
	verdict fleetpb.Verdict
	err     error
}

// deliver hands the receiver a call that was sent some time ago, and returns the result.
func (r *receiver) deliver(ctx context.Context, t *testing.T, submit bool, age time.Duration) <-chan lateResult {
	t.Helper()
	r.calls++
	sentUs := uint64((r.clocks.boot - clockLead - age).Microseconds())
	step := &fleetpb.Step{Tasks: 1, MilliCores: 1000}
	result := make(chan lateResult, 1)
	if submit {
		job := leased.Job{ID: "j", Service: "s", MaxAttempts: 1, CallerTimeout: time.Minute, Steps: []leased.Step{{Tasks: 1, Demand: leased.Demand{MilliCores: 1000}}}}
		request := jobToPB(&job, 2)
		request.SentUs, request.Call = sentUs, r.calls
		go func() {
			reply, err := r.server.Submit(ctx, request)
			result <- lateResult{verdict: reply.GetVerdict(), err: err}
		}()
		nextMessage[submitJob](t, r.Loop).handle(r.Loop)
		return result
	}
	request := &fleetpb.LendRequest{From: 2, Job: "j", Service: "s", Step: step, Run: 1, PatienceUs: 60_000_000, SentUs: sentUs, Call: r.calls}
	go func() {
		reply, err := r.server.Lend(ctx, request)
		result <- lateResult{end: leased.End(reply.GetEnd()), err: err}
	}()
	nextMessage[submitDelegated](t, r.Loop).handle(r.Loop)
	return result
}

func (r *receiver) wantRuns(t *testing.T, when string, want int) {
	t.Helper()
	if n := r.core.Status().Running; n != want {
		t.Fatalf("%s: %d runs, want %d", when, n, want)
	}
}

// wantRefused checks that a call was answered in a way that proves that nothing was started.
func wantRefused(t *testing.T, submit bool, result <-chan lateResult) {
	t.Helper()
	got := receiveFrom(t, result)
	if got.err != nil || submit && got.verdict != fleetpb.Verdict_NOT_HOLDER || !submit && got.end != leased.EndNoCapacity {
		t.Errorf("the late call was answered with %+v", got)
	}
}

// forBoth runs a test for a submitted job and for a delegated task.
func forBoth(t *testing.T, test func(t *testing.T, submit bool)) {
	for name, submit := range map[string]bool{"job": true, "delegated task": false} {
		t.Run(name, func(t *testing.T) { test(t, submit) })
	}
}

// Guards against form B of the double runs of incident 8 at an entry that has heard the
// sender before the cut: a call that is delivered seconds late is started. No heartbeat
// has arrived since, or one that does not name the call, because it was withdrawn more
// than 5 s ago.
func TestCallHeldUpByACutStartsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		age   time.Duration
		heard bool // since the cut
	}{
		"cut of 3 s, heartbeat since":     {2770 * time.Millisecond, true},
		"cut of 12 s, heartbeat since":    {12 * time.Second, true},
		"cut of 25 s, heartbeat since":    {25 * time.Second, true},
		"cut of 3 s, no heartbeat since":  {2770 * time.Millisecond, false},
		"cut of 12 s, no heartbeat since": {12 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			forBoth(t, func(t *testing.T, submit bool) {
				r := newReceiver(t, freeEndpoint{})
				hearHeartbeats(r.Loop, r.clocks)
				r.clocks.advance(c.age)
				r.roster = rosterAsOf(r.Loop, time.Now().Add(-c.age))
				if c.heard {
					peerHeartbeat{heartbeatSentAt(r.clocks.boot)}.handle(r.Loop)
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				result := r.deliver(ctx, t, submit, c.age)
				r.wantRuns(t, "late call", 0)
				wantRefused(t, submit, result)
			})
		})
	}
}

// Guards against a call of an incarnation that was not heard yet, of which nobody can tell
// how old it is: it was held up by a cut beside the start of its sender or its receiver,
// and is started. The first heartbeat names it, or is sent after it was withdrawn for 5 s.
func TestCallOfUnheardEntryWaitsForItsHeartbeat(t *testing.T) {
	heartbeat := func(r *receiver) *fleetpb.Beat { return heartbeatSentAt(r.clocks.boot) }
	for name, c := range map[string]struct {
		age       time.Duration
		heartbeat func(r *receiver) *fleetpb.Beat
		want      string
	}{
		"epoch withdrawn": {2770 * time.Millisecond, func(r *receiver) *fleetpb.Beat {
			b := heartbeat(r)
			b.CallEpochs = []*fleetpb.CallEpoch{{Incarnation: 1, Epoch: 1}}
			return b
		}, "cancelled"},
		"call withdrawn": {2770 * time.Millisecond, func(r *receiver) *fleetpb.Beat {
			b := heartbeat(r)
			b.WithdrawnCalls = []*fleetpb.WithdrawnCalls{{Incarnation: 1, Calls: []uint64{r.calls}}}
			return b
		}, "cancelled"},
		"not named": {7 * time.Second, heartbeat, "refused"},
		"new call":  {20 * time.Millisecond, heartbeat, "started"},
		"earlier version": {20 * time.Millisecond, func(*receiver) *fleetpb.Beat {
			return validHeartbeat()
		}, "started"},
	} {
		t.Run(name, func(t *testing.T) {
			forBoth(t, func(t *testing.T, submit bool) {
				r := newReceiver(t, freeEndpoint{})
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				result := r.deliver(ctx, t, submit, c.age)
				r.wantRuns(t, "before any heartbeat", 0)
				if n := len(r.callerContacts()); n != 0 {
					t.Errorf("the call counts as contact with its entry: %d contacts", n)
				}
				other := validHeartbeat()
				other.Name, other.Incarnation = "e2", 3
				peerHeartbeat{other}.handle(r.Loop)
				r.wantRuns(t, "after the heartbeat of another entry", 0)
				peerHeartbeat{c.heartbeat(r)}.handle(r.Loop)
				switch c.want {
				case "started":
					r.wantRuns(t, "after the heartbeat", 1)
					return
				case "cancelled":
					if got := receiveFrom(t, result); !errors.Is(got.err, context.Canceled) {
						t.Errorf("the withdrawn call ended with %+v", got)
					}
				case "refused":
					wantRefused(t, submit, result)
				}
				r.wantRuns(t, "after the heartbeat", 0)
				peerHeartbeat{heartbeat(r)}.handle(r.Loop)
				r.wantRuns(t, "after another heartbeat", 0)
			})
		})
	}
}

// Guards against calls that are kept after they have ended while they waited for a
// heartbeat: memory that grows, or a task that is started for nobody.
func TestCancelledCallOfUnheardEntryIsForgotten(t *testing.T) {
	forBoth(t, func(t *testing.T, submit bool) {
		r := newReceiver(t, freeEndpoint{})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		result := r.deliver(ctx, t, submit, 0)
		cancel()
		if got := receiveFrom(t, result); !errors.Is(got.err, context.Canceled) {
			t.Errorf("the cancelled call ended with %+v", got)
		}
		nextMessage[cancelTicket](t, r.Loop).handle(r.Loop)
		if n := len(r.unheardCalls) + len(r.waiters) + len(r.delegatedWaiters); n != 0 {
			t.Errorf("%d entries of a cancelled call are kept", n)
		}
		peerHeartbeat{heartbeatSentAt(r.clocks.boot)}.handle(r.Loop)
		r.wantRuns(t, "after the heartbeat", 0)
	})
}

// Guards against a call that is started although a heartbeat that was read just before it
// has withdrawn it: the loop handles its cancellation only after it.
func TestCallThatEndedBeforeItsTurnStartsNothing(t *testing.T) {
	r := newReceiver(t, freeEndpoint{})
	hearHeartbeats(r.Loop, r.clocks)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m := submitDelegated{
		ctx: ctx, task: leased.DelegatedTask{ID: leased.TaskID{Job: "j"}, Service: "s", Run: 1, CallerTimeout: time.Minute, Step: leased.Step{Tasks: 1, Demand: leased.Demand{MilliCores: 1000}}},
		origin: callSentAt(r.clocks.boot), answer: make(chan leased.DelegatedAnswer, 1), ticket: make(chan leased.Ticket, 1),
	}
	m.handle(r.Loop)
	r.wantRuns(t, "call that has ended", 0)
	cancelTicket{receiveFrom(t, m.ticket)}.handle(r.Loop)
	if n := len(r.delegatedWaiters); n != 0 {
		t.Errorf("%d waiters of a call that has ended", n)
	}
}

// Guards against a heartbeat that counts as contact for a call that it withdraws, because
// the call's context had ended just before, and its goroutine has not noticed that.
func TestHeartbeatCancelsWithdrawnCallThatHasEnded(t *testing.T) {
	forBoth(t, func(t *testing.T, submit bool) {
		r := newReceiver(t, freeEndpoint{})
		hearHeartbeats(r.Loop, r.clocks)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r.deliver(ctx, t, submit, 20*time.Millisecond)
		r.wantRuns(t, "call", 1)
		cancel() // the connection's reader has read the reset of the stream
		b := heartbeatSentAt(r.clocks.boot)
		b.WithdrawnCalls = []*fleetpb.WithdrawnCalls{{Incarnation: 1, Calls: []uint64{r.calls}}}
		peerHeartbeat{b}.handle(r.Loop)
		if n := len(r.tickets); n != 0 {
			t.Errorf("%d calls that the heartbeat withdraws are open after it, and it counts as contact with their entry", n)
		}
	})
}
