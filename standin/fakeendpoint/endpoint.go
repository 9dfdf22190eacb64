package fakeendpoint

import (
	"sync"
	"time"

	"lovagespread.example/logservice/endpointapi"
	"lovagespread.example/logservice/platformapi"
)

// Options describe one endpoint.
type Options struct {
	Name    string
	Service string
	Slots   int     // maximum of concurrent tasks
	Worker  *Worker // host; required
	Starts  *Starts // record of starts; required, may be shared
}

// Endpoint is one executor of a service. It is safe for concurrent use.
type Endpoint struct {
	opts     Options
	messages messageCounters

	mu      sync.Mutex
	tasks   map[*task]struct{}
	leaving bool
	faults  Faults
	resumed chan struct{} // closed when a pause ends; nil without a pause
}

// New returns an endpoint without a listener. Serve its Handler, or add the
// endpoint to a Fleet.
func New(opts Options) *Endpoint {
	return &Endpoint{opts: opts, tasks: make(map[*task]struct{})}
}

// Name returns the name of the endpoint.
func (e *Endpoint) Name() string { return e.opts.Name }

// Service returns the service that the endpoint executes.
func (e *Endpoint) Service() string { return e.opts.Service }

// Worker returns the host of the endpoint.
func (e *Endpoint) Worker() *Worker { return e.opts.Worker }

// Messages returns the numbers of messages received so far.
func (e *Endpoint) Messages() Messages { return e.messages.snapshot() }

// SetLeaving sets whether the endpoint is leaving: it refuses new tasks, but
// running tasks continue.
func (e *Endpoint) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

// SetFaults replaces the fault switches.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Paused != e.faults.Paused {
		e.setPaused(f.Paused)
	}
	e.faults = f
}

func (e *Endpoint) setPaused(on bool) {
	if on {
		e.resumed = make(chan struct{})
	} else {
		close(e.resumed)
		e.resumed = nil
	}
	for t := range e.tasks {
		t.pause(on)
	}
}

// Faults returns the fault switches.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// AbortTasks ends all running tasks without a response, as a crash does.
func (e *Endpoint) AbortTasks() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for t := range e.tasks {
		t.end(outcome{aborted: true})
	}
}

// VM returns the endpoint as a VM of the platform's list.
func (e *Endpoint) VM(address string) platformapi.VM {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.opts.Worker
	vm := platformapi.VM{
		Name:          e.opts.Name,
		Role:          platformapi.RoleEndpoint,
		Address:       address,
		State:         platformapi.VMLive,
		Region:        w.Region,
		FailureDomain: w.FailureDomain,
		Rack:          w.Rack,
		Service:       e.opts.Service,
		Slots:         e.opts.Slots,
		Worker:        w.Name,
		MilliCores:    w.Capacity.MilliCores,
		MemoryMiB:     w.Capacity.MemoryMiB,
		Accelerators:  w.Capacity.Accelerators,
	}
	if e.leaving {
		vm.State = platformapi.VMLeaving
	}
	return vm
}

// waitWhilePaused blocks while the endpoint is paused.
func (e *Endpoint) waitWhilePaused() {
	for {
		e.mu.Lock()
		resumed := e.resumed
		e.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// start starts a task or refuses it. Exactly one of the results is not nil.
func (e *Endpoint) start(req *endpointapi.TaskRequest, p Payload) (*task, *endpointapi.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if code := e.refusal(req); code != "" {
		return nil, &endpointapi.Refusal{TaskID: req.TaskID, NotStarted: true, Code: code, Load: e.load()}
	}
	e.opts.Starts.record(e.opts.Service, TaskKey{Job: req.Job, Index: req.Index}, p)
	action := e.opts.Worker.admit(actualUse(p, req), req)
	runTime := time.Duration(float64(p.RunTime()) * e.faults.straggle())
	t := newTask(req, runTime, action.rate, time.Now())
	if detail := e.failure(p, action); detail != "" {
		t.ended = &outcome{detail: detail}
	}
	e.tasks[t] = struct{}{}
	return t, nil
}

func (e *Endpoint) refusal(req *endpointapi.TaskRequest) endpointapi.RefusalCode {
	switch {
	case e.leaving:
		return endpointapi.RefusedLeaving
	case req.Service != e.opts.Service:
		return endpointapi.RefusedUnknownService
	case req.LeaseMS <= 0:
		return endpointapi.RefusedLeaseExpired
	case len(e.tasks) >= e.opts.Slots:
		return endpointapi.RefusedFull
	}
	return ""
}

func (e *Endpoint) failure(p Payload, action enforcement) string {
	switch {
	case e.faults.FailFast:
		return "the endpoint fails every task"
	case p.Fail:
		return "the payload of the task requests a failure"
	}
	return action.stopReason
}

func (e *Endpoint) finish(t *task, p Payload, req *endpointapi.TaskRequest) endpointapi.Load {
	e.opts.Worker.release(actualUse(p, req))
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.tasks, t)
	return e.load()
}

// Load returns the load that the endpoint reports in its responses.
func (e *Endpoint) Load() endpointapi.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load()
}

func (e *Endpoint) load() endpointapi.Load {
	return endpointapi.Load{Running: len(e.tasks), Slots: e.opts.Slots, Leaving: e.leaving}
}

// find returns the running attempts that match. Several can have the same task
// ID, because an endpoint does not deduplicate.
func (e *Endpoint) find(match func(*task) bool) []*task {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []*task
	for t := range e.tasks {
		if match(t) {
			found = append(found, t)
		}
	}
	return found
}
