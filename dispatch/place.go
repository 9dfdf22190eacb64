package dispatch

import (
	"time"

	"lovagespread.example/dispatch/outlier"
	"lovagespread.example/dispatch/place"
	"lovagespread.example/dispatch/queue"
)

// maxBlocked bounds the groups that are skipped because no worker has enough
// free resources for their next task.
const maxBlocked = 8

// placeAll starts every waiting task for which there is an endpoint.
func (c *Core) placeAll() {
	if c.waiting == 0 {
		return
	}
	if c.opts.Order.Strict() {
		c.placeInStrictOrder()
		return
	}
	for _, s := range c.servicesByDepth {
		if s.waiting > 0 {
			c.placeService(s)
		}
	}
}

// placeService starts tasks of one service, the most urgent job first.
func (c *Core) placeService(s *service) {
	var blocked [maxBlocked]*queue.Item[*group]
	n := 0
	for s.queue.Len() > 0 && (s.pool.Available() > 0 || !c.opts.Picker.LateBinding()) {
		item := s.queue.First()
		if c.placeNext(item.Value) {
			continue
		}
		s.queue.Remove(item)
		blocked[n] = item
		n++
		if n == maxBlocked {
			break
		}
	}
	for _, item := range blocked[:n] {
		s.queue.Push(item, item.Key())
	}
}

// placeInStrictOrder starts tasks in one order over all services, up to the
// first task for which there is no endpoint.
func (c *Core) placeInStrictOrder() {
	for {
		var first *queue.Item[*group]
		for _, s := range c.servicesByDepth {
			if item := s.queue.First(); item != nil && (first == nil || item.Key() < first.Key()) {
				first = item
			}
		}
		if first == nil || !c.placeNext(first.Value) {
			return
		}
	}
}

// placeNext starts the next task of a group. It returns false if no endpoint
// can take it now.
func (c *Core) placeNext(g *group) bool {
	index := int(g.waiting[len(g.waiting)-1])
	t := &g.job.tasks[index]
	if t.done {
		c.dequeue(g)
		return true
	}
	eligible := g.service.pool.Available()
	e, reason := c.pick(g.service, t)
	if e == nil {
		return false
	}
	c.dequeue(g)
	c.start(g, index, e, startInfo{eligible: eligible, reason: c.placementReason(t, e, reason)})
	return true
}

// pick chooses an endpoint. An endpoint that the task should avoid is chosen
// only if there is no other.
func (c *Core) pick(s *service, t *task) (*executor, place.Reason) {
	r := place.Request{Needs: t.needs}
	if t.avoid != nil {
		r.Avoid = &t.avoid.Endpoint
		if e, reason := c.opts.Picker.Pick(s.pool, r, c.opts.Rand); e != nil {
			return c.executorsByID[e.ID], reason
		}
		r.Avoid = nil
	}
	e, reason := c.opts.Picker.Pick(s.pool, r, c.opts.Rand)
	if e == nil {
		return nil, reason
	}
	return c.executorsByID[e.ID], reason
}

func (c *Core) placementReason(t *task, e *executor, reason place.Reason) Reason {
	switch {
	case e.health.Health() == outlier.Probation:
		return ReasonProbation
	case t.possibleStarts+t.notStarted > 0:
		return ReasonRetry
	case reason == place.SpreadRacks:
		return ReasonSpreadRacks
	case reason == place.OnlyEligible:
		return ReasonOnlyEligible
	default:
		return ReasonLeastLoaded
	}
}

// startInfo holds the details of a start for the decision log.
type startInfo struct {
	eligible int
	reason   Reason
	hedge    bool
}

// start has the ledger authorize one attempt and adds it to Ready.Starts.
func (c *Core) start(g *group, index int, e *executor, info startInfo) {
	j := g.job
	attempt, ok := c.ledger.Start(j.id, index)
	if !ok {
		return
	}
	t := &j.tasks[index]
	t.possibleStarts++
	s := g.service
	r := &run{
		job: j, index: index, attempt: attempt, executor: e, started: c.now,
		leaseEnd: c.now.Add(s.spec.Timeout), hedge: info.hedge, next: t.runs,
	}
	t.runs = r
	j.running++
	c.countOpen(g, 1)
	e.Allocate(t.needs)
	s.leases.Push(r)
	if attempt == 1 {
		s.retries.Earn()
		s.hedges.Earn()
	}
	if attempt == 1 {
		c.scheduleOverdueCheck(s, r)
	}
	c.ready.Starts = append(c.ready.Starts, Start{
		Task:     TaskRef{Job: j.id, Index: index},
		Service:  s.spec.Name,
		Attempt:  attempt,
		Endpoint: e.Name,
		Address:  e.Address,
		LeaseEnd: r.leaseEnd,
		Hedge:    info.hedge,
		Eligible: info.eligible,
		Reason:   info.reason,
		Urgency:  c.urgencySeconds(g),
	})
}

// urgencySeconds returns the seconds since the time by which a job is ordered.
// It is negative if that time is in the future.
func (c *Core) urgencySeconds(g *group) float64 {
	return float64(c.now.UnixNano()-g.item.Key()) / float64(time.Second)
}
