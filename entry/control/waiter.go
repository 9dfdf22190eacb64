package control

import (
	"slices"

	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
)

// event notifies a waiting caller. A caller gets at most one admission and then
// at most one end of the job.
type event struct {
	answer  *dispatch.Answer
	problem *dispatch.Problem
	moved   bool // another entry answers for the job now
}

func (e event) admitted() bool { return e.answer == nil && e.problem == nil && !e.moved }

// maxEvents is the maximum number of events that one waiter gets.
const maxEvents = 2

// waiter is one caller that waits for one job.
type waiter struct {
	id       jobid.ID
	admitted bool // the caller was notified of the admission
	events   chan event
}

func newWaiter(id jobid.ID) *waiter {
	return &waiter{id: id, events: make(chan event, maxEvents)}
}

// waiters holds the waiting callers by job. The loop owns it.
type waiters map[jobid.ID][]*waiter

func (w waiters) add(caller *waiter) { w[caller.id] = append(w[caller.id], caller) }

func (w waiters) remove(caller *waiter) {
	list := slices.DeleteFunc(w[caller.id], func(other *waiter) bool { return other == caller })
	if len(list) == 0 {
		delete(w, caller.id)
		return
	}
	w[caller.id] = list
}

// admit notifies the waiting callers of the admission of a job, each one once.
func (w waiters) admit(id jobid.ID) {
	for _, caller := range w[id] {
		if !caller.admitted {
			caller.admitted = true
			caller.events <- event{}
		}
	}
}

// finish notifies all callers that wait for a job of its end and removes them.
func (w waiters) finish(id jobid.ID, e event) {
	for _, caller := range w[id] {
		caller.events <- e
	}
	delete(w, id)
}
