package fleet

import (
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
)

// logRecovery logs and counts the start or the end of a recovery of capacity.
func (l *Loop) logRecovery(e *leased.RecoveryEvent) {
	fields := []zap.Field{
		zap.Int("announced_millicores", e.Announced), zap.Int("answering_millicores", e.Answering),
		zap.Duration("backlog_ms", e.Backlog), zap.Int("rejected", e.Rejected),
	}
	l.metrics.recoveryRejections.Add(float64(e.Rejected))
	if e.Active {
		l.metrics.recovering.Set(1)
		l.log.Warn("recovery_started", fields...)
		return
	}
	l.metrics.recovering.Set(0)
	l.log.Info("recovery_ended", fields...)
}
