package leased

import (
	"slices"
	"time"
)

// A Hold or a Start extends the lease of everything on an endpoint. So the lease of an
// endpoint is extended no further than each of its runs allows. A run without a task
// ends within one lease, even if every request to stop it is lost; and so does a run
// whose caller's entry is not heard any more, one claimTime after it was last heard. A
// holder that starts such a task elsewhere relies on that (restart.go).

// DefaultCallerRetry is how long after its connection broke a caller sends its job to
// another entry, if the settings do not say it.
const DefaultCallerRetry = 1300 * time.Millisecond

const (
	// callerMargin covers what a lease lasts longer on a slow clock, the age of a
	// contact and the latency of requests.
	callerMargin = 100 * time.Millisecond
	// stopMargin is the time for stopping a run, and for renewing the lease of its
	// endpoint after that.
	stopMargin = 200 * time.Millisecond
)

// claimTime returns how long after an entry was last heard the runs of its jobs may hold
// leases. If the entry was lost then, its callers have the same tasks started elsewhere
// after callerRetry, by holders that know nothing of these runs.
func claimTime(callerRetry, maxLease time.Duration) time.Duration {
	return min(max(callerRetry, DefaultCallerRetry)-callerMargin, contactGrace+maxLease)
}

// CallerSilence returns the time without a heartbeat after which the calls from an entry
// are to be cancelled. The runs of its jobs are stopped then, before their leases end:
// the leases of other tasks on the same endpoints end at the same time.
func CallerSilence(callerRetry, maxLease time.Duration) time.Duration {
	return claimTime(callerRetry, maxLease) - stopMargin
}

// minUsefulLease is the shortest lease with which tasks are started on an endpoint. It
// is what the runs there are left with when their entry was not heard for contactGrace.
func (c *Core) minUsefulLease() time.Duration {
	return min(c.opts.MaxLease/2, max(0, c.claimTime-contactGrace))
}

// allowedLease returns how far the lease of an endpoint may be extended from now on. It
// is not negative.
func (c *Core) allowedLease(e *endpoint) time.Duration {
	lease := c.opts.MaxLease
	for _, r := range e.runs {
		limit := r.leaseLimit
		if r.task != nil {
			limit = c.claimLimit(r.task.job)
		}
		if !limit.IsZero() {
			lease = min(lease, limit.Sub(c.now))
		}
	}
	return max(0, lease)
}

// claimLimit returns until when the runs of a job may hold leases, by when the entries
// that wait for it were last heard. Zero: without limit. A delegated task depends on the
// delegator and on the entry that waits for its job: if that is lost, the delegator
// need not have noticed it before it is lost, too.
func (c *Core) claimLimit(j *job) time.Time {
	heard, remote := c.lastHeard(j)
	if !remote {
		return time.Time{}
	}
	if j.origin != 0 {
		heard = earlier(heard, c.originHeard(j))
	}
	return heard.Add(c.claimTime)
}

// outlives reports whether an endpoint may hold a lease that lasts longer than the runs
// of a job may. Leases cannot be shortened, so no task of the job is started there.
func (e *endpoint) outlives(limit time.Time) bool {
	return !limit.IsZero() && e.leaseEnds.After(limit)
}

// leaseExtended records that the lease of an endpoint may have been extended.
func (c *Core) leaseExtended(e *endpoint, lease time.Duration) {
	e.leaseSent = later(e.leaseSent, c.now)
	e.leaseEnds = later(e.leaseEnds, c.now.Add(lease))
}

// withdrawUnheard cancels the delegated tasks of jobs whose entries are not heard. The
// delegates hear this holder and would go on renewing the runs.
func (c *Core) withdrawUnheard() {
	if !c.someContactIsOld() {
		return
	}
	var unheard []*job
	for _, j := range c.jobs {
		if c.unheard(j) {
			unheard = append(unheard, j)
		}
	}
	slices.SortFunc(unheard, byArrival)
	for _, j := range unheard {
		c.withdrawDelegated(j)
	}
}

// withdrawDelegated cancels the delegated tasks of a job, which then wait again.
func (c *Core) withdrawDelegated(j *job) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			t := &j.tasks[s][i]
			if t.state != delegatedTask {
				continue
			}
			c.withdraw(t)
			t.state = waitingTask
			c.enqueue(j)
		}
	}
}
