// Package urgency orders the jobs that wait for slots of one service.
//
// Each job has one key, and jobs run in ascending order of their keys. Keys do
// not depend on the current time, so that a queue does not have to be re-sorted
// as time passes: a waiting job becomes more urgent in relation to later jobs,
// which get later keys.
package urgency

import "time"

// Job holds the properties by which an Order ranks a job with waiting tasks.
type Job struct {
	// Arrived is the arrival time of the request that the job serves. For a
	// nested request it is the arrival time of the outermost request.
	Arrived time.Time
	// VirtualStart is Arrived, or later if the team of the job uses more than its
	// fair share.
	VirtualStart time.Time
	// Ideal is the expected response time of the whole job on an idle system.
	Ideal time.Duration
	// Work is the sum of the expected run times of all tasks.
	Work time.Duration
	// Declared is the sum of the run times that the caller declared.
	Declared time.Duration
}

// Order assigns keys to jobs.
type Order interface {
	// Key returns the key of a job. It does not change while the job waits.
	Key(j *Job) int64
	// Strict reports whether a task that cannot be placed blocks all tasks behind
	// it in the order, including those of other services.
	Strict() bool
}

// Stretch orders jobs by the time at which the response time of a job reaches a
// fixed multiple of its ideal response time. Of two jobs that arrive at the same
// time, the shorter one goes first. A job cannot be overtaken by jobs that arrive
// after that time, so that no job starves.
type Stretch struct {
	// Factor is the multiple of the ideal response time.
	Factor float64
}

// Key implements Order.
func (s Stretch) Key(j *Job) int64 {
	return j.VirtualStart.UnixNano() + int64(s.Factor*float64(j.Ideal))
}

// Strict implements Order.
func (Stretch) Strict() bool { return false }

// FIFO orders jobs by arrival. If Global is true, the oldest task without a slot
// blocks the tasks of all services.
type FIFO struct{ Global bool }

// Key implements Order.
func (FIFO) Key(j *Job) int64 { return j.Arrived.UnixNano() }

// Strict implements Order.
func (f FIFO) Strict() bool { return f.Global }

// ShortestDeclared orders jobs by the sum of their declared run times.
type ShortestDeclared struct{}

// Key implements Order.
func (ShortestDeclared) Key(j *Job) int64 { return int64(j.Declared) }

// Strict implements Order.
func (ShortestDeclared) Strict() bool { return false }
