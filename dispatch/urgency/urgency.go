// Package urgency orders the jobs that wait for slots of one service.
//
// A job has one key, and the smallest key goes first. Keys do not depend on
// the current time, so that a queue needs no re-ordering while time passes:
// a waiting job becomes more urgent because later jobs get later keys.
package urgency

import "time"

// Job is what an order may know of a job with waiting tasks.
type Job struct {
	// Arrived is when the request came in that the job serves: for a nested
	// request, when the outermost one came in.
	Arrived time.Time
	// VirtualStart is Arrived, or later if its team asks for more than its fair share.
	VirtualStart time.Time
	// Ideal is the expected time of the whole job on an idle system.
	Ideal time.Duration
	// Work is the expected run time of all tasks.
	Work time.Duration
	// Declared is the sum of the run times that the caller declared.
	Declared time.Duration
}

// Order gives jobs their keys.
type Order interface {
	// Key returns the key of a job, which stays the same while it waits.
	Key(j *Job) int64
	// Strict reports whether a task that cannot be placed holds back every
	// task behind it, whatever its service.
	Strict() bool
}

// Stretch orders by the time at which a job's response would be a fixed
// multiple of its ideal: of two jobs that came in together, the shorter goes
// first, and a long job is overtaken only by jobs that come in before its own
// time is up. Hence nothing starves.
type Stretch struct {
	// Factor is the multiple of the ideal.
	Factor float64
}

// Key implements Order.
func (s Stretch) Key(j *Job) int64 {
	return j.VirtualStart.UnixNano() + int64(s.Factor*float64(j.Ideal))
}

// Strict implements Order.
func (Stretch) Strict() bool { return false }

// FIFO orders by arrival. Global holds every service back behind the oldest
// task that has no slot.
type FIFO struct{ Global bool }

// Key implements Order.
func (FIFO) Key(j *Job) int64 { return j.Arrived.UnixNano() }

// Strict implements Order.
func (f FIFO) Strict() bool { return f.Global }

// ShortestDeclared orders by what callers declare.
type ShortestDeclared struct{}

// Key implements Order.
func (ShortestDeclared) Key(j *Job) int64 { return int64(j.Declared) }

// Strict implements Order.
func (ShortestDeclared) Strict() bool { return false }
