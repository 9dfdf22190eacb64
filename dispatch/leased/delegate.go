package leased

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/dispatch/evacuation"
)

// HoldsNoCell reports whether this core holds no cell, so that it cannot serve
// its queue.
func (c *Core) HoldsNoCell() bool { return len(c.cellHeldSince) == 0 }

// returnQueue returns the jobs that have not begun to their submitters, and the
// waiting tasks of other holders' jobs to their delegators, once this core cannot
// serve its queue.
func (c *Core) returnQueue() {
	if !c.cannotServe() || c.waiting.len() == 0 {
		return
	}
	var moved, delegated []*job
	c.waiting.walk(func(j *job) bool {
		switch {
		case j.delegated && c.evacuatedOnly():
			delegated = append(delegated, j)
		case !j.begun && !j.delegated:
			moved = append(moved, j)
		}
		return true
	})
	for _, j := range moved {
		c.finish(j, Moved, "its holder can start no task any more", 0)
	}
	for _, j := range delegated {
		c.waiting.remove(j)
		c.answerDelegatedNow(j, j.tasks[0][0].runs+1, EndNoCapacity)
	}
}

// announcement is an announcement of a holder that was received at a time.
type announcement struct {
	FreeCapacity
	receivedAt time.Time
}

// announceFreeCapacity replaces the announcements for the given cells.
func (c *Core) announceFreeCapacity(list []FreeCapacity) {
	c.receiveLoads(list)
	c.receiveSharedLoads(list)
	for _, f := range list {
		received := announcement{f, c.now.Add(-f.Age)}
		at := slices.IndexFunc(c.announced, func(a announcement) bool { return a.Cell == f.Cell })
		if at < 0 {
			c.announced = append(c.announced, received)
			continue
		}
		c.announced[at] = received
	}
}

// expireAnnouncements discards announcements that are too old to be used.
func (c *Core) expireAnnouncements() {
	c.announced = slices.DeleteFunc(c.announced, func(a announcement) bool { return c.now.Sub(a.receivedAt) > maxCapacityAge })
}

// cellWithMostFree returns the cell with the most announced free capacity, which
// may be 0, of a failure domain that is not evacuated and that has not refused the task, or
// nil if there is no announcement of one.
func (c *Core) cellWithMostFree(t *task) *announcement {
	var best *announcement
	most := -1
	for i := range c.announced {
		cell := &c.announced[i]
		if c.evacuations.Phase(cell.FailureDomain) == evacuation.Evacuated || t.wasRefusedBy(cell.Cell) {
			continue
		}
		if total := lo.Sum(cell.Free); total > most {
			best, most = cell, total
		}
	}
	return best
}

// endpointListTime is how long it takes until a new holder has received the
// announcements of all endpoints of a cell.
const endpointListTime = 700 * time.Millisecond

// maxCapacityAge is the age up to which announced free capacity is used.
const maxCapacityAge = 600 * time.Millisecond

// delegate delegates a task to the holder of another cell that has announced
// enough free capacity. If this core cannot serve its queue, any holder will do. It
// returns false if there is none.
func (c *Core) delegate(t *task) bool {
	if t.job.delegated || c.unheard(t.job) {
		return false
	}
	cell, i := c.bestAnnounced(t)
	if t.suspect() {
		cell, i = c.announcedForSuspect(t)
	}
	if cell == nil && c.cannotServe() {
		if cell = c.cellWithMostFree(t); cell != nil {
			c.delegateTo(t, cell, false)
			return true
		}
	}
	if cell == nil {
		t.refusedBy = nil // the next round
		return false
	}
	cell.Free[i] -= t.step.Demand.MilliCores
	c.delegateTo(t, cell, false)
	return true
}

// addLostRun records that an earlier run of a task may be active in a cell of
// another holder.
func (c *Core) addLostRun(t *task, cell string) {
	t.lostCell = cell
	c.lostRuns = append(c.lostRuns, t)
}

// findLostRuns asks the new holders of cells for earlier runs of waiting tasks.
func (c *Core) findLostRuns() {
	if len(c.lostRuns) == 0 {
		return
	}
	c.lostRuns = slices.DeleteFunc(c.lostRuns, func(t *task) bool {
		if t.state != waitingTask || t.lostCell == "" || c.runs[t.id] != nil {
			return true
		}
		if !c.unseen.possible(t.id, c.now) {
			t.lostCell = ""
			return true
		}
		if c.unheard(t.job) || !c.delegateToLostCell(t) {
			return false
		}
		c.dequeueIfPlaced(t.job)
		return true
	})
}

// delegateToLostCell delegates a task to the new holder of the cell where it
// ran, which searches for that run. It returns false if no holder is known.
func (c *Core) delegateToLostCell(t *task) bool {
	for i := range c.announced {
		if c.announced[i].Cell == t.lostCell {
			t.lostCell = ""
			c.delegateTo(t, &c.announced[i], true)
			return true
		}
	}
	return false
}

// largestAnnounced returns the largest announced free millicores of an endpoint
// of another cell.
func (c *Core) largestAnnounced() int {
	most := 0
	for i := range c.announced {
		for _, free := range c.announced[i].Free {
			most = max(most, free)
		}
	}
	return most
}

// bestAnnounced returns the cell and the index of the announced endpoint with
// the least free capacity that is enough for a task.
func (c *Core) bestAnnounced(t *task) (*announcement, int) {
	milliCores := t.step.Demand.MilliCores
	var best *announcement
	at := -1
	for n := range c.announced {
		cell := &c.announced[n]
		if t.wasRefusedBy(cell.Cell) {
			continue
		}
		for i, free := range cell.Free {
			if free < milliCores {
				continue
			}
			if best == nil || free < best.Free[at] {
				best, at = cell, i
			}
		}
	}
	return best, at
}

func (c *Core) delegateTo(t *task, cell *announcement, adopt bool) {
	t.runs++
	step := *t.step
	step.After = nil // a delegated task does not wait for other steps
	t.state = delegatedTask
	t.delegate = cell.Holder
	t.delegatedAt = c.now
	t.delegatedCell = cell.Cell
	t.searching = adopt
	c.markBegun(t.job)
	origin, age, call := c.originOf(t.job)
	c.out.Delegations = append(c.out.Delegations, Delegate{Holder: cell.Holder, Cell: cell.Cell, Evidence: t.evidence, Task: DelegatedTask{
		ID: t.id, Service: t.job.Service, Queue: t.job.Queue, Spec: t.job.Spec, Step: step,
		Run: t.runs, Checkpoint: t.checkpoint, CallerTimeout: t.job.expires.Sub(c.now), Origin: origin, OriginAge: age, OriginCall: call, Cell: cell.Cell, Adopt: adopt, Wait: c.cannotServe() && !adopt, Suspect: t.suspect() && !c.sharesElsewhere(t),
	}})
}

func (c *Core) delegateReply(in *DelegateReply) {
	j := c.jobs[in.Task.Job]
	if j == nil {
		return
	}
	t := j.task(in.Task)
	if t == nil || t.state != delegatedTask || t.runs != in.Run {
		return
	}
	if in.End == EndNoCapacity {
		c.forgetAnnounced(t.delegate)
		t.noteRefusal()
	}
	t.evidence = EvidenceDelegate
	switch {
	case in.Progress != nil && in.End == EndFailed:
		c.delegatedRunFailed(t, in)
		return
	case in.Progress != nil:
		c.learn(t.id, in.Progress, false)
	case t.learnedAt.After(t.delegatedAt):
		// The owner has told of this end, which taskRunEnded adds.
		if in.End == EndEndpointLost {
			t.losses--
		}
		if in.End == EndFailed {
			t.failures--
		}
	}
	if t.state == delegatedTask {
		c.taskRunEnded(t, in.End, in.Checkpoint)
	}
}

// delegatedRunFailed applies the failure of a delegated task, which the owner of the stored
// job has counted.
func (c *Core) delegatedRunFailed(t *task, in *DelegateReply) {
	t.state = waitingTask
	t.job.failed = true
	if in.Checkpoint != "" {
		t.checkpoint = in.Checkpoint
	}
	c.enqueue(t.job)
	c.learn(t.id, in.Progress, false)
}

// forgetAnnounced discards the free capacity of a holder until its next
// announcement.
func (c *Core) forgetAnnounced(holder uint64) {
	c.announced = slices.DeleteFunc(c.announced, func(a announcement) bool { return a.Holder == holder })
}

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
	if _, done := c.storedDone[t.id]; done && isStoredRun(d.Run) {
		c.answerDelegatedNow(j, d.Run, EndDone) // the delegator did not receive the answer
		return
	}
	if c.runs[t.id] != nil || c.unseen.possible(t.id, c.now) {
		c.answerDelegatedNow(j, d.Run, EndUnknown) // an earlier run may be active here
		return
	}
	e, fits := c.bestEndpoint(t, nil)
	fits = fits && !c.now.Before(c.startsPausedUntil)
	if d.Wait && c.holdsEndpointOf(d.Cell) && c.mayFitIn(t, d.Cell) && (!fits || c.waiting.len() > 0) {
		c.delegated[t.id] = j
		t.runs = d.Run - 1
		c.queueDelegated(j)
		return
	}
	if !fits || c.waiting.len() > 0 || c.unheard(j) {
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
		if r.task == nil && r.state == runRunning {
			c.adopt(t, r.endpoint, r)
			return true
		}
		return false // it is being stopped
	}
	if _, done := c.doneUnclaimed[t.id]; done {
		c.answerDelegatedNow(j, t.runs, EndDone)
		return true
	}
	if c.awaitsCount(t.id) {
		return false
	}
	if c.openTask(t.id) == nil && c.polledSince(j.cell, j.arrived) {
		c.answerDelegatedNow(j, t.runs, EndNotRun)
		return true
	}
	if c.now.Sub(j.arrived) > c.opts.MaxLease+clockSlack {
		c.answerDelegatedNow(j, t.runs, EndUnknown)
		return true
	}
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
		if e.polledAt.Before(since) {
			e.pollWanted = true
			c.markDirty(e)
			all = false
		}
	}
	return known && all
}

func (c *Core) newDelegated(d *DelegatedTask, ticket Ticket) *job {
	j := &job{
		Job:     Job{ID: d.ID.Job, Spec: d.Spec, Service: d.Service, Queue: d.Queue, MaxAttempts: 1, Steps: []Step{d.Step}},
		tickets: []Ticket{ticket}, arrived: c.now, expires: c.now.Add(d.CallerTimeout), delegated: true, suspect: d.Suspect,
		origin: d.Origin, cell: d.Cell, remaining: []int{1},
	}
	j.tasks = [][]task{{{id: d.ID, job: j, step: &j.Steps[0], checkpoint: d.Checkpoint, lostAt: c.now}}}
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
