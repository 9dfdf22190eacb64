package leased

import "time"

// crashWatch is how long an endpoint that was lost with its runs is watched for
// another incarnation, which shows that it has crashed.
const crashWatch = 15 * time.Second

// lostRun is a run whose endpoint did not answer for longer than the lease. The
// endpoint has crashed, or it was cut off and has ended the run itself.
type lostRun struct {
	task  TaskID
	run   RunID
	queue string // empty: no job claimed the run
	alone bool   // no other run was on the endpoint
	// unconfirmed reports that the endpoint has neither confirmed nor listed the run.
	unconfirmed bool
}

// loseRuns ends the runs of an endpoint that has not answered for longer than
// their lease.
func (c *Core) loseRuns(e *endpoint) {
	c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("leases_lapsed", "unresponsive for longer than the lease"))
	e.lostAt = c.now
	alone := len(e.runs) == 1
	for r := range e.runs.all() {
		c.loseWithEndpoint(e, r, alone)
	}
}

// loseWithEndpoint ends a run that was lost with its endpoint. If its start was never
// confirmed, the endpoint may have been down before, under other runs.
func (c *Core) loseWithEndpoint(e *endpoint, r *run, alone bool) {
	unconfirmed := r.confirmed.IsZero()
	lost := lostRun{task: r.id, run: r.identity(), alone: alone && !unconfirmed, unconfirmed: unconfirmed}
	if r.task != nil {
		lost.queue = r.task.job.Queue
	}
	restarted := r.restarted
	if isStoredRun(r.number) {
		c.awaitCount(r.id, reportedEnd{run: lost.run}) // reportLoss reports it
	}
	c.endRun(e, r, EndEndpointLost, EvidenceLeaseExpired, "")
	if restarted {
		c.recordCrash(e, lost)
		return
	}
	e.lostRuns = append(e.lostRuns, lost)
	c.reportLoss(e, lost, LossUnexplained)
}

// endpointCrashed attributes the crash of an endpoint to the runs that were lost
// with it. An endpoint that has announced its end ends its runs without a crash.
func (c *Core) endpointCrashed(e *endpoint) {
	for _, lost := range e.lostRuns {
		c.recordCrash(e, lost)
	}
	e.lostRuns = nil
	for _, r := range e.runs {
		r.restarted = !e.Leaving
	}
}

// recordCrash records that an endpoint has crashed under a run, and gives the task up
// if it is the cause.
func (c *Core) recordCrash(e *endpoint, lost lostRun) {
	if e.Leaving {
		c.clearLoss(e, lost)
		return
	}
	c.out.Crashes = append(c.out.Crashes, Crash{Endpoint: e.ID, Task: lost.task, Run: lost.run.Number, Queue: lost.queue, Alone: lost.alone, Unconfirmed: lost.unconfirmed})
	c.reportLoss(e, lost, LossByCrash)
	t := c.openTask(lost.task)
	if t == nil {
		return
	}
	t.losses = max(0, t.losses-1)
	lost.loss(LossByCrash).Count(&t.crashes)
	if t.crashes.Guilty() {
		c.finish(t.job, Failed, guiltyReason, 0)
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

// reportLoss reports the loss of a run of a stored job to the job's owner, which
// may know of other endpoints that were lost with the task.
func (c *Core) reportLoss(e *endpoint, lost lostRun, cause LossCause) {
	if !isStoredRun(lost.run.Number) {
		return
	}
	c.out.Reports = append(c.out.Reports, Report{
		Endpoint: e.ID, IncarnationStart: lost.run.Incarnation, Task: lost.task, Run: lost.run.Number, End: EndEndpointLost, Loss: lost.loss(cause),
	})
}

func (l *lostRun) loss(cause LossCause) Loss {
	return Loss{Cause: cause, Alone: l.alone, Unconfirmed: l.unconfirmed}
}
