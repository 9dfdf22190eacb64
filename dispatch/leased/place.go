package leased

import (
	"math"
	"time"

	"lovagespread.example/dispatch/outlier"
)

// Costs that are added to the expected run time when endpoints are compared.
const (
	degradedCost       = 300 * time.Millisecond // for an endpoint that has just failed
	probationCost      = 200 * time.Millisecond // for an endpoint on probation
	suspectCost        = 300 * time.Millisecond // for an endpoint that runs a suspect (isolate.go)
	unusedCapacityCost = 20 * time.Millisecond  // times the share of the endpoint left free
	remoteRackFactor   = 3                      // run time factor on a rack without the data
)

// place starts waiting tasks where capacity is free, the most urgent job first.
func (c *Core) place() {
	c.findLostRuns()
	if c.waiting.len() == 0 || c.now.Before(c.startsPausedUntil) {
		return
	}
	if max(c.maxFree, c.largestAnnounced()) < c.minDemand {
		return
	}
	c.waiting.moveBegun()
	minDemand, complete := math.MaxInt, true
	c.waiting.walk(func(j *job) bool {
		if max(c.maxFree, c.largestAnnounced()) < c.minDemand {
			complete = false
			return false
		}
		minDemand = min(minDemand, c.placeJob(j))
		c.dequeueIfPlaced(j)
		return true
	})
	if complete {
		c.minDemand = minDemand
	}
}

// placeJob places as many tasks of a job as possible and returns the smallest
// demand of its tasks in millicores.
func (c *Core) placeJob(j *job) int {
	minDemand := math.MaxInt
	late := c.startsTooLate(j)
	for s := range j.tasks {
		if j.ready(s) && !late {
			c.placeStep(j, s)
		}
		minDemand = min(minDemand, j.Steps[s].Demand.MilliCores)
	}
	return minDemand
}

// largestFree returns the most free millicores of any usable endpoint.
func (c *Core) largestFree() int {
	most := 0
	for i, free := range c.freeIndex.free {
		if free > most && c.endpointList[i].usable(c.now) {
			most = free
		}
	}
	return most
}

// mayStart reports whether a task waits, no earlier run of it may be active, and none can
// have ended unseen.
func (c *Core) mayStart(t *task) bool {
	if t.state != waitingTask || c.runs[t.id] != nil || c.unseen.possible(t.id, c.now) {
		return false
	}
	if c.awaitsCount(t.id) {
		return false
	}
	if c.unheard(t.job) || c.mayHaveEnded(t) {
		return false
	}
	return c.restartAllowed(t)
}

func (c *Core) placeStep(j *job, step int) {
	if c.speedsDiffer(j.Service) && c.placeTogether(j, step) {
		return
	}
	for i := range j.tasks[step] {
		t := &j.tasks[step][i]
		if !c.mayStart(t) {
			continue
		}
		if t.step.Demand.MilliCores <= c.maxFree {
			if e, fits := c.bestEndpoint(t, nil); fits {
				if !c.mustCheck(t, e) {
					c.start(t, e)
				}
				continue
			}
			c.maxFree = c.largestFree()
		}
		if !c.delegate(t) && !c.startOnLeaving(t) {
			return
		}
	}
}

// bestEndpoint returns the endpoint, other than exclude, that is expected to
// finish the task first.
func (c *Core) bestEndpoint(t *task, exclude *endpoint) (*endpoint, bool) {
	var best *endpoint
	var bestCost time.Duration
	expected := c.nominalTime(t)
	limit := c.claimLimit(t.job)
	for i, free := range c.freeIndex.free {
		if free < t.step.Demand.MilliCores {
			continue
		}
		e := c.endpointList[i]
		if e == exclude || !c.eligible(t, e, limit) {
			continue
		}
		if c.tooSlow(t, e, expected) {
			continue
		}
		cost := c.cost(t, e, expected)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, best != nil
}

// tooSlow reports whether a slow endpoint would make a job late. Jobs that are
// late already accept any endpoint.
func (c *Core) tooSlow(t *task, e *endpoint, expected time.Duration) bool {
	if t.job.delegated || t.job.class == lateClass {
		return false
	}
	slowness := c.slowness(e)
	if slowness < slowEndpointFactor {
		return false
	}
	return c.now.Add(time.Duration(float64(expected) * slowness)).After(t.job.due)
}

// slowEndpointFactor is the slowness from which on an endpoint gets no jobs that
// it would make late. Healthy endpoints differ by less.
const slowEndpointFactor = 1.6

// markBegun records that a run of a job was started, or that one of its tasks was delegated.
func (c *Core) markBegun(j *job) {
	if !j.begun {
		j.begun = true
		c.waiting.markBegun(j)
	}
}

// eligible reports whether a task may be started on an endpoint. Its runs may hold
// leases until limit.
func (c *Core) eligible(t *task, e *endpoint, limit time.Time) bool {
	if e.outlives(limit) {
		return false
	}
	if !t.step.Demand.Within(e.free()) || e.Service != t.job.Service || !e.usable(c.now) || !e.hasLabel(t.step.Label) {
		return false
	}
	if t.job.cell != "" && e.Cell != t.job.cell {
		return false
	}
	if e.record.Health() == outlier.Probation && len(e.runs) > 0 {
		return false
	}
	if !c.mayRunBeside(t, e) {
		return false
	}
	return t.step.MaxPerEndpoint == 0 || e.runsOfStep(t.id) < t.step.MaxPerEndpoint
}

// runsOfStep counts the endpoint's runs of the same step as a task.
func (e *endpoint) runsOfStep(id TaskID) int {
	n := 0
	for _, r := range e.runs {
		if other := &r.id; other.Job == id.Job && other.Step == id.Step && other.Occurrence == id.Occurrence {
			n++
		}
	}
	return n
}

func (c *Core) cost(t *task, e *endpoint, expected time.Duration) time.Duration {
	if c.unequal.mode == placeOnFirstFree {
		return 0
	}
	cost := time.Duration(float64(expected) * c.slowness(e))
	if t.step.Rack != "" && !e.hasLabel(t.step.Rack) {
		cost *= remoteRackFactor
	}
	switch e.record.Health() {
	case outlier.Degraded:
		cost += degradedCost
	case outlier.Probation:
		cost += probationCost
	}
	if t.avoid == e.ID {
		cost += degradedCost
	}
	if e.suspects > 0 {
		cost += suspectCost
	}
	left := float64(e.free().MilliCores-t.step.Demand.MilliCores) / float64(max(1, e.Capacity.MilliCores))
	return cost + e.Cold + time.Duration(left*float64(unusedCapacityCost))
}

// start starts a task on an endpoint.
func (c *Core) start(t *task, e *endpoint) {
	t.runs++
	r := &run{
		id: t.id, number: t.runs, incarnation: e.Born, endpoint: e, task: t, demand: t.step.Demand, suspect: t.suspect(),
		expected: time.Duration(float64(c.nominalTime(t)) * c.slowness(e)),
	}
	t.state = placedTask
	t.run = r
	c.markBegun(t.job)
	e.add(r)
	c.markDirty(e)
	c.runs[t.id] = r
	c.sendStart(e, r)
}
