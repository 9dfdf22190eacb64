// Package placement decides where the tasks of a step run when the endpoints
// have different speeds. It does no I/O and reads no clock.
//
// It has four parts:
//
//   - Speed and Kinds learn the speed of each endpoint from the run times of its
//     tasks. An endpoint without runs starts from the mean of the endpoints with
//     the same label.
//   - Spread learns the run times of a queue relative to the callers' estimates,
//     and how far the tasks of one step differ from each other.
//   - Contrast reports whether the speeds differ enough to be used at all. If
//     they do not, the caller places its tasks as if all endpoints were equal.
//   - Planner places the waiting tasks of a step together, and Move decides
//     whether a run that takes too long is started again elsewhere.
//
// Speed 1 is the nominal speed: a task with a nominal run time of 100 ms takes
// 50 ms on an endpoint of speed 2.
package placement

import "fmt"

// InvalidObservationError reports an observation that was ignored because it is
// not a positive finite number.
type InvalidObservationError struct {
	What  string
	Value float64
}

// Error describes the observation.
func (e *InvalidObservationError) Error() string {
	return fmt.Sprintf("the %s %v was ignored: it is not a positive finite number", e.What, e.Value)
}
