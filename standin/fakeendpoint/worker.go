package fakeendpoint

import (
	"sync"

	"lovagespread.example/catalog"
	"lovagespread.example/logservice/endpointapi"
	"lovagespread.example/logservice/platformapi"
)

// Worker hosts endpoints and enforces the declared resources of their tasks. It
// is safe for concurrent use.
type Worker struct {
	Name          string
	Region        string
	FailureDomain string
	Rack          string
	Capacity      catalog.Resources

	mu    sync.Mutex
	inUse catalog.Resources
	tasks int
}

// enforcement is the action of a worker on a task that uses more resources than
// it declared.
type enforcement struct {
	stopReason string  // if not empty, the task is stopped with this detail
	rate       float64 // speed of the task; 1 is full speed
}

// admit accounts for the resources of a task and returns the enforcement for it.
func (w *Worker) admit(uses catalog.Resources, req *endpointapi.TaskRequest) enforcement {
	w.account(uses, 1)
	action := enforcement{rate: 1}
	if req.MemoryMiB > 0 && uses.MemoryMiB > req.MemoryMiB {
		action.stopReason = "stopped by the worker: the task used more memory than it declared"
	}
	if req.MilliCores > 0 && uses.MilliCores > req.MilliCores {
		action.rate = float64(req.MilliCores) / float64(uses.MilliCores)
	}
	return action
}

func (w *Worker) release(uses catalog.Resources) { w.account(uses, -1) }

func (w *Worker) account(uses catalog.Resources, sign int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tasks += sign
	w.inUse.MilliCores += sign * uses.MilliCores
	w.inUse.MemoryMiB += sign * uses.MemoryMiB
	w.inUse.Accelerators += sign * uses.Accelerators
}

// Usage returns the resources that the tasks of the worker use now.
func (w *Worker) Usage() platformapi.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	return platformapi.Usage{
		Worker:       w.Name,
		MilliCores:   w.inUse.MilliCores,
		MemoryMiB:    w.inUse.MemoryMiB,
		Accelerators: w.inUse.Accelerators,
		Tasks:        w.tasks,
	}
}

// actualUse returns the resources that a task actually uses: those of its
// payload, or else those that it declared.
func actualUse(p Payload, req *endpointapi.TaskRequest) catalog.Resources {
	uses := catalog.Resources{
		MilliCores:   req.MilliCores,
		MemoryMiB:    req.MemoryMiB,
		Accelerators: req.Accelerators,
	}
	if p.UsesMilliCores > 0 {
		uses.MilliCores = p.UsesMilliCores
	}
	if p.UsesMemoryMiB > 0 {
		uses.MemoryMiB = p.UsesMemoryMiB
	}
	return uses
}
