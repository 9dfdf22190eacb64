package leased

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// homeless reports whether this core holds no cell, so that its queue cannot
// be served here.
func (c *Core) homeless() bool { return len(c.cellSince) == 0 }

// giveUpQueue sends jobs that have not begun back to their submitters once no
// cell is held any more.
func (c *Core) giveUpQueue() {
	if !c.homeless() || c.waiting.len() == 0 {
		return
	}
	var moved []*job
	c.waiting.walk(func(j *job) bool {
		if !j.begun && !j.guest {
			moved = append(moved, j)
		}
		return true
	})
	for _, j := range moved {
		c.finish(j, Moved, "its holder holds nothing any more", 0)
	}
}

// anyRoom returns the cell with most announced room, though it may have none.
func (c *Core) anyRoom() *FreeCapacity {
	var best *FreeCapacity
	most := -1
	for i := range c.rooms {
		room := &c.rooms[i]
		if total := lo.Sum(room.Free); room.Age <= freshRoom && total > most {
			best, most = room, total
		}
	}
	return best
}

// readTime is how long a new holder takes to learn of all endpoints of a cell.
const readTime = 700 * time.Millisecond

// freshRoom is the age up to which an announced room counts.
const freshRoom = 600 * time.Millisecond

// lend asks the holder of another cell to run a task, if one has announced
// room for it.
func (c *Core) lend(t *task) bool {
	if t.job.guest {
		return false
	}
	room, i := c.roomFor(t.step.Demand.MilliCores)
	if room == nil && c.homeless() {
		if room = c.anyRoom(); room != nil {
			c.lendTo(t, room, false)
			return true
		}
	}
	if room == nil {
		return false
	}
	room.Free[i] -= t.step.Demand.MilliCores
	c.lendTo(t, room, false)
	return true
}

// seek notes that an earlier run of a task may go on in a cell.
func (c *Core) seek(t *task, cell string) {
	t.lostIn = cell
	c.seeking = append(c.seeking, t)
}

// seekAll asks for the earlier runs of tasks where their cells have a holder.
func (c *Core) seekAll() {
	if len(c.seeking) == 0 {
		return
	}
	c.seeking = slices.DeleteFunc(c.seeking, func(t *task) bool {
		if t.state != waitingTask || t.lostIn == "" || c.runs[t.id] != nil {
			return true
		}
		if !c.now.Before(t.notBefore) {
			t.lostIn = ""
			return true
		}
		if !c.lendBack(t) {
			return false
		}
		c.settleWaiting(t.job)
		return true
	})
}

// lendBack asks the new holder of a cell for a task that ran there.
func (c *Core) lendBack(t *task) bool {
	for i := range c.rooms {
		if c.rooms[i].Cell == t.lostIn && c.rooms[i].Age <= freshRoom {
			t.lostIn = ""
			c.lendTo(t, &c.rooms[i], true)
			return true
		}
	}
	return false
}

// largestRoom returns the most that another cell has announced for a task.
func (c *Core) largestRoom() int {
	most := 0
	for i := range c.rooms {
		for _, free := range c.rooms[i].Free {
			most = max(most, free)
		}
	}
	return most
}

// roomFor returns the tightest announced room that holds a task.
func (c *Core) roomFor(milliCores int) (*FreeCapacity, int) {
	var best *FreeCapacity
	at := -1
	for r := range c.rooms {
		room := &c.rooms[r]
		if room.Age > freshRoom {
			continue
		}
		for i, free := range room.Free {
			if free < milliCores {
				continue
			}
			if best == nil || free < best.Free[at] {
				best, at = room, i
			}
		}
	}
	return best, at
}

func (c *Core) lendTo(t *task, room *FreeCapacity, adopt bool) {
	t.runs++
	step := *t.step
	step.After = nil // a guest is ready
	t.state = lentTask
	t.holder = room.Holder
	t.lentAt = c.now
	t.lentTo = room.Cell
	t.sought = adopt
	c.begin(t.job)
	c.out.Delegations = append(c.out.Delegations, Delegate{Holder: room.Holder, Cell: room.Cell, Task: DelegatedTask{
		ID: t.id, Service: t.job.Service, Queue: t.job.Queue, Spec: t.job.Spec, Step: step,
		Run: t.runs, Checkpoint: t.saved, CallerTimeout: t.job.expires.Sub(c.now), Cell: room.Cell, Adopt: adopt, Wait: c.homeless() && !adopt,
	}})
}

func (c *Core) lendReply(in *DelegateReply) {
	j := c.jobs[in.Task.Job]
	if j == nil {
		return
	}
	t := j.task(in.Task)
	if t == nil || t.state != lentTask || t.runs != in.Run {
		return
	}
	if in.Result == EndNoCapacity {
		c.forgetRoom(t.holder)
	}
	c.taskEnded(t, in.Result, in.Checkpoint)
}

// forgetRoom drops what a holder has announced until it announces again.
func (c *Core) forgetRoom(holder uint64) {
	c.rooms = slices.DeleteFunc(c.rooms, func(r FreeCapacity) bool { return r.Holder == holder })
}

// submitGuest starts a task of another core's job, or answers that there is
// no room.
func (c *Core) submitGuest(in *SubmitDelegated) {
	g := &in.Task
	j := c.newGuest(g, in.Ticket)
	t := &j.tasks[0][0]
	if g.Adopt {
		t.runs = g.Run
		c.guests[t.id] = j
		c.adopting = append(c.adopting, j)
		return
	}
	if _, done := c.keptDone[t.id]; done && isKept(g.Run) {
		c.endGuestNow(j, g.Run, EndDone) // its lender has lost the answer
		return
	}
	e, fits := c.bestFor(t, nil)
	fits = fits && !c.now.Before(c.quietTill)
	if g.Wait && c.holdsAny(g.Cell) && c.runs[t.id] == nil && (!fits || c.waiting.len() > 0) {
		c.guests[t.id] = j
		t.runs = g.Run - 1
		j.begun = true
		j.latestStart = c.now
		c.wait(j)
		return
	}
	if !fits || c.waiting.len() > 0 || c.runs[t.id] != nil {
		c.endGuestNow(j, g.Run, EndNoCapacity)
		return
	}
	c.guests[t.id] = j
	t.runs = g.Run - 1
	c.start(t, e)
}

// resolveAdoptions looks for the earlier runs of guests.
func (c *Core) resolveAdoptions() {
	if len(c.adopting) == 0 {
		return
	}
	c.adopting = slices.DeleteFunc(c.adopting, c.resolveAdoption)
}

// resolveAdoption returns true once a guest's earlier run is taken over, or is
// known to have ended.
func (c *Core) resolveAdoption(j *job) bool {
	t := &j.tasks[0][0]
	if t.state != waitingTask { // withdrawn meanwhile
		return true
	}
	if r := c.runs[t.id]; r != nil {
		if r.task == nil && r.state == running {
			c.adopt(t, r.at, r)
			return true
		}
		return false // it is being stopped
	}
	if _, done := c.doneAlone[t.id]; done {
		c.endGuestNow(j, t.runs, EndDone)
		return true
	}
	if c.lookedSince(j.cell, j.arrived) {
		c.endGuestNow(j, t.runs, EndNotRun)
		return true
	}
	if c.now.Sub(j.arrived) > c.opts.MaxLease+clockSlack {
		c.endGuestNow(j, t.runs, EndUnknown)
		return true
	}
	return false
}

// holdsAny reports whether some endpoint of a cell is held.
func (c *Core) holdsAny(cell string) bool {
	return slices.ContainsFunc(c.order, func(e *endpoint) bool { return e.Cell == cell && e.held && !e.dropped })
}

// lookedSince reports whether all endpoints of a cell have answered a look
// that was sent after a time: then it is known what runs there. It asks those
// that have not. A new holder may have read of some endpoints only lately.
func (c *Core) lookedSince(cell string, since time.Time) bool {
	held, holds := c.cellSince[cell]
	if !holds || c.now.Sub(held) < readTime {
		return false
	}
	known, all := false, true
	for _, e := range c.order {
		if e.Cell != cell || e.dropped {
			continue
		}
		known = true
		if !e.held {
			all = false
			continue
		}
		if e.looked.Before(since) {
			e.wantLook = true
			c.touch(e)
			all = false
		}
	}
	return known && all
}

func (c *Core) newGuest(g *DelegatedTask, ticket Ticket) *job {
	j := &job{
		Job:     Job{ID: g.ID.Job, Spec: g.Spec, Service: g.Service, Queue: g.Queue, MaxAttempts: 1, Steps: []Step{g.Step}},
		tickets: []Ticket{ticket}, arrived: c.now, expires: c.now.Add(g.CallerTimeout), guest: true,
		cell: g.Cell, left: []int{1},
	}
	j.tasks = [][]task{{{id: g.ID, job: j, step: &j.Steps[0], saved: g.Checkpoint}}}
	c.tickets[ticket] = j
	return j
}

func (c *Core) endGuest(j *job, run int, end End, saved string) {
	t := &j.tasks[0][0]
	t.state = doneTask
	delete(c.guests, t.id)
	for _, ticket := range j.tickets {
		delete(c.tickets, ticket)
		c.out.DelegatedAnswers = append(c.out.DelegatedAnswers, DelegatedAnswer{Ticket: ticket, Task: t.id, Run: run, Result: end, Checkpoint: saved})
	}
	j.tickets = nil
}

func (c *Core) endGuestNow(j *job, run int, end End) { c.endGuest(j, run, end, "") }
