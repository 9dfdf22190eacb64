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
	// hedgeFactor times the high quantile of run times is when an attempt is
	// thought to be stuck.
	hedgeFactor = 1.5
	// idleShare is the share of endpoints with a free slot below which no
	// hedge is sent.
	idleShare = 0.1
)

func (c *Core) tick() {
	c.review()
	for _, s := range c.byDepth {
		c.endLeases(s)
		c.hedge(s)
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
		c.settle(r, TaskRef{Job: r.job.id, Index: r.index}, r.attempt, ledger.FateUnknown,
			"the endpoint gave no answer within the lease")
	}
}

// hedge sends a second attempt of idempotent tasks that take far longer than
// their like. It stops at the first attempt that is young.
func (c *Core) hedge(s *service) {
	if c.opts.Off.has(Hedging) {
		return
	}
	for s.watched.Len() > 0 {
		r := s.watched.First()
		if r.over || r.job.ended {
			s.watched.Pop()
			continue
		}
		high := s.runs.High(r.job.tasks[r.index].class)
		if high == 0 || c.now.Sub(r.started) < time.Duration(hedgeFactor*float64(high)) {
			return
		}
		s.watched.Pop()
		if s.mayHedge() {
			c.sendHedge(r)
		}
	}
}

// mayHedge reports whether capacity is idle and the budget allows a hedge.
func (s *service) mayHedge() bool {
	idle := float64(s.pool.Listed()) >= idleShare*float64(len(s.pool.All()))
	return s.waiting == 0 && idle && s.hedges.Spend()
}

func (c *Core) sendHedge(r *run) {
	t := &r.job.tasks[r.index]
	t.avoid = r.executor
	e, _ := c.pick(t.group.service, t)
	if e == nil || e == r.executor {
		return
	}
	info := startInfo{eligible: t.group.service.pool.Listed(), reason: ReasonHedge, hedge: true}
	c.start(t.group, r.index, e, info)
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
