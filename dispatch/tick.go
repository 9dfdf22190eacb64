package dispatch

import (
	"time"

	"lovagespread.example/dispatch/ledger"
)

// Times of the core's own decisions.
const (
	// leaseGrace lets the shell report the end of a lease first.
	leaseGrace = 250 * time.Millisecond
	// noEndpointGrace is how long jobs wait for an endpoint to come back.
	noEndpointGrace = 10 * time.Second
)

func (c *Core) tick() {
	c.review()
	c.endPauses()
	for _, s := range c.byDepth {
		c.endLeases(s)
		c.takeOverdue(s)
		c.checkEndpoints(s)
	}
	c.expire()
}

// review moves ejected and doubtful endpoints on when their time is up.
func (c *Core) review() {
	for _, e := range c.executors {
		if e.record.Due(c.now) {
			e.record.Review(&e.service.peers)
			c.updateTier(e)
		}
	}
}

// endLeases gives up tasks that were silent to the end of their lease.
func (c *Core) endLeases(s *service) {
	for s.leases.Len() > 0 {
		r := s.leases.First()
		if !r.over && c.now.Before(r.leaseEnd.Add(leaseGrace)) {
			return
		}
		s.leases.Pop()
		if r.over {
			continue
		}
		if !r.stopped {
			c.blame(r.executor)
		}
		c.settle(r, TaskRef{Job: r.job.id, Index: r.index}, r.attempt, ledger.AttemptUnknown,
			"the endpoint gave no answer within the lease")
	}
}

// checkEndpoints fails the jobs of a service that has had no usable endpoint
// for long.
func (c *Core) checkEndpoints(s *service) {
	if s.pool.Slots() > 0 || s.waiting == 0 {
		s.lacking = time.Time{}
		return
	}
	if s.lacking.IsZero() {
		s.lacking = c.now
	}
	if c.now.Sub(s.lacking) < noEndpointGrace {
		return
	}
	for s.queue.Len() > 0 {
		c.fail(s.queue.First().Value.job, CodeNoEndpoint, "service "+s.spec.Name+" has no endpoint: start one or submit again later")
	}
}

// maxExpiries bounds the jobs and answers that one tick looks at.
const maxExpiries = 1000

// expire forgets what is past the expiry of its ID. A job that has not ended
// by then fails.
func (c *Core) expire() {
	c.ledger.Expire(c.now)
	for range maxExpiries {
		if c.answered.Len() == 0 || !c.answered.First().Expired(c.now) {
			break
		}
		c.dropAnswer()
	}
	for range maxExpiries {
		if c.admitted.Len() == 0 {
			return
		}
		j := c.admitted.First()
		if !j.ended && !j.id.Expired(c.now) {
			return
		}
		c.admitted.Pop()
		if !j.ended {
			c.fail(j, CodeExpired, "the job did not end before its ID expired: submit it with a new ID")
		}
	}
}
