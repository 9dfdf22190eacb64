// Package leasedtest is a leased endpoint as a state machine, for tests and
// stand-ins: room, leases on its own clock, run numbers, fencing tokens, a list
// of ends, and switches for faults. It does no I/O and reads no clock.
package leasedtest

import (
	"cmp"
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
)

// Run is a run at an endpoint.
type Run struct {
	Task      leased.TaskID
	Number    int
	Demand    leased.Demand
	StartedAt time.Duration
	EndsAt    time.Duration // when its work is done; Never while it stands still
	Fails     bool
	stopsAt   time.Duration // when an order to stop takes effect; 0: none
}

// Never is later than any time of a test.
const Never = time.Duration(1<<63 - 1)

// Work tells what a task would do at an endpoint.
type Work struct {
	Demand leased.Demand
	Time   time.Duration // on an endpoint of speed 1
	Fails  bool
}

// Endpoint is the state of one endpoint. Times are on its own clock.
type Endpoint struct {
	ID       leased.EndpointID
	Capacity leased.Demand
	Speed    float64 // 1: as expected; 0.5: half as fast
	MaxLease time.Duration
	StopTime time.Duration
	Work     func(leased.TaskID) Work

	// Faults.
	Hangs     bool // new runs stand still
	Fails     bool // new runs fail
	Unhealthy bool // refuses new runs

	incarnationStart int64
	token            int64
	lease            time.Duration
	runs             map[leased.TaskID]*Run
	highestRun       map[leased.TaskID]int // newest run that was stopped or has ended
	ends             []leased.EndedRun
	lastNumber       int64
	startCount       int
}

// New returns an endpoint that has just started.
func New(id leased.EndpointID, capacity leased.Demand, work func(leased.TaskID) Work) *Endpoint {
	const (
		maxLease = time.Second
		stopTime = 20 * time.Millisecond
	)
	e := &Endpoint{ID: id, Capacity: capacity, Speed: 1, MaxLease: maxLease, StopTime: stopTime, Work: work}
	e.Restart(1)
	return e
}

// Restart begins a new incarnation that knows nothing of before.
func (e *Endpoint) Restart(incarnationStart int64) {
	e.incarnationStart = incarnationStart
	e.token = 0
	e.lease = 0
	e.runs = make(map[leased.TaskID]*Run)
	e.highestRun = make(map[leased.TaskID]int)
	e.ends = nil
	e.lastNumber = 0
}

// StartCount returns how many runs have begun.
func (e *Endpoint) StartCount() int { return e.startCount }

// Unacknowledged lists the ends that were not taken note of.
func (e *Endpoint) Unacknowledged() []leased.EndedRun { return slices.Clone(e.ends) }

// Running lists the runs that are at work.
func (e *Endpoint) Running() []Run {
	var list []Run
	for _, r := range e.runs {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Run) int { return compareTasks(a.Task, b.Task) })
	return list
}

func compareTasks(a, b leased.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// NextEvent returns when something happens at the endpoint by itself.
func (e *Endpoint) NextEvent() time.Duration {
	next := Never
	for _, r := range e.runs {
		next = min(next, r.EndsAt, e.lease)
		if r.stopsAt > 0 {
			next = min(next, r.stopsAt)
		}
	}
	return next
}

// Advance lets time pass: runs end, are stopped, or lapse with their lease. It
// returns true if a run has ended.
func (e *Endpoint) Advance(now time.Duration) bool {
	before := e.lastNumber
	for _, r := range e.Running() {
		switch {
		case r.stopsAt > 0 && r.stopsAt <= now && r.stopsAt <= r.EndsAt:
			e.end(r, leased.EndStopped)
		case r.EndsAt <= now && r.EndsAt <= e.lease:
			e.end(r, endOf(r))
		case e.lease <= now:
			e.end(r, leased.EndLapsed)
		}
	}
	return e.lastNumber > before
}

func endOf(r Run) leased.End {
	if r.Fails {
		return leased.EndFailed
	}
	return leased.EndDone
}

func (e *Endpoint) end(r Run, how leased.End) {
	delete(e.runs, r.Task)
	e.highestRun[r.Task] = max(e.highestRun[r.Task], r.Number)
	e.lastNumber++
	e.ends = append(e.ends, leased.EndedRun{Number: e.lastNumber, Task: r.Task, Run: r.Number, End: how})
}

func (e *Endpoint) extend(now, until time.Duration) {
	e.lease = max(e.lease, min(until, now+e.MaxLease))
}

func (e *Endpoint) used() leased.Demand {
	var used leased.Demand
	for _, r := range e.runs {
		used.MilliCores += r.Demand.MilliCores
		used.MemoryMiB += r.Demand.MemoryMiB
		used.Accelerators += r.Demand.Accelerators
	}
	return used
}

// Start takes an order to run a task.
func (e *Endpoint) Start(now time.Duration, o *leased.Start) leased.StartReply {
	reply := leased.StartReply{Endpoint: e.ID, Task: o.Task, Run: o.Run, Clock: now}
	reply.Result = e.start(now, o)
	return reply
}

func (e *Endpoint) start(now time.Duration, o *leased.Start) leased.StartResult {
	if o.Token < e.token {
		return leased.StartFenced
	}
	e.token = o.Token
	if e.Unhealthy {
		return leased.StartUnhealthy
	}
	if o.Until <= now {
		return leased.StartLate
	}
	e.extend(now, o.Until)
	if r := e.runs[o.Task]; r != nil && r.Number == o.Run {
		return leased.StartAccepted
	}
	if o.Run <= e.highestRun[o.Task] || e.runs[o.Task] != nil {
		return leased.StartOldRun
	}
	work := e.Work(o.Task)
	used := e.used()
	if used.MilliCores+work.Demand.MilliCores > e.Capacity.MilliCores || used.MemoryMiB+work.Demand.MemoryMiB > e.Capacity.MemoryMiB {
		return leased.StartNoCapacity
	}
	e.startCount++
	e.runs[o.Task] = &Run{Task: o.Task, Number: o.Run, Demand: work.Demand, StartedAt: now, EndsAt: e.endTime(now, work), Fails: work.Fails || e.Fails}
	return leased.StartAccepted
}

func (e *Endpoint) endTime(now time.Duration, work Work) time.Duration {
	if e.Hangs {
		return Never
	}
	return now + time.Duration(float64(work.Time)/e.Speed)
}

// Stop takes an order to end a run.
func (e *Endpoint) Stop(now time.Duration, o *leased.Stop) leased.StopReply {
	reply := leased.StopReply{Endpoint: e.ID, Task: o.Task, Run: o.Run}
	if o.Token < e.token {
		return reply
	}
	e.token = o.Token
	reply.Answered = true
	if r := e.runs[o.Task]; r != nil && r.Number <= o.Run && r.stopsAt == 0 {
		r.stopsAt = now + e.StopTime
	}
	e.highestRun[o.Task] = max(e.highestRun[o.Task], o.Run)
	return reply
}

// Hold takes an order to extend leases and list runs. It answers at once;
// Ready tells whether an order that waits would be answered.
func (e *Endpoint) Hold(now time.Duration, o *leased.Hold) leased.HoldReply {
	reply := leased.HoldReply{Endpoint: e.ID, Sequence: o.Sequence, Clock: now, IncarnationStart: e.incarnationStart}
	if o.Token < e.token {
		reply.Result = leased.HoldFenced
		return reply
	}
	e.token = o.Token
	if o.Until > 0 {
		e.extend(now, o.Until)
	}
	e.ends = slices.DeleteFunc(e.ends, func(end leased.EndedRun) bool { return end.Number <= o.LastSeen })
	return e.List(now, o.Sequence)
}

// List returns what runs and what has ended.
func (e *Endpoint) List(now time.Duration, sequence uint64) leased.HoldReply {
	reply := leased.HoldReply{Endpoint: e.ID, Sequence: sequence, Clock: now, IncarnationStart: e.incarnationStart, Ended: slices.Clone(e.ends)}
	for _, r := range e.Running() {
		reply.Running = append(reply.Running, leased.ActiveRun{Task: r.Task, Run: r.Number, Percent: r.percent(now)})
	}
	return reply
}

// HasUnacknowledged reports whether there are ends that were not taken note of.
func (e *Endpoint) HasUnacknowledged() bool { return len(e.ends) > 0 }

func (r *Run) percent(now time.Duration) int {
	if r.EndsAt == Never || now <= r.StartedAt {
		return 0
	}
	const whole = 100
	return min(whole, int(whole*(now-r.StartedAt)/(r.EndsAt-r.StartedAt)))
}
