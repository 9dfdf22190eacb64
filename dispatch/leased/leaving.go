package leased

import (
	"math"
	"time"
)

// Parameters for endpoints that have announced that they leave.
const (
	// noticeLag bounds the time from the writing of a record until a holder that
	// knew the endpoint before reads it. All times of a notice are shortened by it.
	noticeLag = time.Second
	// leavingMargin covers the messages of a start and of the end of its run.
	leavingMargin = 100 * time.Millisecond
	// minPeakRuns is the number of observed runs of a queue from which on the
	// longest of them tells how long a run takes at most.
	minPeakRuns = 30
	// peakDecay is the factor by which the logarithm of the longest observed run
	// time ÷ estimate approaches the mean with each run: by half in 140 runs.
	peakDecay = 0.995
	// peakMargin is the factor by which a run may exceed the longest observed one.
	peakMargin = 1.25
	// restartMargin is the time from a Stop until the run is listed as ended and
	// its task is started elsewhere.
	restartMargin = 80 * time.Millisecond
)

// departure is what is known of an endpoint's departure.
type departure struct {
	startUntil time.Time // no start after this; zero: no start at all
	leavesAt   time.Time // earliest departure; zero: unknown
}

// noteDeparture records the notice in a changed record. wasLeaving reports that the
// previous record had a notice, too. wasKnown reports that the endpoint was announced
// before: otherwise the age of the notice is not known, and nothing is started there.
func (c *Core) noteDeparture(e *endpoint, wasLeaving, wasKnown bool) {
	if !e.Leaving {
		e.departure = departure{}
		return
	}
	if e.Remaining > 0 {
		at := c.now.Add(max(0, e.Remaining-noticeLag))
		if e.departure.leavesAt.IsZero() || at.Before(e.departure.leavesAt) {
			e.departure.leavesAt = at
		}
	}
	if wasLeaving {
		return
	}
	if wasKnown && e.Remaining > 0 && c.opts.DrainLimit > noticeLag {
		e.departure.startUntil = c.now.Add(c.opts.DrainLimit - noticeLag)
	}
	c.capacityShrunk = true
}

// applyDepartures re-evaluates the queue in the step in which endpoints have
// announced that they leave or are no longer announced.
func (c *Core) applyDepartures() {
	if !c.capacityShrunk || !c.opts.Recovery {
		return
	}
	c.capacityShrunk = false
	c.measureServiceTime()
	c.trackRecovery()
	c.restartCutRuns()
}

// observePeak records the longest run time ÷ estimate of a queue.
func (a *average) observePeak(ratio float64) {
	a.peak = max(ratio, a.value+(a.peak-a.value)*peakDecay)
}

// longestTime returns how long a run of a queue takes at most, as far as the
// observed runs tell. It returns false if they are too few.
func (c *Core) longestTime(queue string, estimate time.Duration, e *endpoint) (time.Duration, bool) {
	a := c.runTimeRatios[queue]
	if a == nil || a.samples < minPeakRuns {
		return 0, false
	}
	return time.Duration(float64(estimate) * math.Exp(max(a.peak, a.value)) * max(1, e.slowness()) * peakMargin), true
}

// startOnLeaving starts a task that no other endpoint can run in time on an
// endpoint that leaves, if it surely ends before that. It returns false if there
// is none.
func (c *Core) startOnLeaving(t *task) bool {
	j := t.job
	if !c.opts.Recovery || j.delegated || j.Stored || j.latestStart.Before(c.now) || c.freeInTime(t) {
		return false
	}
	for _, e := range c.endpointList {
		if !e.departure.startUntil.After(c.now) || !c.endsBeforeDeparture(t, e) {
			continue
		}
		e.Leaving = false // everything else must hold as for other endpoints
		fits := c.eligible(t, e, c.claimLimit(j))
		e.Leaving = true
		if fits && !c.mustCheck(t, e) {
			c.start(t, e)
			return true
		}
	}
	return false
}

func (c *Core) endsBeforeDeparture(t *task, e *endpoint) bool {
	longest, known := c.longestTime(t.job.Queue, t.step.Estimate, e)
	return known && !e.departure.leavesAt.IsZero() && !c.now.Add(longest+e.Cold+leavingMargin).After(e.departure.leavesAt)
}

// freeInTime reports whether an endpoint that stays is expected to have room for
// a task in time.
func (c *Core) freeInTime(t *task) bool {
	for _, e := range c.endpointList {
		if e.Service != t.job.Service || !e.usable(c.now) || !t.step.fits(&e.Endpoint) {
			continue
		}
		free := e.free().MilliCores
		for _, r := range e.runs {
			if !r.sent.Add(r.expected).After(t.job.latestStart) {
				free += r.demand.MilliCores
			}
		}
		if free >= t.step.Demand.MilliCores {
			return true
		}
	}
	return false
}

// restartCutRuns stops runs that will be cut off by the departure of their
// endpoint, if their tasks can still be answered in time elsewhere. They are
// started there once they are listed as ended.
func (c *Core) restartCutRuns() {
	if !c.opts.Recovery {
		return
	}
	for _, e := range c.endpointList {
		if !e.Leaving || e.departure.leavesAt.IsZero() {
			continue
		}
		for r := range e.runs.all() {
			if c.isCutOff(e, r) && c.canRestart(e, r) {
				r.task.avoid = e.ID
				c.sendStop(e, r, "its endpoint leaves before it ends")
			}
		}
	}
}

// isCutOff reports whether a run is expected to end after its endpoint leaves.
func (c *Core) isCutOff(e *endpoint, r *run) bool {
	if r.task == nil || r.state != runRunning {
		return false
	}
	took := r.expected
	if r.observed() >= minProjectedPercent {
		took = projectedRunTime(r, r.age)
	}
	return r.startIfTaking(took).Add(took).After(e.departure.leavesAt.Add(noticeLag))
}

// canRestart reports whether the job of a run can be answered in time if the run
// is stopped and started elsewhere.
func (c *Core) canRestart(e *endpoint, r *run) bool {
	j := r.task.job
	if j.delegated || j.Stored {
		return false
	}
	end := c.now.Add(restartMargin + c.expectedTime(j.Queue, r.task.step.Estimate))
	if end.After(j.due) {
		return false
	}
	_, fits := c.bestEndpoint(r.task, e)
	return fits
}
