package leased

import (
	"math"
	"time"
)

// Parameters for checking the progress of runs.
const (
	// A run is moved if its remaining time here exceeds this many times the time
	// of a whole run elsewhere.
	moveFactor = 1.5
	moveMargin = 60 * time.Millisecond // for the stop and the new start
	// A run without any progress is moved after this many times its expected
	// run time.
	hangFactor = 2.5
	hangMargin = 100 * time.Millisecond
	// estimateError is the factor by which an estimate may be too low.
	estimateError = 2
	maxMoves      = 3 // of one task
)

// checkProgress moves a run that makes too little progress, if another endpoint
// can run the task. A delegated task that hangs is returned to its delegator,
// which can place it anywhere.
func (c *Core) checkProgress(e *endpoint, r *run) {
	t := r.task
	if t == nil || r.state != runRunning {
		return
	}
	hung := c.hangs(e, r)
	if !hung && c.speedsDiffer(t.job.Service) {
		c.checkStraggler(e, r)
		return
	}
	if !hung && (t.job.delegated || !c.tooSlowToEnd(e, r)) {
		return
	}
	c.countSlowRun(e, r)
	if t.job.delegated {
		c.sendStop(e, r, "no progress: returned to the holder of its job")
		return
	}
	if t.moves >= maxMoves && !(hung && t.job.Stored) { // a stored job has no deadline that would end it
		return
	}
	if _, fits := c.bestEndpoint(t, e); !fits {
		return
	}
	t.moves++
	t.avoid = e.ID
	c.sendStop(e, r, "too little progress")
}

// hangs reports whether a run has made no progress for far too long.
func (c *Core) hangs(e *endpoint, r *run) bool {
	return r.percent <= 0 && r.age > time.Duration(hangFactor*float64(c.allowedTime(e, r)))+hangMargin
}

// tooSlowToEnd reports whether the rest of a late run would take far longer than
// a whole run elsewhere.
func (c *Core) tooSlowToEnd(e *endpoint, r *run) bool {
	allowed := c.allowedTime(e, r)
	if r.percent <= 0 || r.age <= allowed+lateMargin {
		return false
	}
	rest := time.Duration(float64(r.age) * float64(100-r.percent) / float64(r.percent))
	return rest > time.Duration(moveFactor*float64(allowed))+moveMargin
}

// countSlowRun counts a slow run against its endpoint, once for each run.
func (c *Core) countSlowRun(e *endpoint, r *run) {
	if r.slownessCounted {
		return
	}
	r.slownessCounted = true
	e.observeRunTime(projectedRunTime(r, r.age), c.allowedTime(e, r))
	before := e.record.Health()
	e.record.Failed(c.now, c.peersOf(e))
	c.emitEjection(e, before, "runs make no progress")
}

// allowedTime returns how long a run may take before it counts against its
// endpoint. Estimates are often far off, so the run times of the other tasks of
// its step take precedence.
func (c *Core) allowedTime(e *endpoint, r *run) time.Duration {
	if observed, ok := siblingRunTime(r.task); ok {
		return max(r.expected, observed)
	}
	if c.slowness(e) >= slowEndpointFactor {
		return r.expected
	}
	return estimateError * r.expected
}

// siblingRunTime returns the shortest measured or projected run time of the
// other tasks of a step.
func siblingRunTime(t *task) (time.Duration, bool) {
	shortest := time.Duration(math.MaxInt64)
	tasks := stepOf(t)
	for i := range tasks {
		other := &tasks[i]
		switch {
		case other == t:
		case other.state == doneTask && other.took > 0:
			shortest = min(shortest, other.took)
		case other.state == placedTask && other.run.observed() >= minProjectedPercent:
			shortest = min(shortest, projectedRunTime(other.run, other.run.age))
		}
	}
	return shortest, shortest != math.MaxInt64
}

// stepOf returns the tasks of a task's step. Of a delegated task, the others are not
// known here.
func stepOf(t *task) []task {
	if t.job.delegated {
		return t.job.tasks[0]
	}
	return t.job.tasks[t.id.Step]
}

// minProjectedPercent is the progress from which on a run time is projected.
const minProjectedPercent = 20

// projectedRunTime extrapolates the run time of a run from its progress.
func projectedRunTime(r *run, took time.Duration) time.Duration {
	const fullPercent, maxFactor = 100, 10
	if r.percent <= fullPercent/maxFactor {
		return took * maxFactor
	}
	return took * fullPercent / time.Duration(r.percent)
}
