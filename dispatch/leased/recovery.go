package leased

import (
	"time"

	"lovagespread.example/dispatch/recovery"
)

// lateValueFactor is the multiple of the time from the arrival of a job until its
// answer is due up to which a late answer still has value.
const lateValueFactor = 3

// valueUntil returns until when a late answer to a job has value.
func (j *job) valueUntil() time.Time { return j.arrived.Add(lateValueFactor * j.due.Sub(j.arrived)) }

// usefulUntil returns until when an answer has value and the caller waits for it.
func (j *job) usefulUntil() time.Time {
	end := j.valueUntil()
	if end.After(j.expires) {
		return j.expires
	}
	return end
}

// answers reports whether an endpoint is held and answers its polls.
func (e *endpoint) answers() bool { return e.held && !e.dropped && e.unanswered <= max(1, e.tolerated) }

// pending reports whether an endpoint is expected to be held soon: it was just
// assigned, and has not left several polls unanswered.
func (c *Core) pending(e *endpoint) bool {
	return !e.held && !e.dropped && e.unanswered < 3 && c.now.Sub(e.addedAt) < takeoverTime
}

// pendingTime is the time after which endpoints that were just assigned are
// counted as capacity. Most answer their first poll earlier.
const pendingTime = 150 * time.Millisecond

// trackRecovery measures at each Tick whether the capacity is what the platform
// announces. While it is not, jobs that cannot be served are rejected.
func (c *Core) trackRecovery() {
	if !c.opts.Recovery {
		return
	}
	s := recovery.Sample{Backlog: c.queueServiceTime}
	for _, e := range c.endpointList {
		if e.dropped || e.Leaving {
			continue
		}
		s.Announced += e.Capacity.MilliCores
		if e.answers() {
			s.Answering += e.Capacity.MilliCores
		}
	}
	if c.recovery.Observe(c.now, s) {
		c.noteRecovery(&s)
	}
	c.rejectUnservable()
}

// noteRecovery reports the start or the end of a recovery.
func (c *Core) noteRecovery(s *recovery.Sample) {
	event := RecoveryEvent{Active: c.recovery.Active(), Announced: s.Announced, Answering: s.Answering, Backlog: s.Backlog, Rejected: c.recoveryRejected}
	c.recoveryRejected = 0
	c.out.RecoveryEvents = append(c.out.RecoveryEvents, event)
}

// recoveryCapacity returns the capacity that the queue can count on. It includes
// what other holders have announced, because they take tasks that find no free
// endpoint here.
func (c *Core) recoveryCapacity() recovery.Capacity {
	capacity := recovery.Capacity{After: pendingTime}
	for _, e := range c.endpointList {
		cores := float64(e.Capacity.MilliCores) / 1000
		switch {
		case e.answers() && !e.Leaving:
			capacity.Cores += cores
		case c.pending(e) && !e.Leaving:
			capacity.Expected += cores
		}
	}
	for i := range c.announced {
		for _, free := range c.announced[i].Free {
			capacity.Cores += float64(free) / 1000
		}
	}
	return capacity
}

// rejectUnservable rejects the queued jobs that the capacity in sight cannot
// answer while the answer is of use, in the order in which they would be served.
func (c *Core) rejectUnservable() {
	if !c.recovery.Active() || c.HoldsNoCell() || c.queueServiceTime <= 0 {
		return
	}
	var jobs []*job
	var queue []recovery.Job
	c.waiting.walk(func(j *job) bool {
		jobs = append(jobs, j)
		queue = append(queue, recovery.Job{
			Work: c.remainingWork(j), RunTime: c.runTimeHere(j), Left: j.usefulUntil().Sub(c.now), Timeout: j.expires.Sub(c.now),
			Keep: j.begun || j.Stored || j.Resubmitted || j.delegated,
		})
		return true
	})
	for _, i := range recovery.Unservable(c.recoveryCapacity(), queue) {
		c.rejectInRecovery(jobs[i], "the capacity that is left cannot serve it in time")
	}
}

func (c *Core) rejectInRecovery(j *job, reason string) {
	c.recoveryRejected++
	c.finish(j, Rejected, reason, recovery.Spread(c.retryAfter(), string(j.ID)))
}

// startsTooLate reports whether a job cannot be answered before its caller's
// deadline even if it is started now. Such jobs get no capacity while it is
// short.
func (c *Core) startsTooLate(j *job) bool {
	return c.recovery.Active() && !j.Stored && !j.delegated && c.now.Add(c.remainingRunTime(j)).After(j.expires)
}

// remainingRunTime returns the expected run time of the steps of a job that are
// not done.
func (c *Core) remainingRunTime(j *job) time.Duration {
	var longest time.Duration
	for s := range j.Steps {
		if j.remaining[s] > 0 {
			longest = max(longest, c.expectedTime(j.Queue, j.Steps[s].Estimate))
		}
	}
	return longest
}

// runTimeHere returns the expected run time of a job on the endpoints that
// answer. Tasks of a wide job for which there is no room run one after another.
func (c *Core) runTimeHere(j *job) time.Duration {
	longest := c.expectedRunTime(j)
	for s := range j.Steps {
		slots := c.concurrentTasks(&j.Steps[s])
		if slots == 0 || j.remaining[s] <= slots {
			continue
		}
		rounds := (j.remaining[s] + slots - 1) / slots
		longest = max(longest, time.Duration(rounds)*c.expectedTime(j.Queue, j.Steps[s].Estimate))
	}
	return longest
}

// concurrentTasks returns how many tasks of a step the endpoints that answer, and
// those of other holders that have announced free capacity, run at the same time.
func (c *Core) concurrentTasks(step *Step) int {
	n := 0
	for _, e := range c.endpointList {
		if e.answers() && !e.Leaving && step.fits(&e.Endpoint) {
			n += e.Capacity.MilliCores / max(1, step.Demand.MilliCores)
		}
	}
	for i := range c.announced {
		for _, free := range c.announced[i].Free {
			n += free / max(1, step.Demand.MilliCores)
		}
	}
	return n
}
