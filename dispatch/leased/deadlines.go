package leased

import (
	"cmp"
	"slices"
	"time"
)

// expireJobs ends jobs whose caller's deadline has passed and rejects those that
// have not begun and can no longer finish in time.
func (c *Core) expireJobs() {
	var due []*job
	for _, j := range c.jobs {
		if !j.Stored && (!c.now.Before(j.expires) || c.cannotEndInTime(j)) {
			due = append(due, j)
		}
	}
	// Each job that is removed shortens the time after which the next one is told
	// to retry, so they are ended in a fixed order.
	slices.SortFunc(due, byArrival)
	for _, j := range due {
		switch {
		case c.now.Before(j.expires):
			c.finish(j, Rejected, "no free capacity before the caller's deadline", c.retryAfter())
		case j.begun:
			c.finish(j, Abandoned, "the caller's deadline has passed", c.retryAfter())
		default:
			c.finish(j, Rejected, "the caller's deadline has passed", c.retryAfter())
		}
	}
}

// expireDelegated ends delegated tasks whose caller's deadline has passed. The delegator
// cancels them then, but its request may not arrive.
func (c *Core) expireDelegated() {
	var due []*job
	for _, j := range c.delegated {
		if !c.now.Before(j.expires) {
			due = append(due, j)
		}
	}
	sortByArrivalAndTask(due)
	for _, j := range due {
		t := &j.tasks[0][0]
		c.waiting.remove(j)
		c.revokeRun(t, "the caller's deadline has passed")
		c.answerDelegatedNow(j, t.runs, EndUnknown)
	}
}

// sortByArrivalAndTask orders delegated tasks, several of which may belong to one job.
func sortByArrivalAndTask(delegated []*job) {
	slices.SortFunc(delegated, func(a, b *job) int {
		x, y := &a.tasks[0][0].id, &b.tasks[0][0].id
		return cmp.Or(byArrival(a, b), cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
	})
}

// cannotEndInTime reports whether a job that waits and has not begun would exceed
// its caller's deadline if it were started now.
func (c *Core) cannotEndInTime(j *job) bool {
	return !j.begun && j.queued && c.now.Add(c.expectedRunTime(j)).After(j.expires)
}

// expectedRunTime returns the expected run time of a job on an idle system.
func (c *Core) expectedRunTime(j *job) time.Duration {
	return criticalPath(j.Steps, func(d time.Duration) time.Duration { return c.expectedTime(j.Queue, d) })
}

// spareTime returns how long a job can wait before its expected run time exceeds
// the caller's deadline.
func spareTime(j *job, c *Core) time.Duration { return j.expires.Sub(c.now) - c.expectedRunTime(j) }

// expectedWait returns how long a new job is expected to wait: the time to serve
// the queue, as measured by the latest Tick, unless the newest job goes first. It
// is 0 while no endpoint is held, because other holders may have free capacity.
func (c *Core) expectedWait() time.Duration {
	if c.waiting.newestFirst {
		return 0
	}
	return c.queueServiceTime
}

// measureServiceTime measures how long it takes to serve the queue.
func (c *Core) measureServiceTime() {
	c.queueServiceTime = 0
	if c.waiting.len() > 0 {
		c.queueServiceTime = c.serviceTime()
	}
}

// orderQueue selects the order of fresh jobs. In a shortage, admission control
// keeps the queue short enough for the order of latest start.
func (c *Core) orderQueue() {
	if short := c.updateAdmission(); !short && !c.fixedOrder {
		c.waiting.adaptOrder(c.queueServiceTime, c.recovery.Active())
	}
}

// minRetryAfter is the shortest time after which a rejected caller may retry.
const minRetryAfter = time.Second

// retryAfter returns how long a rejected caller should wait before it retries:
// until the held endpoints have served the queue.
func (c *Core) retryAfter() time.Duration { return max(minRetryAfter, c.serviceTime()) }

// takeoverTime is how long an endpoint that was just assigned may take to answer
// its first Hold.
const takeoverTime = 500 * time.Millisecond

// countsAsCapacity reports whether an endpoint is expected to serve the queue: it
// is held, or is about to be, and neither leaves nor is evacuated.
func (c *Core) countsAsCapacity(e *endpoint) bool {
	return !e.dropped && !e.evacuated && !(e.Leaving && c.opts.Recovery) && (e.held || c.now.Sub(e.addedAt) < takeoverTime)
}

// serviceTime returns the work of the queued jobs divided by the capacity of the
// endpoints that are expected to serve them.
func (c *Core) serviceTime() time.Duration {
	cores := c.cores()
	if cores == 0 {
		return 0
	}
	var work float64 // core-seconds
	c.waiting.walk(func(j *job) bool {
		if !j.Stored || j.class != lateClass { // jobs that can be answered in time go first
			work += c.remainingWork(j)
		}
		return true
	})
	return span(work / cores * float64(time.Second))
}

// remainingWork returns the expected work of the tasks of a job that are not
// done, in core-seconds.
func (c *Core) remainingWork(j *job) float64 {
	var work float64
	for s := range j.Steps {
		work += float64(j.remaining[s]*j.Steps[s].Demand.MilliCores) / 1000 * c.expectedTime(j.Queue, j.Steps[s].Estimate).Seconds()
	}
	return work
}

// cores returns the capacity that is expected to serve the queue.
func (c *Core) cores() float64 {
	var cores float64
	for _, e := range c.endpointList {
		if c.countsAsCapacity(e) {
			cores += float64(e.Capacity.MilliCores) / 1000
		}
	}
	return cores
}
