package leased

import (
	"math"
	"time"

	"lovagespread.example/dispatch/outlier"
)

// ratioGain is the weight of the newest run in the moving average of run time ÷
// estimate.
const ratioGain = 0.03

// applyEnded applies a run from an endpoint's list of ended runs.
func (c *Core) applyEnded(e *endpoint, end *EndedRun) {
	if end.Number <= e.lastSeen {
		return
	}
	e.lastSeen = end.Number
	c.reportEnd(e, end)
	r := e.runs.find(end.Task)
	if r == nil || r.number != end.Run {
		if end.End == EndDone {
			c.doneUnclaimed[end.Task] = c.now
			c.applyStoredEnd(end)
		}
		return
	}
	c.endRun(e, r, end.End, EvidenceListed, end.Checkpoint)
	c.applyStoredEnd(end) // the run may have been cancelled and its job submitted again
}

// applyRunning reconciles the known runs with an endpoint's list of active runs.
func (c *Core) applyRunning(e *endpoint, list []ActiveRun, more bool) {
	for i := range list {
		row := &list[i]
		r := e.runs.find(row.Task)
		if r != nil {
			r.listedBy = e.sequence
			r.restarted = false
		}
		if r == nil || r.number < row.Run {
			if r == nil {
				c.addFoundRun(e, row)
			}
			continue
		}
		if r.number != row.Run {
			continue
		}
		r.incarnation = e.Born
		r.observeClock(e.listedClock)
		c.observeProgress(e, r, row.Percent)
		if r.state == runStarting {
			c.confirm(r)
		}
	}
	if more {
		return
	}
	alone := len(e.runs) == 1
	for r := range e.runs.all() {
		if r.listedBy != e.sequence && (before(r.confirmed, e.holdSent) || before(r.stopAnswered, e.holdSent)) {
			c.endVanished(e, r, alone)
		}
	}
}

// endVanished ends a run that the endpoint no longer knows.
func (c *Core) endVanished(e *endpoint, r *run, alone bool) {
	c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("run_vanished", "the run is listed neither as running nor as ended"))
	if r.restarted {
		c.loseWithEndpoint(e, r, alone)
		return
	}
	c.endRun(e, r, EndLapsed, EvidenceVanished, "")
}

// before reports whether an event has happened, and before the given time.
func before(happened, at time.Time) bool { return !happened.IsZero() && happened.Before(at) }

// addFoundRun adds a run that this core does not know as active: an earlier
// holder has started it, or a Start of this core was executed late.
func (c *Core) addFoundRun(e *endpoint, row *ActiveRun) {
	r := &run{id: row.Task, number: row.Run, incarnation: e.Born, endpoint: e, listedBy: e.sequence, state: runRunning, sent: c.now, began: c.now, beganClock: e.listedClock, confirmed: c.now, unclaimedSince: c.now, leaseLimit: c.now, percent: row.Percent, foundPercent: row.Percent, demandUnknown: true}
	e.add(r)
	if c.runs[row.Task] != nil {
		c.sendStop(e, r, "the task runs elsewhere")
		return
	}
	c.runs[row.Task] = r
	if t := c.claimant(row.Task); t != nil && t.mayAdopt(row.Run) {
		c.adopt(t, e, r)
	}
}

// claimant returns the waiting task that a found run belongs to.
func (c *Core) claimant(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	t := j.task(id)
	if t == nil || t.state != waitingTask {
		return nil
	}
	return t
}

// adopt assigns a found run to the task that it belongs to.
func (c *Core) adopt(t *task, e *endpoint, r *run) {
	e.remove(r)
	r.task = t
	r.demandUnknown = false
	r.demand = t.step.Demand
	r.expected = c.nominalTime(t)
	e.add(r)
	t.state = placedTask
	t.run = r
	t.runs = max(t.runs, r.number)
	c.markBegun(t.job)
	c.reportBegun(t.job, r.number)
	c.dequeueIfPlaced(t.job)
}

func (c *Core) confirm(r *run) {
	if !r.confirmed.IsZero() {
		return
	}
	r.confirmed = c.now
	if r.state == runStarting {
		r.state = runRunning
	}
	if r.task != nil {
		c.reportBegun(r.task.job, r.number)
	}
}

// forgetRun removes a run from the endpoint and the core.
func (c *Core) forgetRun(e *endpoint, r *run) {
	e.remove(r)
	if c.runs[r.id] == r {
		delete(c.runs, r.id)
	}
	if len(e.runs) == 0 {
		e.idleSince = c.now
	}
}

// endRun removes a run and applies its end to its task.
func (c *Core) endRun(e *endpoint, r *run, end End, evidence Evidence, checkpoint string) {
	if r.confirmed.IsZero() && r.tries > 0 && (end == EndLapsed || end == EndEndpointLost) {
		e.unresolvedStarts = append(e.unresolvedStarts, unresolvedStart{task: r.id, run: r.number, sent: r.began})
	}
	c.forgetRun(e, r)
	t := r.task
	if t == nil {
		return
	}
	t.evidence = evidence
	c.out.RunEnds = append(c.out.RunEnds, RunEnd{
		Endpoint: e.ID, Task: r.id, Run: r.number, End: end, Took: e.runTime(r, c.now), Expected: r.expected, Failures: t.failures,
	})
	c.observeEnd(e, r, end)
	switch {
	case t.job.delegated && (end == EndFailed || end == EndEndpointLost) && c.awaitsCount(t.id):
		c.holdAnswer(t.job, r.number, end, checkpoint)
		return
	case t.job.delegated:
		c.answerDelegated(t.job, r.number, end, checkpoint)
		return
	}
	c.taskRunEnded(t, end, checkpoint)
}

// observeEnd updates the statistics of a run's endpoint and queue.
func (c *Core) observeEnd(e *endpoint, r *run, end End) {
	switch end {
	case EndDone:
		took := e.runTime(r, c.now)
		r.task.took = took
		e.observeRunTime(took, r.expected)
		c.learnSpeed(e, r, took)
		e.record.Succeeded(c.now, c.peersOf(e), took, r.expected)
		c.observeEstimate(r.task.job.Queue, took, r.task.step.Estimate, e)
		c.countFailures(r.task)
	case EndFailed:
		r.task.failedOn = append(r.task.failedOn, e.ID)
	}
}

// countFailures counts the failed runs of a task that is now done against their
// endpoints. If a task is never done, it is unknown whether the task or the
// endpoints caused the failures.
func (c *Core) countFailures(t *task) {
	for _, id := range t.failedOn {
		e := c.endpoints[id]
		if e == nil {
			continue
		}
		before := e.record.Health()
		e.record.Failed(c.now, c.peersOf(e))
		c.emitEjection(e, before, "it fails more runs than its peers")
	}
	t.failedOn = nil
}

func (c *Core) emitEjection(e *endpoint, before outlier.Health, reason string) {
	if e.record.Health() == outlier.Ejected && before != outlier.Ejected {
		c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_ejected", reason))
	}
}

// observeEstimate updates the ratio of run times to estimates of a queue.
func (c *Core) observeEstimate(queue string, took, estimate time.Duration, e *endpoint) {
	if took <= 0 || estimate <= 0 {
		return
	}
	c.admission.runTimes.Observe(queue, time.Duration(float64(took)/e.slowness()), estimate)
	a := c.runTimeRatios[queue]
	if a == nil {
		a = &average{}
		c.runTimeRatios[queue] = a
	}
	a.samples++
	ratio := math.Log(float64(took) / float64(estimate) / e.slowness())
	ratio = min(max(ratio, -2), 2)
	a.value += (ratio - a.value) * max(ratioGain, 1/float64(a.samples))
	a.observePeak(ratio)
}

// expectedTime corrects an estimate by the observed ratio of its queue.
func (c *Core) expectedTime(queue string, estimate time.Duration) time.Duration {
	a := c.runTimeRatios[queue]
	if a == nil {
		return estimate
	}
	return span(float64(estimate) * math.Exp(a.value))
}
