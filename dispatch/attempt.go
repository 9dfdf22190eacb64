package dispatch

import (
	"lovagespread.example/dispatch/ledger"
)

// maxNotStartedFactor times MaxAttempts bounds the attempts of a task that are
// proved not to have started.
const maxNotStartedFactor = 4

// releaseSlot ends an attempt and frees its slot.
func (c *Core) releaseSlot(r *run) {
	t := &r.job.tasks[r.index]
	t.removeRun(r)
	r.ended = true
	r.job.running--
	r.executor.Release(t.needs)
	r.executor.removeOverdue(r)
	c.countOpen(t.group, -1)
	c.removeIfIdle(r.job)
}

func (c *Core) done(in *Done) {
	r := c.find(in.Task, in.Attempt)
	if r != nil {
		c.releaseSlot(r)
		c.observeRun(r, in)
	}
	if _, ok := c.ledger.Resolve(in.Task.Job, in.Task.Index, in.Attempt, ledger.AttemptDone); !ok || r == nil {
		return
	}
	if r.hedge {
		r.job.tasks[r.index].group.service.hedges.Refund(hedgeRefund)
	}
	c.completeTask(in.Task, in.Result, in.RunTime)
}

// observeRun records the run time of a task in the estimates of its service and
// in the health of its endpoint.
func (c *Core) observeRun(r *run, in *Done) {
	t := &r.job.tasks[r.index]
	s := t.group.service
	if !r.executor.slow() {
		s.runs.Observe(r.job.team.index, t.class, t.expected, in.RunTime)
	}
	if c.opts.Disabled.has(Ejection) {
		return
	}
	r.executor.health.Succeeded(c.now, &s.peers, in.RunTime, t.expected)
	c.updateTier(r.executor)
}

func (c *Core) refused(in *Refused) {
	r := c.find(in.Task, in.Attempt)
	if r != nil {
		c.handleRefusal(r, in.Reason)
	}
	c.endAttempt(r, in.Task, in.Attempt, ledger.AttemptNotStarted, "the endpoint refused the task")
}

// handleRefusal acts on the reason of a refusal. A refusal by a full endpoint
// does not count as an attempt of the task.
func (c *Core) handleRefusal(r *run, reason RefusalReason) {
	switch reason {
	case RefusedDraining:
		r.executor.state = EndpointLeaving
		c.updateTier(r.executor)
	case RefusedFull:
		r.job.tasks[r.index].notStarted--
		c.pauseSlot(r.executor)
	}
}

func (c *Core) failed(in *Failed) {
	r := c.find(in.Task, in.Attempt)
	if r != nil && !r.stopSent {
		c.recordFailure(r.executor)
	}
	c.endAttempt(r, in.Task, in.Attempt, ledger.AttemptFailed, in.Detail)
}

func (c *Core) lost(in *Lost) {
	r := c.find(in.Task, in.Attempt)
	if r != nil && !r.stopSent {
		c.recordFailure(r.executor)
	}
	c.endAttempt(r, in.Task, in.Attempt, in.status(), in.Detail)
}

// recordFailure counts a failure of an endpoint.
func (c *Core) recordFailure(e *executor) {
	if c.opts.Disabled.has(Ejection) {
		return
	}
	e.health.Failed(c.now, &e.service.peers)
	c.updateTier(e)
}

// endAttempt records the status of an attempt that ended without a result and
// decides whether the task is retried.
func (c *Core) endAttempt(r *run, ref TaskRef, attempt int, status ledger.AttemptStatus, detail string) {
	if r != nil {
		c.releaseSlot(r)
	}
	state, ok := c.ledger.Resolve(ref.Job, ref.Index, attempt, status)
	if !ok || r == nil || r.job.ended {
		return
	}
	t := &r.job.tasks[r.index]
	if status == ledger.AttemptNotStarted {
		t.possibleStarts--
		t.notStarted++
	}
	switch state {
	case ledger.Waiting:
		c.retryTask(r, status, detail)
	case ledger.Failed:
		c.fail(r.job, CodeTaskFailed, detail)
	case ledger.Lost:
		c.fail(r.job, CodeTaskLost, detail)
	}
}

// retryTask queues a task again if its attempts and the retry budget allow it.
func (c *Core) retryTask(r *run, status ledger.AttemptStatus, detail string) {
	t := &r.job.tasks[r.index]
	earlier := t.failedAt
	t.avoid = r.executor
	if status == ledger.AttemptNotStarted {
		if t.notStarted >= maxNotStartedFactor*c.opts.MaxAttempts {
			c.fail(r.job, CodeNoEndpoint, "no endpoint accepted the task: "+detail)
			return
		}
		c.enqueue(r.job, r.index)
		return
	}
	t.failedAt = r.executor
	if t.possibleStarts >= c.opts.MaxAttempts || c.isPoisonTask(earlier, r.executor) {
		c.forgiveFailure(earlier, r.executor)
		c.fail(r.job, CodeTaskFailed, detail)
		return
	}
	if !t.group.service.retries.Spend() {
		c.fail(r.job, CodeTaskFailed, detail+" (not retried: the retry budget of the service is used up)")
		return
	}
	c.enqueue(r.job, r.index)
}

// isPoisonTask reports whether a task that failed at two endpoints caused the
// failures itself: neither endpoint fails other tasks.
func (c *Core) isPoisonTask(first, second *executor) bool {
	return first != nil && first != second && !first.health.Failing() && !second.health.Failing()
}

// forgiveFailure removes a task's failure from the health of those endpoints
// that do not fail other tasks.
func (c *Core) forgiveFailure(executors ...*executor) {
	for _, e := range executors {
		if e != nil && !e.health.Failing() {
			e.health.RetractFailure(&e.service.peers)
			c.updateTier(e)
		}
	}
}
