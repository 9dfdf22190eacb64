package leased

import (
	"time"

	"lovagespread.example/dispatch/outlier"
	"lovagespread.example/dispatch/placement"
)

const (
	// spareWidth is the width of a job, as a share of the mean job width, up to
	// which a job leaves the fast endpoints to others.
	spareWidth = 0.3
	// widthGain is the weight of a job of the mean width in the mean width. Wider
	// jobs have a greater weight, in proportion to their width.
	widthGain = 0.02
	// verySlow is the speed below which an endpoint gets no task that would make its
	// job late. A higher limit makes jobs wait for fast endpoints until they are late.
	verySlow = 0.2
)

// together places the tasks of a step together. It holds memory that is reused.
type together struct {
	planner   placement.Planner
	tasks     []*task
	work      []time.Duration
	hosts     []placement.Host
	endpoints []*endpoint // of the hosts
	width     float64     // mean width of jobs, in millicores, weighted by width
}

// placeTogether places the waiting tasks of a step together. It returns false if
// the step has to be placed task by task: no endpoint here has free capacity, or a
// task is a suspect or requires a label, which have rules of their own.
func (c *Core) placeTogether(j *job, step int) bool {
	if j.Steps[step].Label != "" || j.Steps[step].Demand.MilliCores > c.maxFree || !c.gatherTasks(j, step) {
		return false
	}
	u := &c.unequal
	if len(u.tasks) == 0 {
		return true
	}
	if c.gatherFree(u.tasks[0]); len(u.hosts) == 0 {
		c.maxFree = c.largestFree()
		return false
	}
	c.observeWidth(j, step)
	plan := c.plan(j, step)
	u.counts.Together++
	u.counts.Spared += uint64(u.planner.Spared)
	c.applyPlan(plan)
	return true
}

// gatherTasks lists the tasks of a step that may start. It returns false if one is
// a suspect.
func (c *Core) gatherTasks(j *job, step int) bool {
	u := &c.unequal
	u.tasks, u.work = u.tasks[:0], u.work[:0]
	for i := range j.tasks[step] {
		t := &j.tasks[step][i]
		if t.suspect() {
			return false
		}
		if c.mayStart(t) {
			u.tasks = append(u.tasks, t)
		}
	}
	if len(u.tasks) == 0 {
		return true
	}
	usual := c.usualWork(u.tasks[0])
	for _, t := range u.tasks {
		u.work = append(u.work, c.workOf(t, usual))
	}
	return true
}

// observeWidth updates the mean width by a job that has not begun.
func (c *Core) observeWidth(j *job, step int) {
	if j.begun || j.delegated {
		return
	}
	u := &c.unequal
	width := stepWidth(j, step)
	u.width += (width - u.width) * min(1, widthGain*width/max(1, u.width))
}

func stepWidth(j *job, step int) float64 {
	return float64(j.Steps[step].Tasks * j.Steps[step].Demand.MilliCores)
}

// plan returns the index of the host of each task in c.unequal.tasks.
func (c *Core) plan(j *job, step int) []int {
	u := &c.unequal
	s := placement.Step{Work: u.work, Slowest: c.spread(j.Queue).Slowest(len(u.work)), Due: j.due.Sub(c.now)}
	if u.mode == placeByOracle {
		s.Slowest = 1
	}
	s.Spare = !j.delegated && j.class != lateClass && stepWidth(j, step) <= spareWidth*u.width
	plan := u.planner.Place(&s, u.hosts)
	if j.delegated || s.Due <= 0 || !c.missesDue(&s, plan) {
		return plan
	}
	c.gatherBusy(u.tasks[0])
	return u.planner.Place(&s, u.hosts)
}

// missesDue reports whether a planned task ends after the due time.
func (c *Core) missesDue(s *placement.Step, plan []int) bool {
	for i, host := range plan {
		if host != placement.None && c.unequal.hosts[host].End(s.Work[i], s.Slowest) > s.Due {
			return true
		}
	}
	return false
}

// gatherFree lists the endpoints that have free capacity for a task.
// An endpoint that is so slow that it would make the job late is left out.
func (c *Core) gatherFree(t *task) {
	u := &c.unequal
	work := c.nominalTime(t)
	limit := c.claimLimit(t.job)
	u.hosts, u.endpoints = u.hosts[:0], u.endpoints[:0]
	for i, free := range c.freeIndex.free {
		if free < t.step.Demand.MilliCores {
			continue
		}
		if e := c.endpointList[i]; c.eligible(t, e, limit) && (e.speed.Factor() > verySlow || !c.tooSlow(t, e, work)) {
			c.addHost(t, e, 0, startable(t, e))
		}
	}
}

// startable returns how many tasks of a step an endpoint can start now.
func startable(t *task, e *endpoint) int {
	free, d := e.free(), t.step.Demand
	n := free.MilliCores / max(1, d.MilliCores)
	if d.MemoryMiB > 0 {
		n = min(n, free.MemoryMiB/d.MemoryMiB)
	}
	if d.Accelerators > 0 {
		n = min(n, free.Accelerators/d.Accelerators)
	}
	if t.step.MaxPerEndpoint > 0 {
		n = min(n, t.step.MaxPerEndpoint-e.runsOfStep(t.id))
	}
	if e.record.Health() == outlier.Probation {
		n = min(n, 1)
	}
	return n
}

// gatherBusy adds the endpoints that will have capacity for a task once the first
// of their runs has ended.
func (c *Core) gatherBusy(t *task) {
	for i, free := range c.freeIndex.free {
		e := c.endpointList[i]
		if free >= t.step.Demand.MilliCores || e.record.Health() != outlier.Healthy || e.suspects > 0 {
			continue
		}
		if e.Service != t.job.Service || !e.usable(c.now) || !e.hasLabel(t.step.Label) || t.job.cell != "" && e.Cell != t.job.cell {
			continue
		}
		if wait := c.freeIn(t, e); wait > 0 {
			c.addHost(t, e, wait, 1)
		}
	}
}

// freeIn returns how long it takes until the first run has ended whose capacity is
// enough for a task, or 0 if that is not known.
func (c *Core) freeIn(t *task, e *endpoint) time.Duration {
	var first time.Duration
	for _, r := range e.runs {
		if !t.step.Demand.Within(e.free().plus(r.demand)) || r.task == nil {
			continue
		}
		rest := c.expectedEnd(r).Sub(c.now)
		if rest > 0 && (first == 0 || rest < first) {
			first = rest
		}
	}
	return first
}

// expectedEnd returns when a run is expected to end, by its progress if it has made
// enough.
func (c *Core) expectedEnd(r *run) time.Time {
	progress := placement.Run{Age: r.age, Percent: r.percent}
	whole, known := progress.Projected()
	if !known || r.foundPercent > 0 && r.observed() < minObservedPercent {
		whole = r.expected
	}
	return r.startIfTaking(whole).Add(whole)
}

func (c *Core) addHost(t *task, e *endpoint, wait time.Duration, n int) {
	u := &c.unequal
	u.hosts = append(u.hosts, placement.Host{Speed: speedFor(t, e), Extra: c.cost(t, e, 0), FreeAt: wait, Slots: n})
	u.endpoints = append(u.endpoints, e)
}

// speedFor returns the speed of an endpoint for a task, whose data may be far.
func speedFor(t *task, e *endpoint) float64 {
	if t.step.Rack != "" && !e.hasLabel(t.step.Rack) {
		return e.speed.Factor() / remoteRackFactor
	}
	return e.speed.Factor()
}

// applyPlan starts the tasks that have a free host. Tasks without a host are
// delegated.
func (c *Core) applyPlan(plan []int) {
	u := &c.unequal
	delegates, complete := true, true
	for i, t := range u.tasks {
		switch host := plan[i]; {
		case host == placement.None:
			complete = false
			delegates = delegates && c.delegate(t)
		case u.hosts[host].FreeAt > 0:
			u.counts.Waited++
		default:
			c.start(t, u.endpoints[host])
		}
	}
	if !complete {
		c.maxFree = c.largestFree()
	}
}
