package compare

import (
	"time"

	"lovagespread.example/dispatch"
)

// fault is how a fake endpoint misbehaves.
type fault int

const (
	healthy     fault = iota
	straggler         // runs tasks slower by stragglerFactor
	blackHole         // fails every task at once
	unreachable       // answers nothing, refuses no connection
)

const (
	stragglerFactor = 5
	blackHoleRun    = 2 * time.Millisecond
	dialTimeout     = 200 * time.Millisecond
)

// attempt is one task that was sent to an endpoint.
type attempt struct {
	start   dispatch.Start
	sender  *entry
	task    *Task
	stopped bool
	running bool
}

// endpoint is a fake executor: it runs tasks in its slots and queues the rest
// in the order of arrival.
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

// receive takes a task that has arrived.
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

// refuse says that a task was not started for want of a slot.
func (s *sim) refuse(e *endpoint, a *attempt) {
	delete(e.attempts, keyOf(&a.start))
	s.after(oneWay, func() {
		s.results.count(messageRefusal)
		s.step(a.sender, &dispatch.Refused{Task: a.start.Task, Attempt: a.start.Attempt, Reason: dispatch.RefusedFull})
	})
}

// failDial lets a task that was sent to a lost endpoint end in a failed dial.
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

// finish ends a task that ran and starts the next in the queue.
func (s *sim) finish(e *endpoint, a *attempt) {
	if a.stopped || e.fault == unreachable {
		return
	}
	s.releaseSlot(e, a)
	failed := e.fault == blackHole || a.task.Poison
	run := e.runTime(a.task)
	s.after(oneWay, func() { s.answer(e, a, run, failed) })
}

// releaseSlot gives the slot of a task back.
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

// answer brings the outcome of a task to its entry.
func (s *sim) answer(e *endpoint, a *attempt, run time.Duration, failed bool) {
	load := &dispatch.EndpointLoad{Running: e.running + len(e.queue)}
	if failed {
		s.results.count(messageFailure)
		s.step(a.sender, &dispatch.Failed{Task: a.start.Task, Attempt: a.start.Attempt, RunTime: run, Detail: "task failed", Load: load})
		return
	}
	s.results.count(messageAnswer)
	s.step(a.sender, &dispatch.Done{Task: a.start.Task, Attempt: a.start.Attempt, RunTime: run, Load: load, Result: emptyResult})
}

// stop carries out a stop that has arrived.
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
	s.after(oneWay, func() { s.answer(e, a, 0, true) })
}

var emptyResult = []byte("{}")
