package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/outlier"
	"lovagespread.example/dispatch/place"
)

// executor is one endpoint with what was learned of it.
type executor struct {
	place.Endpoint
	service *service
	state   EndpointState
	share   int // slots that this entry owns
	overdue []*run
	paused  int // slots left alone for a while
	record  outlier.Record
	listed  bool // in the newest list
}

func (e *executor) slow() bool { return e.record.Slow() }

// setEndpoints builds the pools anew. What was learned of an endpoint whose
// name and service stay is kept, and so are its running tasks.
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
	c.rescue()
	for name, e := range c.executors {
		if !e.listed && e.Running == 0 {
			c.drop(name, e)
		}
	}
}

// rescue queues the idempotent tasks of endpoints that have just become
// suspect once more, rather than wait for the end of their leases.
func (c *Core) rescue() {
	if len(c.suspected) == 0 {
		return
	}
	for _, s := range c.byDepth {
		if !s.spec.Idempotent {
			continue
		}
		stranded := lo.Filter(s.leases.Values(), func(r *run, _ int) bool {
			return slices.Contains(c.suspected, r.executor) && c.isStranded(r)
		})
		for _, r := range stranded {
			if s.retries.Spend() {
				r.job.tasks[r.index].avoid = r.executor
				c.enqueue(r.job, r.index)
			}
		}
	}
	c.suspected = c.suspected[:0]
}

// isStranded reports whether the task of an attempt needs a result and has no
// attempt at a live endpoint. It is true for the newest attempt only.
func (c *Core) isStranded(r *run) bool {
	newest := r.job.tasks[r.index].runs
	if r.over || r.job.ended || newest != r || r.job.tasks[r.index].waiting {
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
		c.suspected = append(c.suspected, e)
	}
	e.Name, e.Address, e.state, e.listed = spec.Name, spec.Address, spec.State, true
	e.share = c.slots(spec)
	e.Slots, e.Rack = e.slotsNow(), rack
	if worker != nil {
		worker.AddEndpoint(&e.Endpoint)
	}
	e.Tier = e.tierNow()
	s.peers.Endpoints++
	s.pool.Add(&e.Endpoint)
}

// newExecutor returns an executor with a number that no other one has.
func (c *Core) newExecutor(s *service) *executor {
	e := &executor{service: s}
	if n := len(c.freeIDs); n > 0 {
		e.ID = c.freeIDs[n-1]
		c.freeIDs = c.freeIDs[:n-1]
		c.byID[e.ID] = e
		return e
	}
	e.ID = len(c.byID)
	c.byID = append(c.byID, e)
	return e
}

func (c *Core) drop(name string, e *executor) {
	e.record.RemoveFrom(&e.service.peers)
	delete(c.executors, name)
	c.byID[e.ID] = nil
	c.freeIDs = append(c.freeIDs, e.ID)
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

// slots returns the slots of an endpoint that this entry owns. The remainder
// of an uneven division goes to different entries at different endpoints.
func (c *Core) slots(e *Endpoint) int {
	share := e.Slots / c.share.Entries
	offset := int(xxhash.Sum64String(e.Name) % uint64(c.share.Entries))
	if (c.share.Rank+offset)%c.share.Entries < e.Slots%c.share.Entries {
		share++
	}
	return share
}

// tierNow returns the tier that follows from membership and standing.
func (e *executor) tierNow() place.Tier {
	switch {
	case e.state == EndpointLeaving, e.record.Health() == outlier.Ejected:
		return place.Excluded
	case e.state == EndpointSuspect:
		return place.Suspect
	case e.record.Health() == outlier.Degraded:
		return place.Degraded
	default:
		return place.Normal
	}
}

// slotsNow returns the slots that may be filled: one on probation.
func (e *executor) slotsNow() int {
	if e.record.Health() == outlier.Probation {
		return min(1, e.share)
	}
	return max(0, e.share-e.paused)
}

// updateTier lists an endpoint where it belongs after a change.
func (c *Core) updateTier(e *executor) {
	pool := e.Pool()
	if pool == nil {
		return
	}
	if slots := e.slotsNow(); slots != e.Slots {
		pool.SetSlots(&e.Endpoint, slots)
	}
	pool.SetTier(&e.Endpoint, e.tierNow())
}
