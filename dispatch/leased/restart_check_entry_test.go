package leased_test

import (
	"fmt"
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
)

// resubmitPause is how long an entry waits before it submits a job again.
const resubmitPause = 15 * time.Millisecond

// restartCall is a job that the caller's entry submits.
type restartCall struct {
	world    *restartWorld
	job      leased.Job
	ticket   leased.Ticket // of the newest submission; 0: none is awaited
	holder   int
	lost     []int // holders that may have begun the job
	since    time.Duration
	answered bool
}

// restartTicket is a submission or a delegated task that a holder may answer.
type restartTicket struct {
	holder     int
	call       *restartCall
	delegation *restartDelegation
	arrivesAt  time.Duration // when the holder gets the request
}

func (w *restartWorld) newTicket(t *restartTicket) leased.Ticket {
	w.lastTicket++
	w.tickets[w.lastTicket] = t
	return w.lastTicket
}

// cancel delivers the cancellation of a ticket to its holder, after the request that it
// cancels.
func (w *restartWorld) cancel(ticket leased.Ticket, delay time.Duration) {
	t := w.tickets[ticket]
	if t == nil {
		return
	}
	w.afterwards(max(delay, t.arrivesAt-w.now), func() {
		delete(w.tickets, ticket)
		w.step(t.holder, &leased.Cancel{Ticket: ticket})
	})
}

// submit submits the job to a holder. If the connection breaks before the request
// arrives, it is submitted again.
func (c *restartCall) submit(h int) {
	w := c.world
	holder := w.holders[h]
	if c.since == 0 {
		c.since = w.now
	}
	if !w.responds(holder) || holder.core.HoldsNoCell() {
		if next := w.nextHolder(h, 0); next != h {
			w.after(resubmitPause, func() { c.submit(next) })
		}
		return
	}
	job := c.job
	job.CallerTimeout -= w.now - c.since
	job.OnlyHolder = len(c.lost) > 0 && !slices.ContainsFunc(c.lost, func(other int) bool { return other != h })
	c.holder = h
	c.ticket = w.newTicket(&restartTicket{holder: h, call: c})
	ticket := c.ticket
	w.tracef("entry: submits %s to h%d, resubmitted %t", job.ID, h, job.Resubmitted)
	deliver := func(delay time.Duration) {
		w.tickets[ticket].arrivesAt = w.now + delay
		w.after(delay, func() {
			w.step(h, &leased.Submit{Ticket: ticket, Job: job, Caller: entryID, CallerCall: callOf(ticket)})
		})
	}
	deviation := 0
	if c == w.calls[0] {
		deviation = w.choose(choicePoint{kind: atSubmit, holder: h}, len(submitDeviations))
	}
	switch deviation {
	case submitLost, submitLostElsewhere:
		delete(w.tickets, ticket)
	case submitLate, submitLateElsewhere:
		deliver(shortDelay)
		w.silence(entryID, h, longDelay)
		w.cancel(ticket, longDelay)
	default:
		deliver(networkDelay)
		return
	}
	c.lose(deviation == submitLostElsewhere || deviation == submitLateElsewhere)
}

// lose lets the entry submit the job again, to the same or to another holder.
func (c *restartCall) lose(elsewhere bool) {
	to := c.holder
	if elsewhere {
		to = c.world.nextHolder(c.holder, 0)
	}
	c.resubmitTo(to)
}

func (c *restartCall) resubmitTo(h int) {
	c.giveUp()
	c.job.Resubmitted = true
	c.lost = append(c.lost, c.holder)
	c.world.after(resubmitPause, func() { c.submit(h) })
}

// giveUp ends the call to the holder without its answer. From now on the heartbeats of
// the caller's entry name it.
func (c *restartCall) giveUp() {
	if c.ticket != 0 {
		c.world.givenUpAt[callOf(c.ticket)] = c.world.now
	}
	c.ticket = 0
}

// callOf returns the call that submits a job with a ticket.
func callOf(ticket leased.Ticket) leased.CallID { return leased.CallID{Number: uint64(ticket)} }

// nextHolder returns the live holder with a cell that follows a holder, after
// skipping some. It returns h if there is none.
func (w *restartWorld) nextHolder(h, skip int) int {
	n := len(w.holders)
	for i := 1; i < n; i++ {
		to := (h + i) % n
		if !w.responds(w.holders[to]) || w.holders[to].core.HoldsNoCell() {
			continue
		}
		if skip == 0 {
			return to
		}
		skip--
	}
	return h
}

// answer delivers the answer of a job to its entry.
func (w *restartWorld) answer(h int, a leased.Answer) {
	t := w.tickets[a.Ticket]
	delete(w.tickets, a.Ticket)
	w.tracef("h%d: answers %s: %v %s", h, a.Job, a.Verdict, a.Reason)
	if t == nil || t.call.ticket != a.Ticket {
		return
	}
	c := t.call
	if c == w.calls[0] {
		if d := w.choose(choicePoint{kind: atAnswer, holder: h}, len(answerDeviations)); d > 0 {
			c.lose(d == answerLostElsewhere)
			return
		}
	}
	w.after(networkDelay, func() { c.receive(&a) })
}

func (c *restartCall) receive(a *leased.Answer) {
	w := c.world
	if c.ticket != a.Ticket || c.answered {
		return
	}
	if a.Verdict == leased.Moved {
		c.ticket = 0
		next := w.nextHolder(c.holder, 0)
		w.after(resubmitPause, func() { c.submit(next) })
		return
	}
	c.answered = true
	if c == w.calls[0] {
		w.answeredAt, w.verdict = w.now, a.Verdict
	}
}

// delegationKey names a delegation: two holders may delegate the same task.
type delegationKey struct {
	from int
	task leased.TaskID
}

// restartDelegation is a task that one holder runs for another.
type restartDelegation struct {
	key    delegationKey
	to     int
	run    int
	ticket leased.Ticket
	cause  leased.CallID // by which the entry has submitted the job to the delegator
}

// delegate sends a task to another holder.
func (w *restartWorld) delegate(from int, request leased.Delegate) {
	to := int(request.Holder) - 1
	task := request.Task
	d := &restartDelegation{key: delegationKey{from, task.ID}, to: to, run: task.Run, cause: task.OriginCall}
	w.delegations[d.key] = d
	w.tracef("h%d: delegates %s run %d to h%d, cell %s, adopt %t", from, taskName(task.ID), task.Run, to, task.Cell, task.Adopt)
	if w.holders[to].crashed {
		w.after(networkDelay, func() { w.endDelegation(d, leased.EndNoCapacity) })
		return
	}
	deviation := 0
	if task.ID.Job == w.calls[0].job.ID {
		deviation = w.choose(choicePoint{kind: atDelegate, holder: from, task: task.ID, run: task.Run}, len(delegateDeviations))
	}
	deliver := func(delay time.Duration) {
		d.ticket = w.newTicket(&restartTicket{holder: to, delegation: d, arrivesAt: w.now + delay})
		w.after(delay, func() {
			if w.knowsGivenUp(to, d.cause) {
				w.withdrawCaused(d)
				return
			}
			w.step(to, &leased.SubmitDelegated{Ticket: d.ticket, Task: task, Caller: holderID(from)})
		})
	}
	switch deviation {
	case delegateNotSent:
		w.after(networkDelay, func() { w.endDelegation(d, leased.EndNoCapacity) })
	case delegateLost:
		w.after(networkDelay, func() { w.endDelegation(d, leased.EndUnknown) })
	case delegateLate:
		deliver(shortDelay)
		w.silence(holderID(from), to, longDelay)
		w.cancel(d.ticket, longDelay)
		w.after(networkDelay, func() { w.endDelegation(d, leased.EndUnknown) })
	default:
		deliver(networkDelay)
	}
}

// endDelegation gives the end of a delegation to the delegator, unless it has been
// cancelled or has ended before.
func (w *restartWorld) endDelegation(d *restartDelegation, end leased.End) {
	if w.delegations[d.key] != d {
		return
	}
	delete(w.delegations, d.key)
	w.step(d.key.from, &leased.DelegateReply{Task: d.key.task, Run: d.run, End: end})
}

// cancelDelegation delivers the cancellation of a delegated task to the delegate.
func (w *restartWorld) cancelDelegation(from int, task leased.TaskID) {
	d := w.delegations[delegationKey{from, task}]
	if d == nil {
		return
	}
	delete(w.delegations, d.key)
	w.tracef("h%d: cancels %s at h%d", from, taskName(task), d.to)
	delay := networkDelay
	switch w.choose(choicePoint{kind: atDelegateCancel, holder: from, task: task, run: d.run}, len(cancelDeviations)) {
	case cancelShort:
		delay = shortDelay
	case cancelLong:
		delay = longDelay
		w.silence(holderID(from), d.to, delay)
	}
	w.cancel(d.ticket, delay)
}

func (w *restartWorld) answerDelegated(a leased.DelegatedAnswer) {
	t := w.tickets[a.Ticket]
	delete(w.tickets, a.Ticket)
	if t == nil || t.delegation == nil {
		return
	}
	d, end := t.delegation, a.End
	w.tracef("h%d: answers delegated %s run %d: %v", d.to, taskName(a.Task), d.run, end)
	if w.delegations[d.key] != d {
		return
	}
	p := choicePoint{kind: atDelegateAnswer, holder: d.to, task: a.Task, run: d.run}
	if a.Task.Job == w.calls[0].job.ID && w.choose(p, len(delegateAnswerDeviations)) > 0 {
		end = leased.EndUnknown
	}
	w.after(networkDelay, func() { w.endDelegation(d, end) })
}

func (d *restartDelegation) String() string {
	return fmt.Sprintf("%s from h%d to h%d", taskName(d.key.task), d.key.from, d.to)
}
