// Package leasedtest provides a leased endpoint as a state machine, for tests
// and stand-ins. It has capacity, leases on its own clock, run numbers, fencing
// tokens, a list of ended runs, and switches for faults. It does no I/O and
// reads no clock.
package leasedtest

import (
	"cmp"
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
)

// Run is an active run on an endpoint.
type Run struct {
	Task      leased.TaskID
	Number    int
	Demand    leased.Demand
	StartedAt time.Duration
	EndsAt    time.Duration // when its work is done; Never while it hangs
	Fails     bool
	stopsAt   time.Duration // when a request to stop takes effect; 0: none
}

// Never is later than any time of a test.
const Never = time.Duration(1<<63 - 1)

// Work describes what a task does on an endpoint.
type Work struct {
	Demand leased.Demand
	Time   time.Duration // on an endpoint of speed 1
	Fails  bool
	// Crashes marks a task that crashes the endpoint. The caller of Start performs
	// the crash, because the endpoint has no timer.
	Crashes bool
}

// Endpoint is the state of one endpoint. Times are on its own clock.
type Endpoint struct {
	ID       leased.EndpointID
	Capacity leased.Demand
	Speed    float64 // 1: as fast as expected; 0.5: half as fast
	MaxLease time.Duration
	StopTime time.Duration
	Work     func(leased.TaskID) Work

	// Faults.
	Hangs     bool // new runs hang
	Fails     bool // new runs fail
	Unhealthy bool // refuses new runs
	Unguarded bool // starts runs beyond its capacity
	// OnEnded is called when a run ends, and OnAcknowledged when its end is acknowledged;
	// lapsed tells that the lease has expired between the two. Nil: not called.
	OnEnded        func(leased.EndedRun)
	OnAcknowledged func(end leased.EndedRun, lapsed bool)
	// PageSize bounds the ended runs of a list; 0: a list has all of them.
	PageSize int

	incarnationStart int64
	token            int64
	leaseEnd         time.Duration
	runs             map[leased.TaskID]*Run
	highestRun       map[leased.TaskID]int // number of the newest run that was stopped or has ended
	ended            []leased.EndedRun
	endedAt          map[int64]time.Duration // by number of the ended run
	lapsedAt         time.Duration           // when the lease last expired, as far as was noted
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

// Restart begins a new incarnation without any state of the earlier one.
func (e *Endpoint) Restart(incarnationStart int64) {
	e.incarnationStart = incarnationStart
	e.token = 0
	e.leaseEnd = 0
	e.runs = make(map[leased.TaskID]*Run)
	e.highestRun = make(map[leased.TaskID]int)
	e.ended = nil
	e.endedAt = make(map[int64]time.Duration)
	e.lapsedAt = 0
	e.lastNumber = 0
}

// StartCount returns how many runs have been started.
func (e *Endpoint) StartCount() int { return e.startCount }

// Unacknowledged lists the ended runs that have not been acknowledged.
func (e *Endpoint) Unacknowledged() []leased.EndedRun { return slices.Clone(e.ended) }

// Running lists the active runs.
func (e *Endpoint) Running() []Run {
	var list []Run
	for _, r := range e.runs {
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Run) int { return compareTasks(a.Task, b.Task) })
	return list
}

// RunOf returns the number of the active run of a task, or false if it has none.
func (e *Endpoint) RunOf(task leased.TaskID) (number int, active bool) {
	if r := e.runs[task]; r != nil {
		return r.Number, true
	}
	return 0, false
}

func compareTasks(a, b leased.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// NextEvent returns when the state of the endpoint changes next without a
// request: a run ends, is stopped, or its lease expires.
func (e *Endpoint) NextEvent() time.Duration {
	next := Never
	for _, r := range e.runs {
		next = min(next, r.EndsAt, e.leaseEnd)
		if r.stopsAt > 0 {
			next = min(next, r.stopsAt)
		}
	}
	return next
}

// Advance advances the time to now: runs end, are stopped, or lapse because
// their lease has expired. It returns true if a run has ended.
func (e *Endpoint) Advance(now time.Duration) bool {
	before := e.lastNumber
	for _, r := range e.Running() {
		switch {
		case r.stopsAt > 0 && r.stopsAt <= now && r.stopsAt <= r.EndsAt:
			e.end(r, leased.EndStopped, now)
		case r.EndsAt <= now && r.EndsAt <= e.leaseEnd:
			e.end(r, endOf(r), now)
		case e.leaseEnd <= now:
			e.end(r, leased.EndLapsed, now)
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

func (e *Endpoint) end(r Run, end leased.End, now time.Duration) {
	delete(e.runs, r.Task)
	e.endedAt[e.lastNumber+1] = now
	e.highestRun[r.Task] = max(e.highestRun[r.Task], r.Number)
	e.AddEnded(r.Task, r.Number, end)
}

// AddEnded adds a run to the list of ended runs.
func (e *Endpoint) AddEnded(task leased.TaskID, run int, end leased.End) {
	e.lastNumber++
	ended := leased.EndedRun{Number: e.lastNumber, Task: task, Run: run, End: end}
	e.ended = append(e.ended, ended)
	if e.OnEnded != nil {
		e.OnEnded(ended)
	}
}

// acknowledge forgets the ends up to a number.
func (e *Endpoint) acknowledge(lastSeen int64) {
	e.ended = slices.DeleteFunc(e.ended, func(end leased.EndedRun) bool {
		acknowledged := end.Number <= lastSeen
		if acknowledged && e.OnAcknowledged != nil {
			e.OnAcknowledged(end, e.endedAt[end.Number] <= e.lapsedAt)
		}
		return acknowledged
	})
}

// noteLapse records that the lease has expired, if it has.
func (e *Endpoint) noteLapse(now time.Duration) {
	if e.leaseEnd <= now {
		e.lapsedAt = max(e.lapsedAt, e.leaseEnd)
	}
}

func (e *Endpoint) extend(now, until time.Duration) {
	e.noteLapse(now)
	e.leaseEnd = max(e.leaseEnd, min(until, now+e.MaxLease))
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

// Start handles a request to run a task.
func (e *Endpoint) Start(now time.Duration, request *leased.Start) leased.StartReply {
	reply := leased.StartReply{Endpoint: e.ID, Task: request.Task, Run: request.Run, Clock: now}
	reply.Result = e.start(now, request)
	return reply
}

func (e *Endpoint) start(now time.Duration, request *leased.Start) leased.StartResult {
	if request.Token < e.token {
		return leased.StartFenced
	}
	e.token = request.Token
	if e.Unhealthy {
		return leased.StartUnhealthy
	}
	if request.Until <= now {
		return leased.StartLate
	}
	e.extend(now, request.Until)
	if r := e.runs[request.Task]; r != nil && r.Number == request.Run {
		return leased.StartAccepted
	}
	if request.Run <= e.highestRun[request.Task] || e.runs[request.Task] != nil {
		return leased.StartOldRun
	}
	work := e.Work(request.Task)
	used := e.used()
	fits := used.MilliCores+work.Demand.MilliCores <= e.Capacity.MilliCores && used.MemoryMiB+work.Demand.MemoryMiB <= e.Capacity.MemoryMiB
	if !fits && !e.Unguarded {
		return leased.StartNoCapacity
	}
	e.startCount++
	e.runs[request.Task] = &Run{Task: request.Task, Number: request.Run, Demand: work.Demand, StartedAt: now, EndsAt: e.endTime(now, work), Fails: work.Fails || e.Fails}
	return leased.StartAccepted
}

func (e *Endpoint) endTime(now time.Duration, work Work) time.Duration {
	if e.Hangs {
		return Never
	}
	return now + time.Duration(float64(work.Time)/e.Speed)
}

// Stop handles a request to end a run.
func (e *Endpoint) Stop(now time.Duration, request *leased.Stop) leased.StopReply {
	reply := leased.StopReply{Endpoint: e.ID, Task: request.Task, Run: request.Run}
	if request.Token < e.token {
		return reply
	}
	e.token = request.Token
	reply.Answered = true
	if r := e.runs[request.Task]; r != nil && r.Number <= request.Run && r.stopsAt == 0 {
		r.stopsAt = now + e.StopTime
	}
	e.highestRun[request.Task] = max(e.highestRun[request.Task], request.Run)
	return reply
}

// Hold handles a request to extend leases and list runs. It answers at once;
// HasUnacknowledged reports whether a waiting request would be answered.
func (e *Endpoint) Hold(now time.Duration, request *leased.Hold) leased.HoldReply {
	reply := leased.HoldReply{Endpoint: e.ID, Sequence: request.Sequence, Clock: now, IncarnationStart: e.incarnationStart}
	if request.Token < e.token {
		reply.Result = leased.HoldFenced
		return reply
	}
	e.token = request.Token
	if request.Until > 0 {
		e.extend(now, request.Until)
	}
	e.noteLapse(now)
	e.acknowledge(request.LastSeen)
	return e.List(now, request.Sequence)
}

// List returns the active runs and the ended runs.
func (e *Endpoint) List(now time.Duration, sequence uint64) leased.HoldReply {
	reply := leased.HoldReply{Endpoint: e.ID, Sequence: sequence, Clock: now, IncarnationStart: e.incarnationStart, Ended: slices.Clone(e.ended)}
	if e.PageSize > 0 && len(reply.Ended) > e.PageSize {
		reply.Ended, reply.More = reply.Ended[:e.PageSize], true
	}
	for _, r := range e.Running() {
		reply.Running = append(reply.Running, leased.ActiveRun{Task: r.Task, Run: r.Number, Percent: r.percent(now)})
	}
	return reply
}

// HasUnacknowledged reports whether any ended run has not been acknowledged.
func (e *Endpoint) HasUnacknowledged() bool { return len(e.ended) > 0 }

func (r *Run) percent(now time.Duration) int {
	if r.EndsAt == Never || now <= r.StartedAt {
		return 0
	}
	const fullPercent = 100
	return min(fullPercent, int(fullPercent*(now-r.StartedAt)/(r.EndsAt-r.StartedAt)))
}
