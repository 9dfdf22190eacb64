package control

import (
	"slices"

	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
)

// event is what a waiting caller is told: at most one admission, then at most
// one end.
type event struct {
	answer  *dispatch.Answer
	problem *dispatch.Problem
	moved   bool // another entry answers for the job
}

func (e event) admitted() bool { return e.answer == nil && e.problem == nil && !e.moved }

// maxEvents is the number of events that one waiter can get.
const maxEvents = 2

// waiter is one caller that waits for one job.
type waiter struct {
	id       jobid.ID
	admitted bool // of the admission
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

// admit tells those who have not been told yet that the job is open.
func (w waiters) admit(id jobid.ID) {
	for _, caller := range w[id] {
		if !caller.admitted {
			caller.admitted = true
			caller.events <- event{}
		}
	}
}

// finish tells everybody who waits for the job and forgets them.
func (w waiters) finish(id jobid.ID, e event) {
	for _, caller := range w[id] {
		caller.events <- e
	}
	delete(w, id)
}
