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
// another holder, on the given endpoint or, if that is empty, on any.
func (c *Core) addLostRun(t *task, cell string, endpoint EndpointID) {
	t.lostCell, t.lostEndpoint = cell, endpoint
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
	t.searching, t.searchedOn = adopt, ""
	if adopt {
		t.searchedOn = t.lostEndpoint
	}
	c.markBegun(t.job)
	origin, age, call := c.originOf(t.job)
	c.out.Delegations = append(c.out.Delegations, Delegate{Holder: cell.Holder, Cell: cell.Cell, Evidence: t.evidence, For: Submission{Entry: origin, Call: call}, Task: DelegatedTask{
		ID: t.id, Service: t.job.Service, Queue: t.job.Queue, Spec: t.job.Spec, Step: step,
		Run: t.runs, Superseded: t.superseded, Checkpoint: t.checkpoint, CallerTimeout: t.job.expires.Sub(c.now), Origin: origin, OriginAge: age, OriginCall: call, Cell: cell.Cell, Adopt: adopt, SearchedOn: t.searchedOn, Wait: c.cannotServe() && !adopt, Suspect: t.suspect() && !c.sharesElsewhere(t),
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
	case in.Progress != nil && (in.End == EndFailed || in.End == EndEndpointLost):
		c.delegatedRunCounted(t, in)
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

// delegatedRunCounted applies the failure or loss of a delegated task, which the owner of the
// stored job has counted.
func (c *Core) delegatedRunCounted(t *task, in *DelegateReply) {
	t.state = waitingTask
	t.job.failed = true
	if in.End == EndEndpointLost {
		t.lostAt = c.now
		t.doubtEnd()
	}
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
