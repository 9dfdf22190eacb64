// Package place chooses an endpoint of a service for a task.
//
// A pool indexes the endpoints with a free slot by load, so that the time of a
// choice does not depend on the number of endpoints.
package place

import "lovagespread.example/catalog"

// Tier orders endpoints by preference. Endpoints of a higher tier get tasks only
// if no endpoint of a lower tier has a free slot.
type Tier uint8

// Tiers, from the most to the least preferred.
const (
	Normal Tier = iota
	Degraded
	Suspect
	Excluded // gets no task
	numTiers = int(Excluded)
)

// Rack counts the running tasks and the slots of the endpoints in one rack.
type Rack struct {
	Running int
	Slots   int
}

// utilization returns the share of the slots that are in use.
func (r *Rack) utilization() float64 {
	if r == nil || r.Slots == 0 {
		return 0
	}
	return float64(r.Running) / float64(r.Slots)
}

// Worker is a host that runs endpoints. The tasks of its endpoints share its
// resources.
type Worker struct {
	Capacity      catalog.Resources // zero: unknown and treated as unlimited
	usedResources catalog.Resources
	endpoints     []*Endpoint
}

// Bounded reports whether the worker's resources are known.
func (w *Worker) Bounded() bool { return w != nil && w.Capacity != catalog.Resources{} }

// Free returns the unused part of the capacity.
func (w *Worker) Free() catalog.Resources {
	return catalog.Resources{
		MilliCores:   w.Capacity.MilliCores - w.usedResources.MilliCores,
		MemoryMiB:    w.Capacity.MemoryMiB - w.usedResources.MemoryMiB,
		Accelerators: w.Capacity.Accelerators - w.usedResources.Accelerators,
	}
}

// Fits reports whether the worker has enough free resources for a task with the
// given needs.
func (w *Worker) Fits(need catalog.Resources) bool {
	return !w.Bounded() || w.Free().Fits(need)
}

// FitsWhenIdle reports whether the capacity of the worker suffices for a task
// with the given needs.
func (w *Worker) FitsWhenIdle(need catalog.Resources) bool {
	return !w.Bounded() || w.Capacity.Fits(need)
}

// AddEndpoint assigns an endpoint to the worker.
func (w *Worker) AddEndpoint(e *Endpoint) {
	w.usedResources = addResources(w.usedResources, e.usedResources)
	w.endpoints = append(w.endpoints, e)
	e.Worker = w
}

// Endpoint is the state of an endpoint that placement needs.
type Endpoint struct {
	ID      int // number assigned by the user of the package
	Name    string
	Address string
	Slots   int // slots that this entry may use
	Running int // running tasks that this entry has placed
	Rack    *Rack
	Worker  *Worker
	Tier    Tier

	usedResources catalog.Resources // resources of the running tasks
	pool          *Pool
	indexed       bool // whether the pool's index contains the endpoint
	indexedTier   Tier // tier under which it is indexed
	indexedLoad   int  // number of running tasks under which it is indexed
	position      int  // position among the endpoints of that tier and load
}

// Pool returns the pool that the endpoint belongs to.
func (e *Endpoint) Pool() *Pool { return e.pool }

// Allocate allocates a slot and the needed resources for a task.
func (e *Endpoint) Allocate(need catalog.Resources) { e.change(1, need) }

// Release releases the slot and the resources of a task.
func (e *Endpoint) Release(need catalog.Resources) {
	e.change(-1, catalog.Resources{
		MilliCores:   -need.MilliCores,
		MemoryMiB:    -need.MemoryMiB,
		Accelerators: -need.Accelerators,
	})
}

func (e *Endpoint) change(tasks int, need catalog.Resources) {
	e.Running += tasks
	if e.pool != nil {
		e.pool.running += tasks
	}
	if e.Rack != nil {
		e.Rack.Running += tasks
	}
	e.usedResources = addResources(e.usedResources, need)
	if !e.Worker.Bounded() {
		e.Update()
		return
	}
	e.Worker.usedResources = addResources(e.Worker.usedResources, need)
	for _, other := range e.Worker.endpoints {
		other.Update()
	}
}

func addResources(a, b catalog.Resources) catalog.Resources {
	return catalog.Resources{
		MilliCores:   a.MilliCores + b.MilliCores,
		MemoryMiB:    a.MemoryMiB + b.MemoryMiB,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

// Detach removes the endpoint from its pool, rack and worker before these are
// rebuilt. The endpoint keeps the count of its running tasks.
func (e *Endpoint) Detach() {
	e.pool, e.Rack, e.Worker = nil, nil, nil
	e.indexed = false
}

// Update updates the pool's index after a change of the endpoint.
func (e *Endpoint) Update() {
	if e.pool != nil {
		e.pool.update(e)
	}
}
