package dispatch

import (
	"slices"
	"time"
)

const (
	// overdueFactor times the high quantile of run times is the run time after
	// which an attempt is overdue.
	overdueFactor = 1.2
	// minOverdueToDegrade is the number of simultaneous overdue attempts from
	// which on an endpoint is degraded. A single one is more often caused by a
	// long task.
	minOverdueToDegrade = 2
	// minIdleShare is the minimum share of endpoints with a free slot that
	// permits a hedge.
	minIdleShare = 0.1
)

// scheduleOverdueCheck schedules a check of an attempt for the time when it will
// have run longer than nearly all comparable attempts.
func (c *Core) scheduleOverdueCheck(s *service, r *run) {
	high := s.runs.HighRatio()
	if high == 0 || c.opts.Disabled.has(Ejection) {
		return
	}
	due := c.now.Add(time.Duration(overdueFactor * high * float64(r.job.tasks[r.index].expected)))
	s.overdueChecks.Add(r, tickNumber(due)+1)
}

func tickNumber(t time.Time) int64 { return t.UnixNano() / int64(tickInterval) }

// handleOverdue records the attempts that have become overdue. An endpoint with
// several of them is degraded, so that it gets new tasks only if no healthy
// endpoint has a free slot, and its overdue idempotent tasks are hedged at
// another endpoint.
func (c *Core) handleOverdue(s *service) {
	s.overdueChecks.Advance(tickNumber(c.now), func(r *run) {
		if r.ended || r.job.ended {
			return
		}
		e := r.executor
		e.overdue = append(e.overdue, r)
		if len(e.overdue) < minOverdueToDegrade {
			return
		}
		e.health.Degrade(c.now)
		c.updateTier(e)
		for _, late := range e.overdue {
			c.hedge(s, late)
		}
	})
}

// hedge starts a second attempt if the task is idempotent, capacity is idle and
// the budget allows it.
func (c *Core) hedge(s *service, r *run) {
	if r.hedged || r.job.ended || !s.spec.Idempotent || c.opts.Disabled.has(Hedging) || !s.allowHedge() {
		return
	}
	r.hedged = true
	c.sendHedge(r)
}

// allowHedge reports whether capacity is idle and the budget allows a hedge,
// which it then charges to the budget.
func (s *service) allowHedge() bool {
	idle := float64(s.pool.Available()) >= minIdleShare*float64(len(s.pool.All()))
	return s.waiting == 0 && idle && s.hedges.Spend()
}

func (c *Core) sendHedge(r *run) {
	t := &r.job.tasks[r.index]
	t.avoid = r.executor
	e, _ := c.pick(t.group.service, t)
	if e == nil || e == r.executor {
		return
	}
	info := startInfo{eligible: t.group.service.pool.Available(), reason: ReasonHedge, hedge: true}
	c.start(t.group, r.index, e, info)
}

// removeOverdue removes an attempt that has ended from the overdue ones.
func (e *executor) removeOverdue(r *run) {
	if i := slices.Index(e.overdue, r); i >= 0 {
		e.overdue = slices.Delete(e.overdue, i, i+1)
	}
}
