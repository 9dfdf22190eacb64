package leased

import (
	"math"
	"time"

	"lovagespread.example/dispatch/outlier"
)

// Costs that are added to the expected run time when endpoints are compared.
const (
	doubtCost   = 300 * time.Millisecond // an endpoint that has just failed
	probeCost   = 200 * time.Millisecond // one on probation
	leftoverFee = 20 * time.Millisecond  // per share of the endpoint left free
	remoteRack  = 3                      // factor of a run away from its data
)

// place starts waiting tasks where there is room, the most urgent job first.
func (c *Core) place() {
	c.seekAll()
	if c.waiting.len() == 0 || c.now.Before(c.quietTill) {
		return
	}
	if max(c.bound, c.largestRoom()) < c.least {
		return
	}
	c.waiting.settle()
	least, whole := math.MaxInt, true
	c.waiting.walk(func(j *job) bool {
		if max(c.bound, c.largestRoom()) < c.least {
			whole = false
			return false
		}
		least = min(least, c.placeJob(j))
		c.settleWaiting(j)
		return true
	})
	if whole {
		c.least = least
	}
}

// placeJob places what it can of a job and returns the least that one of its
// tasks asks for.
func (c *Core) placeJob(j *job) int {
	least := math.MaxInt
	for s := range j.tasks {
		if j.ready(s) {
			c.placeStep(j, s)
		}
		least = min(least, j.Steps[s].Demand.MilliCores)
	}
	return least
}

// largestFree returns the most that one endpoint has free.
func (c *Core) largestFree() int {
	most := 0
	for i, free := range c.room.free {
		if free > most && c.order[i].usable(c.now) {
			most = free
		}
	}
	return most
}

func (c *Core) placeStep(j *job, step int) {
	for i := range j.tasks[step] {
		t := &j.tasks[step][i]
		if t.state != waitingTask {
			continue
		}
		if c.runs[t.id] != nil || c.now.Before(t.notBefore) {
			continue // an earlier run may go on
		}
		if c.mayHaveEnded(t) {
			continue
		}
		if t.step.Demand.MilliCores <= c.bound {
			if e, fits := c.bestFor(t, nil); fits {
				c.start(t, e)
				continue
			}
			c.bound = c.largestFree()
		}
		if !c.lend(t) {
			return
		}
	}
}

// bestFor returns the endpoint that is expected to end the task first.
func (c *Core) bestFor(t *task, not *endpoint) (*endpoint, bool) {
	var best *endpoint
	var bestCost time.Duration
	expects := c.expect(t.job.Queue, t.step.Estimate)
	for i, free := range c.room.free {
		if free < t.step.Demand.MilliCores {
			continue
		}
		e := c.order[i]
		if e == not || !c.suits(t, e) {
			continue
		}
		if c.tooSlow(t, e, expects) {
			continue
		}
		cost := c.cost(t, e, expects)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, best != nil
}

// tooSlow reports whether an endpoint would make a job late that can be in
// time elsewhere. Late jobs take what is left.
func (c *Core) tooSlow(t *task, e *endpoint, expects time.Duration) bool {
	if t.job.guest || t.job.class == lateClass {
		return false
	}
	slowness := e.slowness()
	if slowness < slowEndpoint {
		return false
	}
	return c.now.Add(time.Duration(float64(expects) * slowness)).After(t.job.goal)
}

// slowEndpoint is the factor beyond which an endpoint is kept from jobs that
// it would make late. Healthy ones differ by less.
const slowEndpoint = 1.6

// begin notes that a run of a job was started.
func (c *Core) begin(j *job) {
	if !j.begun {
		j.begun = true
		c.reportBegun(j)
		c.waiting.promote(j)
	}
}

func (c *Core) suits(t *task, e *endpoint) bool {
	if !t.step.Demand.Within(e.free()) || e.Service != t.job.Service || !e.usable(c.now) || !e.hasLabel(t.step.Label) {
		return false
	}
	if t.job.cell != "" && e.Cell != t.job.cell {
		return false
	}
	if e.record.Health() == outlier.Probation && len(e.runs) > 0 {
		return false
	}
	return t.step.MaxPerEndpoint == 0 || e.runsOf(t.id) < t.step.MaxPerEndpoint
}

// runsOf counts the runs of a task's step.
func (e *endpoint) runsOf(id TaskID) int {
	n := 0
	for other := range e.runs {
		if other.Job == id.Job && other.Step == id.Step && other.Occurrence == id.Occurrence {
			n++
		}
	}
	return n
}

func (c *Core) cost(t *task, e *endpoint, expects time.Duration) time.Duration {
	cost := time.Duration(float64(expects) * e.slowness())
	if t.step.Rack != "" && !e.hasLabel(t.step.Rack) {
		cost *= remoteRack
	}
	switch e.record.Health() {
	case outlier.Degraded:
		cost += doubtCost
	case outlier.Probation:
		cost += probeCost
	}
	if t.avoid == e.ID {
		cost += doubtCost
	}
	left := float64(e.free().MilliCores-t.step.Demand.MilliCores) / float64(max(1, e.Capacity.MilliCores))
	return cost + e.Cold + time.Duration(left*float64(leftoverFee))
}

// start orders an endpoint to run a task.
func (c *Core) start(t *task, e *endpoint) {
	t.runs++
	r := &run{
		id: t.id, number: t.runs, at: e, task: t, demand: t.step.Demand,
		expects: time.Duration(float64(c.expect(t.job.Queue, t.step.Estimate)) * e.slowness()),
	}
	t.state = placedTask
	t.run = r
	c.begin(t.job)
	e.add(r)
	c.touch(e)
	c.runs[t.id] = r
	c.sendStart(e, r)
}
