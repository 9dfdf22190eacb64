package leased

import "time"

// storedRunOffset is added to the run numbers of stored jobs. It shows a new
// holder which ended runs it must report before an endpoint may forget them.
const storedRunOffset = 1 << 20

// unreportedPollPause is the pause between polls of an endpoint whose ended runs
// are not all reported yet, because it would list them again at once.
const unreportedPollPause = 40 * time.Millisecond

// reportDelay is how long it takes until the owner of a stored job has received
// the report of an end from any holder, even right after it has taken over the
// shard.
const reportDelay = 500 * time.Millisecond

// ownerGrace is how long the owner of a stored job that was replaced may go on with it
// without knowing that: the time without a reply from the log after which it withdraws
// its offers (1.1 s), and the time until it checks that.
const ownerGrace = 1200 * time.Millisecond

func isStoredRun(run int) bool { return run >= storedRunOffset }

// reportEnd reports the end of a run of a stored job to the job's owner, which
// stores it.
func (c *Core) reportEnd(e *endpoint, end *EndedRun) {
	if !isStoredRun(end.Run) || end.End != EndDone && end.End != EndFailed {
		return
	}
	if e.unreported == nil {
		e.unreported = make(map[int64]TaskID)
	}
	e.unreported[end.Number] = end.Task
	if end.End == EndDone {
		c.noteStoredDone(end.Task, end.Run)
	} else {
		c.awaitCount(end.Task, reportedEnd{RunID{end.Run, e.ID, e.Born}, end.Number})
	}
	c.out.Reports = append(c.out.Reports, Report{
		Endpoint: e.ID, IncarnationStart: e.Born, Number: end.Number, Task: end.Task, Run: end.Run, End: end.End, Checkpoint: end.Checkpoint,
	})
}

// storedDoneRetention is how long a done task of a stored job is remembered
// after its end was reported. Submissions sent before the report may arrive
// later.
const storedDoneRetention = 5 * time.Second

// forgetStoredDone removes done tasks whose ends were reported longer ago than
// storedDoneRetention.
func (c *Core) forgetStoredDone() {
	for _, e := range c.endpointList {
		for _, id := range e.unreported {
			if done, known := c.storedDone[id]; known {
				c.storedDone[id] = doneEnd{c.now, done.run}
			}
		}
	}
	for id, done := range c.storedDone {
		if c.now.Sub(done.at) > storedDoneRetention {
			delete(c.storedDone, id)
		}
	}
}

// partitionTimeout is how long tasks of a stored job wait if earlier runs may
// have ended on endpoints of an unreachable entry. It is longer than most
// network partitions. It only spares second runs: what allows them is the record of the
// owner (supersede.go).
const partitionTimeout = 8 * time.Second

// setReachability records whether some entries cannot be reached.
func (c *Core) setReachability(unreachable bool) {
	if c.someUnreachable && !unreachable {
		c.reachableSince = c.now
	}
	c.someUnreachable = unreachable
}

// mayHaveEnded reports whether an earlier run of a task may have ended on an
// endpoint whose holder cannot be reached, or could not until recently. No other entry has
// said what became of the run.
func (c *Core) mayHaveEnded(t *task) bool {
	if t.remoteSince.IsZero() || c.now.Sub(t.remoteSince) > partitionTimeout {
		return false
	}
	return c.someUnreachable || c.now.Sub(c.reachableSince) < c.storedPause()
}

// reportBegun reports to the owner of a stored job, once, that a run of the job has begun, as
// its endpoint says. A request for a start, or to another holder, may be refused. Delegates
// report the runs of delegated tasks.
func (c *Core) reportBegun(j *job, run int) {
	if !isStoredRun(run) || j.begunReported {
		return
	}
	j.begunReported = true
	c.out.Reports = append(c.out.Reports, Report{Task: TaskID{Job: j.ID}, Begun: true})
}

// applyStoredEnd marks the task of a stored job as done if the ended run is
// done, regardless of which holder started it. The answer of the owner decides whether an
// end counts that is listed after a restart was asked for.
func (c *Core) applyStoredEnd(end *EndedRun) {
	if !isStoredRun(end.Run) || end.End != EndDone {
		return
	}
	if t := c.openTask(end.Task); t != nil && !t.mayAdopt(end.Run) {
		return
	}
	c.taskDoneElsewhere(end.Task, end.Run)
}

// reportStored allows an ended run to be acknowledged to its endpoint, and its task to go
// on.
func (c *Core) reportStored(in *StoredReport) {
	if in.Restart != 0 {
		c.restartAnswered(in)
		return
	}
	c.endCounted(in.Task, reportedEnd{RunID{in.Run, in.Endpoint, in.IncarnationStart}, in.Number}, in.Progress)
	if in.Discarded {
		c.discardEnd(in)
	}
	e := c.endpoints[in.Endpoint]
	if e == nil || e.Born != in.IncarnationStart {
		return
	}
	delete(e.unreported, in.Number)
	if len(e.unreported) == 0 && e.unanswered == 0 {
		e.nextHold = time.Time{}
		c.markDirty(e)
	}
}

// acknowledgeable returns the number up to which ended runs may be acknowledged.
func (e *endpoint) acknowledgeable() int64 {
	most := e.lastSeen
	for number := range e.unreported {
		most = min(most, number-1)
	}
	for number := range e.discarded {
		most = min(most, number-1)
	}
	return most
}

// taskDoneElsewhere completes a task of a stored job that is done, as another
// holder or the task's ended run shows. A run of it here is stopped.
func (c *Core) taskDoneElsewhere(id TaskID, run int) {
	j := c.jobs[id.Job]
	if j == nil {
		c.noteStoredDone(id, run) // the job may be submitted here later
		return
	}
	if !j.Stored {
		return
	}
	t := j.task(id)
	if t == nil || t.state == doneTask {
		return
	}
	switch t.state {
	case placedTask:
		c.revokeRun(t, "the task is done elsewhere")
	case delegatedTask:
		c.withdraw(t)
	}
	c.taskDone(t)
	if c.jobs[j.ID] == j {
		c.dequeueIfPlaced(j)
	}
}

// mergeProgress applies newer progress from the owner of a stored job to a job
// that was submitted here before.
func (c *Core) mergeProgress(job *Job) {
	for i := range job.Progress {
		p := &job.Progress[i]
		c.learn(TaskID{Job: job.ID, Step: p.Step, Index: p.Index}, p, false)
	}
}

// restoreProgress initializes a stored job with the progress of earlier runs.
func (c *Core) restoreProgress(j *job) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			j.tasks[s][i].runs += storedRunOffset
		}
	}
	for _, p := range j.Progress {
		t := j.task(TaskID{Job: j.ID, Step: p.Step, Index: p.Index})
		if t == nil || t.state == doneTask {
			continue
		}
		t.runs = max(t.runs, p.LastRun)
		t.superseded = p.Superseded
		t.failures = p.Failures
		t.crashes, t.losses = p.Crashes, p.Losses
		t.checkpoint = p.Checkpoint
		switch {
		case p.Done:
			t.state = doneTask
			j.remaining[p.Step]--
		case t.crashes.MayBeGuilty(t.losses):
			c.suspend(t)
		}
	}
	c.restoreDone(j)
}

// restoreDone marks tasks as done whose ends this core has seen. The owner may
// not have stored them yet.
func (c *Core) restoreDone(j *job) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			t := &j.tasks[s][i]
			if t.state != doneTask && c.isStoredDone(t.id, t.superseded) {
				t.state = doneTask
				j.remaining[s]--
			}
		}
	}
}

// complete reports whether every task of a job is done.
func (j *job) complete() bool {
	for _, left := range j.remaining {
		if left > 0 {
			return false
		}
	}
	return true
}
