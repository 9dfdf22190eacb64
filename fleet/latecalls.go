package fleet

import (
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// A call may be delivered seconds after it was sent, when a cut between the two entries
// ends, and its cancellation is read after it. Meanwhile its sender may have given it up
// and have started its tasks elsewhere. So the core refuses calls that were on their way
// for longer than leased.ContactGrace.

// logIfLate logs and counts a call of another entry that the core refuses.
func (l *Loop) logIfLate(caller cells.Incarnation, sentAt time.Time) {
	if age := time.Since(sentAt); caller != 0 && age > leased.ContactGrace {
		l.metrics.withdrawnCalls.WithLabelValues("late").Inc()
		l.log.Warn("late_call_refused", zap.Uint64("incarnation", uint64(caller)), zap.Duration("age_ms", age))
	}
}
