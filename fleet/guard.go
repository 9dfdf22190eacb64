package fleet

import (
	"fmt"

	"go.uber.org/zap"
)

// guard ends operations, and not the process, that meet an unexpected error.
//
// It applies to goroutines that serve one request, read one message or make one
// call. The goroutine of the loop is not guarded: after a panic in the middle of
// a step the control state may be inconsistent, and an entry that goes on with
// it could start tasks twice. Its process ends, the platform starts it again,
// and other entries take its endpoints over.
type guard struct {
	log     *zap.Logger
	metrics *metrics
}

// do calls an operation. It returns false if the operation panicked, which is
// logged and counted.
func (g guard) do(operation string, f func()) (completed bool) {
	defer func() {
		if cause := recover(); cause != nil {
			g.metrics.panics.WithLabelValues(operation).Inc()
			g.log.Error("operation_panicked", zap.String("operation", operation), zap.String("cause", fmt.Sprint(cause)), zap.StackSkip("stack", 1))
		}
	}()
	f()
	return true
}
