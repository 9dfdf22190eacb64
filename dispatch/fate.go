package dispatch

import (
	"lovagespread.example/dispatch/ledger"
)

// notStartedFactor is how many times as often as MaxAttempts a task is sent
// that is proved not to have started.
const notStartedFactor = 4

// release ends an attempt and gives its slot back.
func (c *Core) release(r *run) {
	t := &r.job.tasks[r.index]
	t.removeRun(r)
	r.over = true
	r.job.running--
	r.executor.Free(t.needs)
	r.executor.notOverdue(r)
	c.countOpen(t.group, -1)
	c.forget(r.job)
}

func (c *Core) done(in *Done) {
	r := c.find(in.Task, in.Attempt)
	if r != nil {
		c.release(r)
		c.learn(r, in)
	}
	if _, ok := c.ledger.Resolve(in.Task.Job, in.Task.Index, in.Attempt, ledger.AttemptDone); !ok || r == nil {
		return
	}
	if r.hedge {
		r.job.tasks[r.index].group.service.hedges.Refund(hedgeRefund)
	}
	c.finish(in.Task, in.Result, in.RunTime)
}

// learn takes in how long a task ran.
func (c *Core) learn(r *run, in *Done) {
	t := &r.job.tasks[r.index]
	s := t.group.service
	if !r.executor.slow() {
		s.runs.Observe(r.job.team.index, t.class, t.expected, in.RunTime)
	}
	if c.opts.Off.has(Ejection) {
		return
	}
	r.executor.record.Passed(c.now, &s.peers, in.RunTime, t.expected)
	c.updateTier(r.executor)
}

func (c *Core) refused(in *Refused) {
	r := c.find(in.Task, in.Attempt)
	if r != nil {
		c.heed(r, in.Reason)
	}
	c.settle(r, in.Task, in.Attempt, ledger.AttemptNotStarted, "the endpoint refused the task")
}

// heed learns from the reason of a refusal. That an endpoint is full does
// not count against the task.
func (c *Core) heed(r *run, reason RefusalReason) {
	switch reason {
	case RefusedDraining:
		r.executor.state = EndpointLeaving
		c.updateTier(r.executor)
	case RefusedFull:
		r.job.tasks[r.index].unsent--
		c.pauseSlot(r.executor)
	}
}

func (c *Core) failed(in *Failed) {
	r := c.find(in.Task, in.Attempt)
	if r != nil && !r.stopped {
		c.blame(r.executor)
	}
	c.settle(r, in.Task, in.Attempt, ledger.AttemptFailed, in.Detail)
}

func (c *Core) lost(in *Lost) {
	r := c.find(in.Task, in.Attempt)
	if r != nil && !r.stopped {
		c.blame(r.executor)
	}
	c.settle(r, in.Task, in.Attempt, in.fate(), in.Detail)
}

// blame counts a failure against an endpoint.
func (c *Core) blame(e *executor) {
	if c.opts.Off.has(Ejection) {
		return
	}
	e.record.Failed(c.now, &e.service.peers)
	c.updateTier(e)
}

// settle records an attempt that gave no result, and decides whether the task
// is sent again.
func (c *Core) settle(r *run, ref TaskRef, attempt int, fate ledger.AttemptStatus, detail string) {
	if r != nil {
		c.release(r)
	}
	state, ok := c.ledger.Resolve(ref.Job, ref.Index, attempt, fate)
	if !ok || r == nil || r.job.ended {
		return
	}
	t := &r.job.tasks[r.index]
	if fate == ledger.AttemptNotStarted {
		t.begun--
		t.unsent++
	}
	switch state {
	case ledger.Waiting:
		c.sendAgain(r, fate, detail)
	case ledger.Failed:
		c.fail(r.job, CodeTaskFailed, detail)
	case ledger.Lost:
		c.fail(r.job, CodeTaskLost, detail)
	}
}

// sendAgain queues a task once more if its attempts and the budget allow it.
func (c *Core) sendAgain(r *run, fate ledger.AttemptStatus, detail string) {
	t := &r.job.tasks[r.index]
	earlier := t.failedAt
	t.avoid = r.executor
	if fate == ledger.AttemptNotStarted {
		if t.unsent >= notStartedFactor*c.opts.MaxAttempts {
			c.fail(r.job, CodeNoEndpoint, "no endpoint accepted the task: "+detail)
			return
		}
		c.enqueue(r.job, r.index)
		return
	}
	t.failedAt = r.executor
	if t.begun >= c.opts.MaxAttempts || c.isPoisonous(earlier, r.executor) {
		c.forgive(earlier, r.executor)
		c.fail(r.job, CodeTaskFailed, detail)
		return
	}
	if !t.group.service.retries.Spend() {
		c.fail(r.job, CodeTaskFailed, detail+" (not retried: too many tasks fail)")
		return
	}
	c.enqueue(r.job, r.index)
}

// isPoisonous reports whether a task that failed at two endpoints is to blame
// itself, because neither of them fails its other tasks.
func (c *Core) isPoisonous(first, second *executor) bool {
	return first != nil && first != second && !first.record.Failing() && !second.record.Failing()
}

func (c *Core) forgive(list ...*executor) {
	for _, e := range list {
		if e != nil && !e.record.Failing() {
			e.record.Forgive(&e.service.peers)
			c.updateTier(e)
		}
	}
}
