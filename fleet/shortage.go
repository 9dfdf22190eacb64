package fleet

import "go.uber.org/zap"

// logShortage logs the start and the end of a shortage of capacity.
func (l *Loop) logShortage(next *Snapshot) {
	previous := l.snapshot.Load()
	before := previous != nil && previous.Status.Admission.Short
	now := &next.Status.Admission
	fields := []zap.Field{zap.Float64("demand", now.Demand), zap.Float64("threshold", now.Threshold), zap.Int("waiting", next.Status.Waiting)}
	switch {
	case now.Short && !before:
		l.log.Warn("shortage_began", fields...)
	case !now.Short && before:
		l.log.Info("shortage_ended", fields...)
	}
}
