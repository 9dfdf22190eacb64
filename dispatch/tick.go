package dispatch

import (
	"time"

	"lovagespread.example/dispatch/ledger"
)

// Grace periods.
const (
	// leaseGrace gives the shell time to report the end of a lease first.
	leaseGrace = 250 * time.Millisecond
	// noEndpointGrace is how long jobs wait for a usable endpoint of a service
	// that has none.
	noEndpointGrace = 10 * time.Second
)

func (c *Core) tick() {
	c.advanceEvacuations()
	c.reviewEndpoints()
	c.endPauses()
	for _, s := range c.servicesByDepth {
		c.expireLeases(s)
		c.handleOverdue(s)
		c.failWithoutEndpoint(s)
	}
	c.expireJobs()
}

// reviewEndpoints reviews the health of ejected and degraded endpoints whose
// period has ended.
func (c *Core) reviewEndpoints() {
	for _, e := range c.executors {
		if e.health.ReviewDue(c.now) {
			e.health.Review(&e.service.peers)
			c.updateTier(e)
		}
	}
}

// expireLeases ends attempts to which the endpoint did not reply before the end
// of their lease.
func (c *Core) expireLeases(s *service) {
	for s.leases.Len() > 0 {
		r := s.leases.First()
		if !r.ended && c.now.Before(r.leaseEnd.Add(leaseGrace)) {
			return
		}
		s.leases.Pop()
		if r.ended {
			continue
		}
		if !r.stopSent {
			c.recordFailure(r.executor)
		}
		c.endAttempt(r, TaskRef{Job: r.job.id, Index: r.index}, r.attempt, ledger.AttemptUnknown,
			"the endpoint did not reply within the lease")
	}
}

// failWithoutEndpoint fails the waiting jobs of a service that has had no usable
// endpoint for noEndpointGrace.
func (c *Core) failWithoutEndpoint(s *service) {
	if c.isEvacuated(s) {
		c.failNotStarted(s)
	}
	if s.pool.Slots() > 0 || s.waiting == 0 {
		s.noEndpointSince = time.Time{}
		return
	}
	if s.noEndpointSince.IsZero() {
		s.noEndpointSince = c.now
	}
	if c.now.Sub(s.noEndpointSince) < noEndpointGrace {
		return
	}
	for s.queue.Len() > 0 {
		c.fail(s.queue.First().Value.job, CodeNoEndpoint, "service "+s.spec.Name+" has no endpoint: start one or submit again later")
	}
}

// maxExpiries bounds the jobs and the answers that one tick checks for expiry.
const maxExpiries = 1000

// expireJobs removes jobs and answers whose IDs have expired. A job that has not
// ended by then fails.
func (c *Core) expireJobs() {
	c.ledger.Expire(c.now)
	for range maxExpiries {
		if c.answerOrder.Len() == 0 || !c.answerOrder.First().Expired(c.now) {
			break
		}
		c.evictAnswer()
	}
	for range maxExpiries {
		if c.admissionOrder.Len() == 0 {
			return
		}
		j := c.admissionOrder.First()
		if !j.ended && !j.id.Expired(c.now) {
			return
		}
		c.admissionOrder.Pop()
		if !j.ended {
			c.fail(j, CodeExpired, "the job did not end before its ID expired: submit it with a new ID")
		}
	}
}
