package leased

import (
	"math"
	"time"

	"lovagespread.example/dispatch/outlier"
)

// Parameters of judging runs by their progress.
const (
	// A run is moved if its rest here takes this many times what a whole run
	// elsewhere takes.
	moveFactor = 1.5
	moveMargin = 60 * time.Millisecond // for the stop and a new start
	// A run without any progress is moved after this many times its expected
	// run time.
	hangFactor = 2.5
	hangMargin = 100 * time.Millisecond
	// estimateError is the factor by which an estimate may be too low.
	estimateError = 2
	maxMoves      = 3 // of one task
	// startTries is how often a Start without an answer is sent.
	startTries = 3
	unwellTime = 200 * time.Millisecond // without new work, after a refusal
	roomTime   = 30 * time.Millisecond  // the same, after a refusal for want of room
	learnGain  = 0.03
)

// ended takes an end from an endpoint's list.
func (c *Core) ended(e *endpoint, end *Ended) {
	if end.Number <= e.lastSeen {
		return
	}
	e.lastSeen = end.Number
	c.reportEnd(e, end)
	r := e.runs[end.Task]
	if r == nil || r.number != end.Run {
		if end.End == EndDone {
			c.doneAlone[end.Task] = c.now
			c.learnEnd(end)
		}
		return
	}
	c.endRun(e, r, end.End, end.Saved)
	c.learnEnd(end) // the run may have been withdrawn, and its job have come again
}

// listed compares what an endpoint says it runs with what is known.
func (c *Core) listed(e *endpoint, list []Running, more bool) {
	for i := range list {
		row := &list[i]
		r := e.runs[row.Task]
		if r != nil {
			r.listedBy = e.sequence
		}
		if r == nil || r.number < row.Run {
			if r == nil {
				c.found(e, row)
			}
			continue
		}
		if r.number != row.Run {
			continue
		}
		r.percent = row.Percent
		r.listed = c.now
		if r.state == starting {
			c.confirm(r)
		}
	}
	if more {
		return
	}
	for _, r := range e.runs {
		if r.listedBy != e.sequence && (before(r.confirmed, e.holdSent) || before(r.stopped, e.holdSent)) {
			c.out.Notes = append(c.out.Notes, e.note("run_vanished", "it is listed neither as running nor as ended"))
			c.endRun(e, r, EndLapsed, "")
		}
	}
}

// before reports whether something has happened, and did so before a time.
func before(happened, at time.Time) bool { return !happened.IsZero() && happened.Before(at) }

// found notes a run that this core has not started: of an earlier holder, or
// ordered long ago and carried out late.
func (c *Core) found(e *endpoint, row *Running) {
	r := &run{id: row.Task, number: row.Run, at: e, listedBy: e.sequence, state: running, sent: c.now, began: c.now, listed: c.now, confirmed: c.now, seen: c.now, percent: row.Percent, unknown: true}
	e.add(r)
	if c.runs[row.Task] != nil {
		c.stop(e, r, "the task runs elsewhere")
		return
	}
	c.runs[row.Task] = r
	if t := c.claimant(row.Task); t != nil {
		c.adopt(t, e, r)
	}
}

// claimant returns the waiting task that a found run belongs to.
func (c *Core) claimant(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	t := j.task(id)
	if t == nil || t.state != waitingTask {
		return nil
	}
	return t
}

// adopt gives a found run to the task that it belongs to.
func (c *Core) adopt(t *task, e *endpoint, r *run) {
	e.remove(r)
	r.task = t
	r.unknown = false
	r.demand = t.step.Demand
	r.expects = c.expect(t.job.Queue, t.step.Estimate)
	e.add(r)
	t.state = placedTask
	t.run = r
	t.runs = max(t.runs, r.number)
	c.begin(t.job)
	c.settleWaiting(t.job)
}

func (c *Core) confirm(r *run) {
	if !r.confirmed.IsZero() {
		return
	}
	r.confirmed = c.now
	if r.state == starting {
		r.state = running
	}
}

// forgetRun removes a run from all books.
func (c *Core) forgetRun(e *endpoint, r *run) {
	e.remove(r)
	if c.runs[r.id] == r {
		delete(c.runs, r.id)
	}
	if len(e.runs) == 0 {
		e.idleFrom = c.now
	}
}

// unresolved is a start that may be carried out late.
type unresolved struct {
	task TaskID
	run  int
	at   time.Time
}

// lateTime is how much later an order without an answer may be carried out.
const lateTime = 13 * time.Second

// stopUnresolved stops starts that were given up, before they are carried out.
// An endpoint refuses a run that was stopped before it came.
func (c *Core) stopUnresolved(e *endpoint) {
	for _, u := range e.unresolved {
		if c.now.Sub(u.at) > lateTime || c.runs[u.task] != nil && c.runs[u.task].at == e {
			continue
		}
		c.out.Stops = append(c.out.Stops, Stop{
			Endpoint: e.ID, Address: e.Address, Task: u.task, Run: u.run, Token: e.token, Reason: "its start was given up without an answer",
		})
	}
	e.unresolved = nil
}

// endRun removes a run and tells its task.
func (c *Core) endRun(e *endpoint, r *run, end End, saved string) {
	if r.confirmed.IsZero() && r.tries > 0 && end == EndLapsed {
		e.unresolved = append(e.unresolved, unresolved{r.id, r.number, r.sent})
	}
	c.forgetRun(e, r)
	t := r.task
	if t == nil {
		return
	}
	c.out.Ends = append(c.out.Ends, RunEnd{
		Endpoint: e.ID, Task: r.id, Run: r.number, End: end, Took: c.now.Sub(r.began), Expected: r.expects, Failures: t.failures,
	})
	c.learn(e, r, end)
	if t.job.guest {
		c.endGuest(t.job, r.number, end, saved)
		return
	}
	c.taskEnded(t, end, saved)
}

// learn takes what a run tells about its endpoint and its queue.
func (c *Core) learn(e *endpoint, r *run, end End) {
	switch end {
	case EndDone:
		took := c.now.Sub(r.began)
		r.task.took = took
		e.learnSpeed(took, r.expects)
		e.record.Succeeded(c.now, c.peersOf(e), took, r.expects)
		c.learnQueue(r.task.job.Queue, took, r.task.step.Estimate, e)
		c.blame(r.task)
	case EndFailed:
		r.task.failedOn = append(r.task.failedOn, e.ID)
	}
}

// blame counts the failed runs of a task that is done now against their
// endpoints. Of a task that is never done it is not known whose fault it was.
func (c *Core) blame(t *task) {
	for _, id := range t.failedOn {
		e := c.endpoints[id]
		if e == nil {
			continue
		}
		before := e.record.Health()
		e.record.Failed(c.now, c.peersOf(e))
		c.noteEjection(e, before, "it fails more runs than its peers")
	}
	t.failedOn = nil
}

func (c *Core) noteEjection(e *endpoint, before outlier.Health, reason string) {
	if e.record.Health() == outlier.Ejected && before != outlier.Ejected {
		c.out.Notes = append(c.out.Notes, e.note("endpoint_ejected", reason))
	}
}

// learnQueue learns how far estimates are off.
func (c *Core) learnQueue(queue string, took, estimate time.Duration, e *endpoint) {
	if took <= 0 || estimate <= 0 {
		return
	}
	a := c.learned[queue]
	if a == nil {
		a = &average{}
		c.learned[queue] = a
	}
	a.n++
	ratio := math.Log(float64(took) / float64(estimate) / e.slowness())
	ratio = min(max(ratio, -2), 2)
	a.value += (ratio - a.value) * max(learnGain, 1/float64(a.n))
}

// expect corrects an estimate by what was seen.
func (c *Core) expect(queue string, estimate time.Duration) time.Duration {
	a := c.learned[queue]
	if a == nil {
		return estimate
	}
	return time.Duration(float64(estimate) * math.Exp(a.value))
}

// judge moves a run that makes too little progress, if it can go elsewhere.
func (c *Core) judge(e *endpoint, r *run) {
	t := r.task
	if t == nil || r.state != running || t.job.guest || t.moves >= maxMoves {
		return
	}
	took := c.now.Sub(r.began)
	expects := c.fairTime(e, r)
	var slow bool
	if r.percent <= 0 {
		slow = took > time.Duration(hangFactor*float64(expects))+hangMargin
	} else if took > expects+expectedMargin {
		rest := time.Duration(float64(took) * float64(100-r.percent) / float64(r.percent))
		slow = rest > time.Duration(moveFactor*float64(expects))+moveMargin
	}
	if !slow {
		return
	}
	if !r.blamed { // once a run, however often it is looked at
		r.blamed = true
		e.learnSpeed(projected(r, took), expects)
		before := e.record.Health()
		e.record.Failed(c.now, c.peersOf(e))
		c.noteEjection(e, before, "runs make no progress")
	}
	if _, fits := c.bestFor(t, e); !fits {
		return
	}
	t.moves++
	t.avoid = e.ID
	c.stop(e, r, "too little progress")
}

// fairTime returns how long a run may take before its endpoint is blamed:
// estimates are often far off, so what the other tasks of its step show goes
// before them.
func (c *Core) fairTime(e *endpoint, r *run) time.Duration {
	if shown, ok := siblingTime(r.task); ok {
		return max(r.expects, shown)
	}
	if e.slowness() >= slowEndpoint {
		return r.expects
	}
	return estimateError * r.expects
}

// siblingTime returns the shortest run time that other tasks of a step have
// shown or foretell.
func siblingTime(t *task) (time.Duration, bool) {
	const enough = 20 // percent of progress
	shortest := time.Duration(math.MaxInt64)
	tasks := t.job.tasks[t.id.Step]
	for i := range tasks {
		other := &tasks[i]
		switch {
		case other == t:
		case other.state == doneTask && other.took > 0:
			shortest = min(shortest, other.took)
		case other.state == placedTask && other.run.percent >= enough:
			shortest = min(shortest, projected(other.run, other.run.listed.Sub(other.run.began)))
		}
	}
	return shortest, shortest != math.MaxInt64
}

// projected returns the run time that a run's progress foretells.
func projected(r *run, took time.Duration) time.Duration {
	const whole, most = 100, 10
	if r.percent <= whole/most {
		return took * most
	}
	return took * whole / time.Duration(r.percent)
}

func (c *Core) startReply(in *StartReply) {
	e := c.endpoints[in.Endpoint]
	if e == nil {
		return
	}
	e.learnClock(c.now, in.Clock)
	c.touch(e)
	r := e.runs[in.Task]
	if r == nil || r.number != in.Run || r.state == running {
		return
	}
	if r.tries > 1 && in.Result.refused() {
		// An earlier copy of the order may be executed yet.
		r.mute = true
		c.look(e)
		return
	}
	switch in.Result {
	case StartAccepted:
		c.confirm(r)
	case StartOldRun, StartLate:
		if in.Result == StartOldRun && r.task != nil && r.task.job.Kept {
			r.task.runs += resubmittedRuns // an earlier holder has gone further
		}
		c.endRun(e, r, EndNotRun, "")
	case StartNoRoom:
		e.pausedTo = c.now.Add(roomTime)
		c.endRun(e, r, EndNoRoom, "")
	case StartFenced:
		c.endRun(e, r, EndNotRun, "")
		c.fenced(e)
	case StartUnhealthy:
		before := e.record.Health()
		e.record.Failed(c.now, c.peersOf(e))
		c.noteEjection(e, before, "it refuses work")
		e.pausedTo = c.now.Add(unwellTime)
		c.endRun(e, r, EndNotRun, "")
	case StartOtherLife:
		c.endRun(e, r, EndNotRun, "")
		c.reborn(e, 0)
		c.pause(e)
	case StartInvalid:
		c.endRun(e, r, EndFailed, "")
	case StartNotSent:
		c.endRun(e, r, EndNotRun, "")
		c.pause(e)
	case StartUnanswered:
		c.startAgain(e, r)
	}
}

// refused reports whether a result says that this copy of the order was not
// executed, while nothing is said of earlier copies.
func (r StartResult) refused() bool {
	switch r {
	case StartOldRun, StartLate, StartNoRoom, StartUnhealthy, StartNotSent, StartInvalid:
		return true
	}
	return false
}

// look asks an endpoint what runs there as soon as its Hold in flight is
// answered.
func (c *Core) look(e *endpoint) { e.nextHold = time.Time{} }

// startAgain repeats a Start that got no answer: with the same run number it
// is the same run.
func (c *Core) startAgain(e *endpoint, r *run) {
	if r.state == stopping {
		return
	}
	if r.tries >= startTries {
		r.mute = true
		c.pause(e)
		return
	}
	c.sendStart(e, r)
}

// sendStart sends the Start of a run.
func (c *Core) sendStart(e *endpoint, r *run) {
	r.tries++
	r.sent = c.now
	r.began = c.now
	e.leaseSent = c.now
	j := r.task.job
	c.out.Starts = append(c.out.Starts, Start{
		Endpoint: e.ID, Address: e.Address, Task: r.id, Run: r.number, Spec: j.Spec, Saved: r.task.saved,
		Until: e.until(c.now, c.opts.MaxLease), Token: e.token,
		Waited: c.now.Sub(j.arrived), Free: e.free().plus(r.demand), Expects: r.expects,
	})
}
