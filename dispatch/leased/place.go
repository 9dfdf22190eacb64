package leased

import (
	"cmp"
	"math"
	"slices"
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
	largest := c.largestFree()
	if len(c.waiting) == 0 || max(largest, c.largestRoom()) < c.least {
		return
	}
	queue := c.queue()
	c.least = math.MaxInt
	for _, j := range queue {
		for s := range j.tasks {
			if !j.ready(s) {
				continue
			}
			c.placeStep(j, s, &largest)
		}
		c.settleWaiting(j)
	}
}

// queue returns the waiting jobs: those that can still reach their goal by the
// time at which they must start, then the others by their arrival.
func (c *Core) queue() []*job {
	type entry struct {
		job  *job
		late bool
		at   time.Time
	}
	list := make([]entry, 0, len(c.waiting))
	for j := range c.waiting {
		latest := j.goal.Add(-c.shortest(j))
		late := !j.begun && c.now.After(latest)
		at := latest
		if late {
			at = j.arrived
		}
		list = append(list, entry{j, late, at})
	}
	slices.SortFunc(list, func(a, b entry) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(a.job.ID, b.job.ID))
	})
	jobs := make([]*job, len(list))
	for i := range list {
		jobs[i] = list[i].job
	}
	return jobs
}

// largestFree returns the most that one endpoint has free.
func (c *Core) largestFree() int {
	most := 0
	for _, e := range c.order {
		if e.usable(c.now) {
			most = max(most, e.free().MilliCores)
		}
	}
	return most
}

func (c *Core) placeStep(j *job, step int, largest *int) {
	for i := range j.tasks[step] {
		t := &j.tasks[step][i]
		if t.state != waitingTask {
			continue
		}
		if t.lostIn != "" && c.lendBack(t) {
			continue
		}
		if c.runs[t.id] != nil || c.now.Before(t.notBefore) {
			c.least = 0 // look again at each step
			continue
		}
		if t.step.Demand.MilliCores <= *largest {
			if e, fits := c.bestFor(t, nil); fits {
				c.start(t, e)
				*largest = c.largestFree()
				continue
			}
		}
		if !c.lend(t) {
			c.least = min(c.least, t.step.Demand.MilliCores)
			return
		}
	}
}

// bestFor returns the endpoint that is expected to end the task first.
func (c *Core) bestFor(t *task, not *endpoint) (*endpoint, bool) {
	var best *endpoint
	var bestCost time.Duration
	expects := c.expect(t.job.Queue, t.step.Estimate)
	for _, e := range c.order {
		if e == not || !c.suits(t, e) {
			continue
		}
		cost := c.cost(t, e, expects)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best, best != nil
}

func (c *Core) suits(t *task, e *endpoint) bool {
	if e.Service != t.job.Service || !e.usable(c.now) || !t.step.Demand.Within(e.free()) || !e.hasLabel(t.step.Label) {
		return false
	}
	if e.runs[t.id] != nil {
		return false
	}
	if e.record.Standing() == outlier.Probation && len(e.runs) > 0 {
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
	switch e.record.Standing() {
	case outlier.Doubtful:
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
		id: t.id, number: t.runs, task: t, demand: t.step.Demand,
		expects: time.Duration(float64(c.expect(t.job.Queue, t.step.Estimate)) * e.slowness()),
	}
	t.state = placedTask
	t.run = r
	t.job.begun = true
	e.add(r)
	c.runs[t.id] = &placed{e, r}
	c.sendStart(e, r)
}
