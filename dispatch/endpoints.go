package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/outlier"
	"lovagespread.example/dispatch/place"
)

// executor is an endpoint together with the observations about it.
type executor struct {
	place.Endpoint
	service     *service
	domain      string // failure domain
	state       EndpointState
	evacuated   bool // gets no task while its failure domain is emptied
	ownSlots    int  // slots that this entry owns
	overdue     []*run
	pausedSlots int // see pauseSlot
	health      outlier.Record
	listed      bool // in the latest SetEndpoints
}

func (e *executor) slow() bool { return e.health.Slow() }

// setEndpoints rebuilds the pools. An endpoint whose name and service stay the
// same keeps its observations and its running tasks.
func (c *Core) setEndpoints(list []Endpoint) {
	for _, s := range c.services {
		s.pool = &place.Pool{Needs: s.spec.Needs}
		s.peers.Endpoints = 0
	}
	for _, e := range c.executors {
		e.Detach()
		e.listed = false
	}
	racks := make(map[string]*place.Rack)
	workers := make(map[string]*place.Worker)
	for i := range list {
		c.setEndpoint(&list[i], rackOf(racks, list[i].Rack), workerOf(workers, &list[i]))
	}
	c.requeueFromSuspect()
	for name, e := range c.executors {
		if !e.listed && e.Running == 0 {
			c.removeExecutor(name, e)
		}
	}
}

// requeueFromSuspect queues the running idempotent tasks of endpoints that have
// just become suspect for another attempt, instead of waiting for the end of
// their leases.
func (c *Core) requeueFromSuspect() {
	if len(c.newlySuspect) == 0 {
		return
	}
	for _, s := range c.servicesByDepth {
		if !s.spec.Idempotent {
			continue
		}
		stranded := lo.Filter(s.leases.Values(), func(r *run, _ int) bool {
			return slices.Contains(c.newlySuspect, r.executor) && c.isStranded(r)
		})
		for _, r := range stranded {
			if s.retries.Spend() {
				r.job.tasks[r.index].avoid = r.executor
				c.enqueue(r.job, r.index)
			}
		}
	}
	c.newlySuspect = c.newlySuspect[:0]
}

// isStranded reports whether the task of an attempt still needs a result and
// has no attempt at a live endpoint. It is true only for the newest attempt.
func (c *Core) isStranded(r *run) bool {
	newest := r.job.tasks[r.index].runs
	if r.ended || r.job.ended || newest != r || r.job.tasks[r.index].waiting {
		return false
	}
	for ; newest != nil; newest = newest.next {
		if newest.executor.state == EndpointLive {
			return false
		}
	}
	return true
}

func (c *Core) setEndpoint(spec *Endpoint, rack *place.Rack, worker *place.Worker) {
	s := c.serviceOf(spec.Service)
	e := c.executors[spec.Name]
	if e == nil || e.service != s {
		e = c.newExecutor(s)
		c.executors[spec.Name] = e
	}
	if spec.State == EndpointSuspect && e.state == EndpointLive {
		c.newlySuspect = append(c.newlySuspect, e)
	}
	e.Name, e.Address, e.state, e.listed = spec.Name, spec.Address, spec.State, true
	e.domain = spec.FailureDomain
	e.evacuated = !c.evacuations.Admits(c.now, e.domain, e.Name)
	e.ownSlots = c.ownSlots(spec)
	e.Slots, e.Rack = e.usableSlots(), rack
	if worker != nil {
		worker.AddEndpoint(&e.Endpoint)
	}
	e.Tier = e.tier()
	s.peers.Endpoints++
	s.pool.Add(&e.Endpoint)
}

// newExecutor returns an executor with an ID that no other executor has.
func (c *Core) newExecutor(s *service) *executor {
	e := &executor{service: s}
	if n := len(c.freeExecutorIDs); n > 0 {
		e.ID = c.freeExecutorIDs[n-1]
		c.freeExecutorIDs = c.freeExecutorIDs[:n-1]
		c.executorsByID[e.ID] = e
		return e
	}
	e.ID = len(c.executorsByID)
	c.executorsByID = append(c.executorsByID, e)
	return e
}

func (c *Core) removeExecutor(name string, e *executor) {
	e.health.RemoveFrom(&e.service.peers)
	delete(c.executors, name)
	c.executorsByID[e.ID] = nil
	c.freeExecutorIDs = append(c.freeExecutorIDs, e.ID)
}

func rackOf(racks map[string]*place.Rack, name string) *place.Rack {
	if name == "" {
		return nil
	}
	if racks[name] == nil {
		racks[name] = &place.Rack{}
	}
	return racks[name]
}

func workerOf(workers map[string]*place.Worker, spec *Endpoint) *place.Worker {
	if spec.Worker == "" || (spec.Capacity == catalog.Resources{}) {
		return nil
	}
	if workers[spec.Worker] == nil {
		workers[spec.Worker] = &place.Worker{Capacity: spec.Capacity}
	}
	return workers[spec.Worker]
}

// ownSlots returns how many slots of an endpoint this entry owns. The remainder
// of an uneven division goes to different entries at different endpoints.
func (c *Core) ownSlots(spec *Endpoint) int {
	share := spec.Slots / c.share.Entries
	offset := int(xxhash.Sum64String(spec.Name) % uint64(c.share.Entries))
	if (c.share.Rank+offset)%c.share.Entries < spec.Slots%c.share.Entries {
		share++
	}
	return share
}

// tier returns the placement tier that follows from the membership state, the
// evacuation of the failure domain and the health.
func (e *executor) tier() place.Tier {
	switch {
	case e.state == EndpointLeaving, e.evacuated, e.health.Health() == outlier.Ejected:
		return place.Excluded
	case e.state == EndpointSuspect:
		return place.Suspect
	case e.health.Health() == outlier.Degraded:
		return place.Degraded
	default:
		return place.Normal
	}
}

// usableSlots returns the number of slots that may be filled: on probation at
// most one, otherwise all own slots that are not paused.
func (e *executor) usableSlots() int {
	if e.health.Health() == outlier.Probation {
		return min(1, e.ownSlots)
	}
	return max(0, e.ownSlots-e.pausedSlots)
}

// updateTier updates an endpoint's slots and tier in its pool after a change.
func (c *Core) updateTier(e *executor) {
	pool := e.Pool()
	if pool == nil {
		return
	}
	if slots := e.usableSlots(); slots != e.Slots {
		pool.SetSlots(&e.Endpoint, slots)
	}
	pool.SetTier(&e.Endpoint, e.tier())
}
