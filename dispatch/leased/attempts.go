package leased

import (
	"slices"
	"time"
)

// The owner of a stored job decides whether a task starts again after a run that
// has failed, or was lost with its endpoint: runs of several holders may have
// failed, and another entry may have found the end of a lost run. A holder that
// has seen either starts the task again only once the owner has answered the
// report of it, and has told what it knows. A delegate returns the task with that
// answer.

// reportedEnd identifies an end that was reported to the owner of a stored job.
type reportedEnd struct {
	run    RunID
	number int64 // of the end, in the endpoint's list; 0: the run was lost
}

// countedTask is what the owner of a stored job knew of a task when it counted an end that
// was reported by this core.
type countedTask struct {
	progress TaskProgress
	at       time.Time
}

// heldAnswer is the answer to a delegated task whose failure or loss is not counted yet.
type heldAnswer struct {
	job        *job
	run        int
	end        End
	checkpoint string
}

// awaitCount records that the failure or loss of a run was reported and is not counted yet.
func (c *Core) awaitCount(task TaskID, end reportedEnd) {
	c.uncounted[task] = append(c.uncounted[task], end)
}

// awaitsCount reports whether a failure or loss of a task was reported that is not counted
// yet.
func (c *Core) awaitsCount(task TaskID) bool { return len(c.uncounted[task]) > 0 }

// endCounted handles the owner's word on a reported end. After a failure or a loss, the
// task may start again, or be returned to its delegator. Progress is nil if the owner is of
// an earlier version, which does not tell it.
func (c *Core) endCounted(task TaskID, end reportedEnd, progress *TaskProgress) {
	if progress != nil {
		c.counted[task] = countedTask{*progress, c.now}
		c.learn(task, progress, true)
	}
	rest := slices.DeleteFunc(c.uncounted[task], func(e reportedEnd) bool { return e == end })
	if len(rest) > 0 {
		c.uncounted[task] = rest
		return
	}
	delete(c.uncounted, task)
	held := c.heldAnswers[task]
	delete(c.heldAnswers, task)
	for _, a := range held {
		c.answerDelegated(a.job, a.run, a.end, a.checkpoint)
	}
}

// holdAnswer holds the answer to a delegated task back until its failure or loss is counted.
func (c *Core) holdAnswer(j *job, run int, end End, checkpoint string) {
	t := &j.tasks[0][0]
	t.state = uncountedTask
	c.heldAnswers[t.id] = append(c.heldAnswers[t.id], heldAnswer{j, run, end, checkpoint})
}

// countedProgress returns what the owner has told of a task, or nil if it has told nothing
// recently.
func (c *Core) countedProgress(task TaskID) *TaskProgress {
	counted, known := c.counted[task]
	if !known {
		return nil
	}
	return &counted.progress
}

// learnCounted applies what the owner of a stored job has told of its tasks before the job
// was submitted here.
func (c *Core) learnCounted(j *job) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			id := j.tasks[s][i].id
			if p := c.countedProgress(id); p != nil {
				c.learn(id, p, false)
			}
		}
	}
}

// learn applies what the owner of a stored job knows of a task, or knew some time ago if
// the progress is not the latest. The counts of a task only rise, but for losses whose
// cause becomes known.
func (c *Core) learn(id TaskID, p *TaskProgress, latest bool) {
	if p.Done {
		c.taskDoneElsewhere(id, anyRun)
		return
	}
	t := c.openTask(id)
	if t == nil || !t.job.Stored {
		return
	}
	t.learnedAt = c.now
	t.superseded = max(t.superseded, p.Superseded)
	t.failures = max(t.failures, p.Failures)
	t.crashes.Merge(p.Crashes)
	if !latest || t.state == suspended {
		t.losses = max(t.losses, p.Losses)
	} else {
		t.losses = p.Losses
	}
	if t.state == waitingTask {
		t.runs = max(t.runs, p.LastRun)
		if t.checkpoint == "" {
			t.checkpoint = p.Checkpoint
		}
	}
	switch {
	case p.JobEnded:
		c.finish(t.job, Abandoned, "its owner says that it has ended", 0)
	case t.usedUp():
		c.finish(t.job, Failed, usedUpReason, 0)
	case t.crashes.Guilty():
		c.finish(t.job, Failed, guiltyReason, 0)
	case t.state == waitingTask && t.crashes.MayBeGuilty(t.losses):
		c.suspend(t)
	}
}

// Reasons for the failure of a job.
const (
	usedUpReason = "a task has used up its attempts"
	guiltyReason = "one of its tasks crashes the endpoints that run it"
)

// usedUp reports whether a task has failed as often as it may.
func (t *task) usedUp() bool { return t.failures >= max(1, t.job.MaxAttempts) }

// forgetCounted removes what owners have told longer ago than storedDoneRetention.
func (c *Core) forgetCounted() {
	for id, counted := range c.counted {
		if c.now.Sub(counted.at) > storedDoneRetention {
			delete(c.counted, id)
		}
	}
}
