package dispatch

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/ledger"
)

// crashAll answers each start as if its endpoint had crashed, until the core
// starts nothing more or limit starts were answered. It returns the number of
// starts and the last result.
func crashAll(core *Core, now time.Time, ready *Ready, limit int) (starts int, last *Ready) {
	pending := append([]Start(nil), ready.Starts...)
	for len(pending) > 0 && starts < limit {
		s := pending[0]
		starts++
		ready = core.Step(now, &Lost{Task: s.Task, Attempt: s.Attempt, Detail: "connection reset"})
		pending = append(pending[1:], ready.Starts...)
	}
	return starts, ready
}

// Guards against an idempotent task that crashes each endpoint that starts it:
// with attempts and a hedge together it crashes at most MaxAttempts of them.
func TestTaskThatCrashesItsEndpointsIsBounded(t *testing.T) {
	for _, wait := range []time.Duration{0, 500 * time.Millisecond} { // the second attempt is a hedge
		h := newHarness(t, endpointsOf("quote", 20)...)
		_, ready := h.submit("quote", 1)
		first := append([]Start(nil), ready.Starts...)
		if wait > 0 {
			first = append(first, h.wait(wait).Starts...)
		}
		starts, last := crashAll(h.Core, h.now, &Ready{Starts: first}, 20)
		if starts > DefaultMaxAttempts {
			t.Errorf("after %v: %d starts, want at most %d", wait, starts, DefaultMaxAttempts)
		}
		h.wantAnswer(last, CodeTaskFailed)
	}
}

// Guards against a count of attempts that is forgotten in a handover to another
// entry.
func TestHandoverKeepsAttemptsOfTaskThatCrashesItsEndpoints(t *testing.T) {
	for before := range DefaultMaxAttempts {
		t.Run(fmt.Sprint(before), func(t *testing.T) {
			p := newHandoverPair(t, 2)
			for _, core := range []*Core{p.sender, p.receiver} {
				core.Step(epoch, &SetEndpoints{Endpoints: endpointsOf("valuation", 20)})
			}
			_, first := p.submit("valuation")
			starts, ready := crashAll(p.sender, epoch, &Ready{Starts: first}, before)
			running := ready.Starts
			if before == 0 {
				running = first
			}
			if len(running) != 1 {
				t.Fatalf("%d attempts run at the handover, want 1", len(running))
			}
			lost := running[0]
			p.accept(p.handOverToLastPart(100), true)
			ready = p.receiver.Step(epoch, &StatusUpdate{Task: lost.Task, Attempt: lost.Attempt, Status: ledger.AttemptUnknown, Detail: "connection reset"})
			more, last := crashAll(p.receiver, epoch, ready, 20)
			if total := starts + 1 + more; total > DefaultMaxAttempts {
				t.Errorf("%d starts before and %d after the handover, want at most %d together", starts+1, more, DefaultMaxAttempts)
			}
			requireProblem(t, last, CodeTaskFailed, Ran)
		})
	}
}
