package leased

import (
	"slices"
	"time"
)

// Times for learning why an endpoint was lost.
const (
	// crashWatch is how long an endpoint that was lost with its runs is watched
	// for another incarnation, which shows that it has crashed.
	crashWatch = 15 * time.Second
	// suspension is how long a task under which endpoints were lost waits to learn
	// whether they have crashed. Most endpoints are back earlier.
	suspension = 4 * time.Second
)

// lostRun is a run whose endpoint did not answer for longer than the lease. The
// endpoint has crashed, or it was cut off and has ended the run itself.
type lostRun struct {
	task  TaskID
	run   int
	queue string // empty: no job claimed the run
	alone bool   // no other run was on the endpoint
}

// reportLoss reports the loss of a run of a stored job to the job's owner, which
// may know of other endpoints that were lost with the task.
func (c *Core) reportLoss(e *endpoint, lost lostRun, cause LossCause) {
	if !isStoredRun(lost.run) {
		return
	}
	c.out.Reports = append(c.out.Reports, Report{
		Endpoint: e.ID, IncarnationStart: e.Born, Task: lost.task, Run: lost.run, End: EndEndpointLost, Loss: Loss{Cause: cause, Alone: lost.alone},
	})
}

// suspendedTask is a task that is not started before a time.
type suspendedTask struct {
	task  *task
	until time.Time
}

// loseRuns ends the runs of an endpoint that has not answered for longer than
// their lease.
func (c *Core) loseRuns(e *endpoint) {
	c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("leases_lapsed", "unresponsive for longer than the lease"))
	e.lostAt = c.now
	alone := len(e.runs) == 1
	for _, r := range e.runs {
		c.loseWithEndpoint(e, r, alone)
	}
}

// loseWithEndpoint ends a run that was lost with its endpoint.
func (c *Core) loseWithEndpoint(e *endpoint, r *run, alone bool) {
	lost := lostRun{task: r.id, run: r.number, alone: alone}
	if r.task != nil {
		lost.queue = r.task.job.Queue
	}
	restarted := r.restarted
	c.endRun(e, r, EndEndpointLost, "")
	if restarted {
		c.crashed(e, lost)
		return
	}
	e.lostRuns = append(e.lostRuns, lost)
	c.reportLoss(e, lost, LossUnexplained)
}

// endpointCrashed attributes the crash of an endpoint to the runs that were lost
// with it. An endpoint that has announced its end ends its runs without a crash.
func (c *Core) endpointCrashed(e *endpoint) {
	for _, lost := range e.lostRuns {
		c.crashed(e, lost)
	}
	e.lostRuns = nil
	for _, r := range e.runs {
		r.restarted = !e.Leaving
	}
}

// crashed records that an endpoint has crashed under a run, and gives the task up
// if it is the cause.
func (c *Core) crashed(e *endpoint, lost lostRun) {
	if e.Leaving {
		c.clearLoss(e, lost)
		return
	}
	c.out.Crashes = append(c.out.Crashes, Crash{Endpoint: e.ID, Task: lost.task, Run: lost.run, Queue: lost.queue, Alone: lost.alone})
	c.reportLoss(e, lost, LossByCrash)
	t := c.openTask(lost.task)
	if t == nil {
		return
	}
	t.losses = max(0, t.losses-1)
	t.crashes.Add(lost.alone)
	if t.crashes.Guilty() {
		c.finish(t.job, Failed, "one of its tasks crashes the endpoints that run it", 0)
		return
	}
	c.resumeIfCleared(t)
}

// endpointReturned clears the runs that were lost with an endpoint that was cut
// off and has not crashed.
func (c *Core) endpointReturned(e *endpoint) {
	for _, lost := range e.lostRuns {
		c.clearLoss(e, lost)
	}
	e.lostRuns = nil
}

func (c *Core) clearLoss(e *endpoint, lost lostRun) {
	c.reportLoss(e, lost, LossByCut)
	if t := c.openTask(lost.task); t != nil {
		t.losses = max(0, t.losses-1)
		c.resumeIfCleared(t)
	}
}

// openTask returns a task of an open job that is not done, or nil.
func (c *Core) openTask(id TaskID) *task {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	t := j.task(id)
	if t == nil || t.state == doneTask {
		return nil
	}
	return t
}

// endpointLost decides when a task whose endpoint was lost is started again. If
// it may have crashed several endpoints, it waits until that is known, unless its
// caller would not wait so long: more often the endpoints are cut off or hang.
func (c *Core) endpointLost(t *task) {
	t.losses++
	t.lostAt = c.now
	j := t.job
	j.failed = true // other jobs go first
	hasTime := j.Stored || c.now.Add(suspension+c.expectedRunTime(j)).Before(j.expires)
	if hasTime && t.crashes.MayBeGuilty(t.losses) {
		c.suspend(t)
		return
	}
	c.enqueue(j)
}

// suspend lets a task wait until it is known why its endpoints were lost.
func (c *Core) suspend(t *task) {
	t.state = suspended
	c.suspended = append(c.suspended, suspendedTask{t, c.now.Add(suspension)})
}

// resumeIfCleared starts a suspended task again unless it may have crashed
// several endpoints.
func (c *Core) resumeIfCleared(t *task) {
	if t.state == suspended && !t.crashes.MayBeGuilty(t.losses) {
		c.resume(t)
	}
}

func (c *Core) resume(t *task) {
	t.state = waitingTask
	c.enqueue(t.job)
}

// resumeSuspended starts the tasks again whose suspension is over.
func (c *Core) resumeSuspended() {
	c.suspended = slices.DeleteFunc(c.suspended, func(s suspendedTask) bool {
		if s.task.state != suspended {
			return true
		}
		if c.now.Before(s.until) {
			return false
		}
		c.resume(s.task)
		return true
	})
}

// endWatch ends the watch for another incarnation of a lost endpoint. One that is
// no longer announced by then is gone.
func (c *Core) endWatch(e *endpoint) {
	if len(e.lostRuns) == 0 || c.now.Sub(e.lostAt) < crashWatch {
		return
	}
	if e.dropped {
		c.endpointCrashed(e)
	}
	e.lostRuns = nil
}

// suspect reports whether an endpoint was lost, or has crashed, under a task.
func (t *task) suspect() bool {
	return t.losses > 0 || t.crashes.Crashes > 0 || t.job.suspect
}
