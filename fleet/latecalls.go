package fleet

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// A call may be delivered seconds after it was sent, when a cut between the two entries
// ends, and its cancellation is read after it. Meanwhile its sender may have given it up
// and have started its tasks elsewhere. So the core refuses calls that were on their way
// for longer than leased.ContactGrace. How long that was can be told only once a heartbeat
// of the sender's incarnation has arrived, which also names the calls that it has
// withdrawn. Until then its calls wait here, 110 to 440 ms if a datagram was lost. Entries
// that hear each other answer at once, so that calls rarely wait.

// submittedCall is a call that submits a job or task.
type submittedCall struct {
	ctx context.Context // of the call
	origin
	ticket leased.Ticket
	begin  func() // passes it to the core
}

// submit passes a call to the core, or lets it wait for the first heartbeat of its entry.
// A call that has ended by now starts nothing.
func (l *Loop) submit(c *submittedCall) {
	switch {
	case c.ctx.Err() != nil: // a cancelTicket follows
	case c.caller != 0 && !l.hasHeard(c.caller):
		l.log.Info("call_waits_for_heartbeat", zap.Uint64("incarnation", uint64(c.caller)))
		l.unheardCalls[c.caller] = append(l.unheardCalls[c.caller], c)
	default:
		if age := time.Since(l.sentAt(c.origin)); c.caller != 0 && age > leased.ContactGrace {
			l.metrics.withdrawnCalls.WithLabelValues("late").Inc()
			l.log.Warn("late_call_refused", zap.Uint64("incarnation", uint64(c.caller)), zap.Duration("age_ms", age))
		}
		l.tickets[c.ticket] = c.ctx
		c.begin()
	}
}

func (l *Loop) hasHeard(id cells.Incarnation) bool {
	_, heard := l.roster.LastContact(id)
	return heard
}

// submitUnheard passes on the calls of an incarnation that have waited for its heartbeat.
// Calls that it has withdrawn have ended before.
func (l *Loop) submitUnheard(id cells.Incarnation) {
	calls := l.unheardCalls[id]
	if len(calls) == 0 || !l.hasHeard(id) {
		return
	}
	delete(l.unheardCalls, id)
	for _, c := range calls {
		l.submit(c)
	}
}

// removeUnheard removes a call that was cancelled before a heartbeat of its entry has
// arrived. That happens after callerSilence at the latest.
func (l *Loop) removeUnheard(ticket leased.Ticket) {
	for id, calls := range l.unheardCalls {
		calls = slices.DeleteFunc(calls, func(c *submittedCall) bool { return c.ticket == ticket })
		if len(calls) == 0 {
			delete(l.unheardCalls, id)
			continue
		}
		l.unheardCalls[id] = calls
	}
}
