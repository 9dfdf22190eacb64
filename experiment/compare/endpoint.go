package compare

import (
	"time"

	"lovagespread.example/dispatch"
)

// fault is the fault of a simulated endpoint.
type fault int

const (
	healthy     fault = iota
	straggler         // runs tasks slower by stragglerFactor
	blackHole         // fails every task immediately
	unreachable       // sends no replies; dials to it time out
)

const (
	stragglerFactor = 5
	blackHoleRun    = 2 * time.Millisecond
	dialTimeout     = 200 * time.Millisecond
)

// attempt is one attempt of a task, sent to an endpoint.
type attempt struct {
	start   dispatch.Start
	sender  *entry
	task    *Task
	stopped bool
	running bool
}

// endpoint is a simulated executor. It runs tasks in its slots and queues the
// rest in the order of arrival.
type endpoint struct {
	spec     dispatch.Endpoint
	fault    fault
	running  int
	queue    []*attempt
	attempts map[attemptKey]*attempt
}

type attemptKey struct {
	task    dispatch.TaskRef
	attempt int
}

func keyOf(s *dispatch.Start) attemptKey { return attemptKey{task: s.Task, attempt: s.Attempt} }

// receive handles a task that has arrived at an endpoint.
func (s *sim) receive(e *endpoint, a *attempt) {
	if e.fault == unreachable {
		s.failDial(e, a)
		return
	}
	e.attempts[keyOf(&a.start)] = a
	if e.running < e.spec.Slots {
		s.run(e, a)
		return
	}
	if s.lateBinding {
		s.refuse(e, a)
		return
	}
	e.queue = append(e.queue, a)
}

// refuse reports that a task was not started because no slot was free.
func (s *sim) refuse(e *endpoint, a *attempt) {
	delete(e.attempts, keyOf(&a.start))
	s.after(oneWay, func() {
		s.results.count(messageRefusal)
		s.step(a.sender, &dispatch.Refused{Task: a.start.Task, Attempt: a.start.Attempt, Reason: dispatch.RefusedFull})
	})
}

// failDial reports that the dial to an unreachable endpoint timed out.
func (s *sim) failDial(e *endpoint, a *attempt) {
	s.after(dialTimeout, func() {
		s.results.count(messageLost)
		s.step(a.sender, &dispatch.Lost{Task: a.start.Task, Attempt: a.start.Attempt, NotSent: true, Detail: "dial timed out"})
	})
}

func (s *sim) run(e *endpoint, a *attempt) {
	e.running++
	a.running = true
	s.results.started(a)
	s.after(e.runTime(a.task), func() { s.finish(e, a) })
}

func (e *endpoint) runTime(t *Task) time.Duration {
	switch {
	case e.fault == blackHole:
		return blackHoleRun
	case e.fault == straggler:
		return t.RunTime * stragglerFactor
	default:
		return t.RunTime
	}
}

// finish ends a task that has run and starts the next one in the queue.
func (s *sim) finish(e *endpoint, a *attempt) {
	if a.stopped || e.fault == unreachable {
		return
	}
	s.releaseSlot(e, a)
	failed := e.fault == blackHole || a.task.Poison
	run := e.runTime(a.task)
	s.after(oneWay, func() { s.reply(e, a, run, failed) })
}

// releaseSlot releases the slot of a task and starts queued tasks.
func (s *sim) releaseSlot(e *endpoint, a *attempt) {
	delete(e.attempts, keyOf(&a.start))
	e.running--
	for len(e.queue) > 0 && e.running < e.spec.Slots {
		next := e.queue[0]
		e.queue = e.queue[1:]
		if !next.stopped {
			s.run(e, next)
		}
	}
}

// reply reports the outcome of a task to its entry.
func (s *sim) reply(e *endpoint, a *attempt, run time.Duration, failed bool) {
	load := &dispatch.EndpointLoad{Running: e.running + len(e.queue)}
	if failed {
		s.results.count(messageFailure)
		s.step(a.sender, &dispatch.Failed{Task: a.start.Task, Attempt: a.start.Attempt, RunTime: run, Detail: "task failed", Load: load})
		return
	}
	s.results.count(messageAnswer)
	s.step(a.sender, &dispatch.Done{Task: a.start.Task, Attempt: a.start.Attempt, RunTime: run, Load: load, Result: emptyResult})
}

// stop handles a stop that has arrived at an endpoint.
func (s *sim) stop(e *endpoint, key attemptKey) {
	a := e.attempts[key]
	if a == nil || a.stopped || e.fault == unreachable {
		return
	}
	a.stopped = true
	if a.running {
		s.releaseSlot(e, a)
	}
	delete(e.attempts, key)
	s.after(oneWay, func() { s.reply(e, a, 0, true) })
}

var emptyResult = []byte("{}")
