package leased

import "time"

// storedRunOffset is the number from which runs of kept jobs are counted: it tells a
// new holder which ends it must report before an endpoint may forget them.
const storedRunOffset = 1 << 20

// unreportedPollPause is how long an endpoint with ends that are not reported yet is
// left alone: it would list them again at once.
const unreportedPollPause = 40 * time.Millisecond

// reportDelay is how long the owner of a kept job takes to learn of an end from
// any holder, also right after it has taken its shard over.
const reportDelay = 500 * time.Millisecond

func isStored(run int) bool { return run >= storedRunOffset }

// reportEnd has the end of a run of a kept job stored by the job's owner.
func (c *Core) reportEnd(e *endpoint, end *EndedRun) {
	if !isStored(end.Run) || end.End != EndDone && end.End != EndFailed {
		return
	}
	if e.unreported == nil {
		e.unreported = make(map[int64]TaskID)
	}
	e.unreported[end.Number] = end.Task
	if end.End == EndDone {
		c.storedDone[end.Task] = c.now
	}
	c.out.Reports = append(c.out.Reports, Report{
		Endpoint: e.ID, IncarnationStart: e.Born, Number: end.Number, Task: end.Task, Run: end.Run, End: end.End, Checkpoint: end.Checkpoint,
	})
}

// storedDoneRetention is how long a done task of a kept job is remembered after its end
// was reported: offers that were made before may still be on their way.
const storedDoneRetention = 5 * time.Second

// forgetStoredDone forgets done tasks whose ends were reported long ago.
func (c *Core) forgetStoredDone() {
	for _, e := range c.order {
		for _, id := range e.unreported {
			if _, known := c.storedDone[id]; known {
				c.storedDone[id] = c.now
			}
		}
	}
	for id, at := range c.storedDone {
		if c.now.Sub(at) > storedDoneRetention {
			delete(c.storedDone, id)
		}
	}
}

// partitionTimeout is how long tasks of a kept job wait whose earlier runs may have ended
// where nobody can ask: longer than most cuts of a network.
const partitionTimeout = 8 * time.Second

// setReachability notes whether some entries cannot be reached.
func (c *Core) setReachability(unreachable bool) {
	if c.someUnreachable && !unreachable {
		c.reachableSince = c.now
	}
	c.someUnreachable = unreachable
}

// mayHaveEnded reports whether an earlier run of a task may have ended where an
// entry holds the endpoint that cannot be reached, or has just come back.
func (c *Core) mayHaveEnded(t *task) bool {
	if !t.job.Resubmitted || !t.job.Stored || c.now.Sub(t.job.arrived) > partitionTimeout {
		return false
	}
	return c.someUnreachable || c.now.Sub(c.reachableSince) < c.resubmitPause(&t.job.Job)
}

// reportBegun tells the owner of a kept job that a task of it has started.
func (c *Core) reportBegun(j *job) {
	if j.Stored && !j.delegated {
		c.out.Reports = append(c.out.Reports, Report{Task: TaskID{Job: j.ID}, Begun: true})
	}
}

// applyStoredEnd ends the task of a kept job whose run is done, whoever it ran for.
func (c *Core) applyStoredEnd(end *EndedRun) {
	if isStored(end.Run) && end.End == EndDone {
		c.taskDoneElsewhere(end.Task)
	}
}

// reportStored lets an endpoint forget an end.
func (c *Core) reportStored(in *ReportStored) {
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

// acknowledgeable returns the number up to which ends may be taken note of.
func (e *endpoint) acknowledgeable() int64 {
	most := e.lastSeen
	for number := range e.unreported {
		most = min(most, number-1)
	}
	return most
}

// taskDoneElsewhere ends a task of a kept job that is done, as another holder has found. A run of it
// here is in vain.
func (c *Core) taskDoneElsewhere(id TaskID) {
	j := c.jobs[id.Job]
	if j == nil {
		c.storedDone[id] = c.now // its job may be on its way here
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
		c.out.DelegateCancels = append(c.out.DelegateCancels, DelegateCancel{Task: t.id})
		c.cancelledTasks[t.id] = c.now
	}
	c.taskDone(t)
	if c.jobs[j.ID] == j {
		c.dequeueIfPlaced(j)
	}
}

// mergeProgress takes what the owner of a kept job knows of one that is here
// already.
func (c *Core) mergeProgress(job *Job) {
	for _, p := range job.Progress {
		if p.Done {
			c.taskDoneElsewhere(TaskID{Job: job.ID, Step: p.Step, Index: p.Index})
		}
	}
}

// restoreProgress takes what earlier runs of a kept job have done.
func (c *Core) restoreProgress(j *job) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			j.tasks[s][i].runs += storedRunOffset
		}
	}
	for _, p := range j.Progress {
		t := j.task(TaskID{Job: j.ID, Step: p.Step, Index: p.Index})
		if t == nil {
			continue
		}
		t.runs = max(t.runs, p.LastRun)
		t.failures = p.Failures
		t.checkpoint = p.Checkpoint
		if p.Done {
			t.state = doneTask
			j.remaining[p.Step]--
		}
	}
	c.restoreDone(j)
}

// restoreDone takes ends that this core has seen and the owner may not know yet.
func (c *Core) restoreDone(j *job) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			t := &j.tasks[s][i]
			if _, done := c.storedDone[t.id]; done && t.state != doneTask {
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
