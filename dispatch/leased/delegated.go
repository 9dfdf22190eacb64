package leased

import (
	"slices"
	"time"
)

// submitDelegated starts a task of another holder's job, queues it if it may
// wait, or answers that there is not enough free capacity.
func (c *Core) submitDelegated(in *SubmitDelegated) {
	d := &in.Task
	if c.isLate(in.SentAt) {
		end := EndNoCapacity
		if d.Adopt {
			end = EndUnknown // nothing was searched for
		}
		c.out.DelegatedAnswers = append(c.out.DelegatedAnswers, DelegatedAnswer{Ticket: in.Ticket, Task: d.ID, Run: d.Run, End: end})
		return
	}
	c.addCaller(in.Ticket, in.Caller, in.CallerHeardAt)
	j := c.newDelegated(d, in.Ticket)
	j.originHeardAt = c.originHeardAt(in)
	t := &j.tasks[0][0]
	if c.overtaken(d) {
		c.answerDelegatedNow(j, d.Run, EndNotRun)
		return
	}
	if d.Adopt {
		c.searched[t.id] = searchedRun{d.Run, c.now}
		t.runs = d.Run
		c.delegated[t.id] = j
		c.adopting = append(c.adopting, j)
		return
	}
	if c.awaitsCount(t.id) { // the delegator lacks a failure that is known here
		c.answerDelegatedNow(j, d.Run, EndNoCapacity)
		return
	}
	if isStoredRun(d.Run) && c.isStoredDone(t.id, d.Superseded) {
		c.answerDelegatedNow(j, d.Run, EndDone) // the delegator did not receive the answer
		return
	}
	if c.runs[t.id] != nil || c.unseen.possible(t.id, c.now) {
		c.answerDelegatedNow(j, d.Run, EndUnknown) // an earlier run may be active here
		return
	}
	e, fits := c.bestEndpoint(t, nil)
	free := fits && !c.now.Before(c.startsPausedUntil) && !c.isAwaited(e)
	if d.Wait && c.holdsEndpointOf(d.Cell) && c.mayFitIn(t, d.Cell) && !free {
		c.delegated[t.id] = j
		t.runs = d.Run - 1
		c.queueDelegated(j)
		return
	}
	if !free || c.unheard(j) {
		c.answerDelegatedNow(j, d.Run, EndNoCapacity)
		return
	}
	c.delegated[t.id] = j
	t.runs = d.Run - 1
	if c.mustCheck(t, e) {
		j.checkUntil = c.now.Add(delegatedCheckTimeout)
		c.queueDelegated(j)
		return
	}
	c.start(t, e)
}

// isAwaited reports whether a task that waits here could run on an endpoint once the
// endpoint is idle: tasks of this holder's queue go before delegated ones. Those that need
// endpoints of another cell must not keep this one idle, or two holders whose queues wait for
// each other's endpoints refuse each other for good.
func (c *Core) isAwaited(e *endpoint) bool {
	awaited := false
	c.waiting.walk(func(j *job) bool {
		awaited = c.awaits(j, e)
		return !awaited
	})
	return awaited
}

// awaits reports whether a task of a job waits that could run on an endpoint once it is idle.
func (c *Core) awaits(j *job, e *endpoint) bool {
	if j.Service != e.Service || j.cell != "" && j.cell != e.Cell {
		return false
	}
	for s := range j.tasks {
		if !j.ready(s) || !j.Steps[s].fits(&e.Endpoint) {
			continue
		}
		for i := range j.tasks[s] {
			t := &j.tasks[s][i]
			if t.state == waitingTask && c.runs[t.id] == nil && !c.unseen.possible(t.id, c.now) {
				return true
			}
		}
	}
	return false
}

// queueDelegated lets a delegated task wait here.
func (c *Core) queueDelegated(j *job) {
	j.begun = true
	j.latestStart = c.now
	c.enqueue(j)
}

// searchedRun is a search for the earlier runs of a delegated task.
type searchedRun struct {
	run int // number of the search
	at  time.Time
}

// overtaken reports whether a later search for the runs of a task has arrived before
// the request to start one. The delegator takes its answer for the end of that run.
func (c *Core) overtaken(d *DelegatedTask) bool {
	s, searched := c.searched[d.ID]
	return searched && d.Run < s.run
}

// resolveAdoptions searches for the earlier runs of delegated tasks.
func (c *Core) resolveAdoptions() {
	if len(c.adopting) == 0 {
		return
	}
	c.adopting = slices.DeleteFunc(c.adopting, c.resolveAdoption)
}

// resolveAdoption returns true once the earlier run of a delegated task is
// adopted, is known to have ended, or can no longer be found. While the job itself is
// here as well, this core may start its task at any time.
func (c *Core) resolveAdoption(j *job) bool {
	t := &j.tasks[0][0]
	if t.state != waitingTask { // cancelled in the meantime
		return true
	}
	if r := c.runs[t.id]; r != nil {
		if r.task == nil && r.state == runRunning && t.mayAdopt(r.number) {
			c.adopt(t, r.endpoint, r)
			return true
		}
		return false // it is being stopped
	}
	if _, done := c.doneUnclaimed[t.id]; done && t.superseded == 0 || c.isStoredDone(t.id, t.superseded) {
		c.answerDelegatedNow(j, t.runs, EndDone)
		return true
	}
	if c.awaitsCount(t.id) {
		return false
	}
	if c.openTask(t.id) == nil && c.hasSearched(j) {
		c.answerDelegatedNow(j, t.runs, EndNotRun)
		return true
	}
	if c.now.Sub(j.arrived) > c.opts.MaxLease+clockSlack {
		c.answerDelegatedNow(j, t.runs, j.endWithoutFinding())
		return true
	}
	return false
}

// endWithoutFinding returns the answer to a search that has found neither a run nor its
// end. A delegator that names the endpoint has had the run itself, and knows how long it
// may be active; this core has adopted nothing.
func (j *job) endWithoutFinding() End {
	if j.searchedOn != "" {
		return EndNoCapacity
	}
	return EndUnknown
}

// hasSearched reports whether no run of the task of a search is active where the search
// is for it. The endpoint itself must have answered a Hold of this core since: entries may
// know different endpoints of a cell, so that the lists of all those that are known here
// say nothing of another one.
func (c *Core) hasSearched(j *job) bool {
	if j.searchedOn == "" {
		return c.polledSince(j.cell, j.arrived)
	}
	e := c.endpoints[j.searchedOn]
	return e != nil && e.held && c.polledAfter(e, j.arrived)
}

// polledAfter reports whether an endpoint has answered a Hold that was sent after the
// given time. It requests one otherwise.
func (c *Core) polledAfter(e *endpoint, since time.Time) bool {
	if !e.polledAt.Before(since) {
		return true
	}
	e.pollWanted = true
	c.markDirty(e)
	return false
}

// holdsEndpointOf reports whether any endpoint of a cell is held and not evacuated.
func (c *Core) holdsEndpointOf(cell string) bool {
	return slices.ContainsFunc(c.endpointList, func(e *endpoint) bool { return e.Cell == cell && e.held && !e.dropped && !e.evacuated })
}

// polledSince reports whether all endpoints of a cell have answered a Hold that
// was sent after the given time, so that all their runs are known. It requests a
// Hold for those that have not. A cell counts only once it has been held for
// endpointListTime, because some of its endpoints may be announced late. An endpoint
// that is no longer announced may still run tasks.
func (c *Core) polledSince(cell string, since time.Time) bool {
	heldSince, holds := c.cellHeldSince[cell]
	if !holds || c.now.Sub(heldSince) < endpointListTime {
		return false
	}
	if _, unpolled := c.unpolledCells[cell]; unpolled {
		return false
	}
	known, all := false, true
	for _, e := range c.endpointList {
		if e.Cell != cell {
			continue
		}
		known = true
		if !e.held {
			all = false
			continue
		}
		if !c.polledAfter(e, since) {
			all = false
		}
	}
	return known && all
}

func (c *Core) newDelegated(d *DelegatedTask, ticket Ticket) *job {
	j := &job{
		Job:     Job{ID: d.ID.Job, Spec: d.Spec, Service: d.Service, Queue: d.Queue, MaxAttempts: 1, Steps: []Step{d.Step}},
		tickets: []Ticket{ticket}, arrived: c.now, expires: c.now.Add(d.CallerTimeout), delegated: true, suspect: d.Suspect,
		origin: d.Origin, cell: d.Cell, searchedOn: d.SearchedOn, remaining: []int{1},
	}
	j.tasks = [][]task{{{id: d.ID, job: j, step: &j.Steps[0], checkpoint: d.Checkpoint, superseded: d.Superseded, lostAt: c.now}}}
	c.tickets[ticket] = j
	return j
}

// answerDelegated answers all tickets of a delegated task and removes it.
func (c *Core) answerDelegated(j *job, run int, end End, checkpoint string) {
	t := &j.tasks[0][0]
	t.state = doneTask
	c.forgetDelegated(j)
	for _, ticket := range j.tickets {
		c.dropTicket(ticket)
		c.out.DelegatedAnswers = append(c.out.DelegatedAnswers, DelegatedAnswer{
			Ticket: ticket, Task: t.id, Run: run, End: end, Checkpoint: checkpoint, Progress: c.countedProgress(t.id),
		})
	}
	j.tickets = nil
}

// forgetDelegated removes a delegated task, unless another request for the same task is
// here.
func (c *Core) forgetDelegated(j *job) {
	if id := j.tasks[0][0].id; c.delegated[id] == j {
		delete(c.delegated, id)
	}
}

// answerDelegatedNow answers a delegated task without a checkpoint.
func (c *Core) answerDelegatedNow(j *job, run int, end End) { c.answerDelegated(j, run, end, "") }
