// Package place chooses the endpoint of a task among those of its service.
//
// A pool keeps the endpoints with a free slot sorted by load, so that a choice
// takes the same time however many there are.
package place

import "lovagespread.example/catalog"

// Tier tells which endpoints are preferred. Those of a higher tier get tasks
// only when no endpoint of a lower one has a free slot.
type Tier uint8

// Tiers.
const (
	Normal Tier = iota
	Degraded
	Suspect
	Excluded // gets no task
	numTiers = int(Excluded)
)

// Rack counts the tasks in one rack.
type Rack struct {
	Running int
	Slots   int
}

// utilization returns the used share of the slots.
func (r *Rack) utilization() float64 {
	if r == nil || r.Slots == 0 {
		return 0
	}
	return float64(r.Running) / float64(r.Slots)
}

// Worker is the host of endpoints, whose resources their tasks share.
type Worker struct {
	Capacity      catalog.Resources // zero: not known, taken for unlimited
	usedResources catalog.Resources
	endpoints     []*Endpoint
}

// Bounded reports whether the worker's resources are known.
func (w *Worker) Bounded() bool { return w != nil && w.Capacity != catalog.Resources{} }

// Free returns what is left of the capacity.
func (w *Worker) Free() catalog.Resources {
	return catalog.Resources{
		MilliCores:   w.Capacity.MilliCores - w.usedResources.MilliCores,
		MemoryMiB:    w.Capacity.MemoryMiB - w.usedResources.MemoryMiB,
		Accelerators: w.Capacity.Accelerators - w.usedResources.Accelerators,
	}
}

// Fits reports whether a task with the given needs finds room now.
func (w *Worker) Fits(need catalog.Resources) bool {
	return !w.Bounded() || w.Free().Fits(need)
}

// FitsWhenIdle reports whether the worker could hold the task if it were idle.
func (w *Worker) FitsWhenIdle(need catalog.Resources) bool {
	return !w.Bounded() || w.Capacity.Fits(need)
}

// AddEndpoint makes the worker the host of an endpoint.
func (w *Worker) AddEndpoint(e *Endpoint) {
	w.usedResources = addResources(w.usedResources, e.usedResources)
	w.endpoints = append(w.endpoints, e)
	e.Worker = w
}

// Endpoint is one executor as far as placement is concerned.
type Endpoint struct {
	ID      int // the owner's number for it
	Name    string
	Address string
	Slots   int // that may be filled from here
	Running int // tasks placed from here
	Rack    *Rack
	Worker  *Worker
	Tier    Tier

	usedResources catalog.Resources // by the running tasks
	pool          *Pool
	indexed       bool
	indexedTier   Tier
	indexedLoad   int // running tasks at the time of listing
	position      int
}

// Pool returns the pool that the endpoint belongs to.
func (e *Endpoint) Pool() *Pool { return e.pool }

// Allocate fills a slot.
func (e *Endpoint) Allocate(need catalog.Resources) { e.change(1, need) }

// Release empties a slot.
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

// Detach takes the endpoint out of its pool, rack and worker, which are about
// to be built anew. Its running tasks stay counted.
func (e *Endpoint) Detach() {
	e.pool, e.Rack, e.Worker = nil, nil, nil
	e.indexed = false
}

// Update lists the endpoint where it belongs after a change.
func (e *Endpoint) Update() {
	if e.pool != nil {
		e.pool.update(e)
	}
}
