package dispatch

import (
	"slices"
	"time"
)

const (
	// overdueFactor times the high quantile of run times is when an attempt
	// is overdue.
	overdueFactor = 1.2
	// suspectOverdue is the number of overdue attempts that one endpoint has
	// at the same time before it is thought to be slow. A single one is more
	// often a long task.
	suspectOverdue = 2
	// idleShare is the share of endpoints with a free slot below which no
	// hedge is sent.
	idleShare = 0.1
)

// watch lets an attempt be looked at when it has taken longer than nearly all
// of its like.
func (c *Core) watch(s *service, r *run) {
	high := s.runs.HighRatio()
	if high == 0 || c.opts.Off.has(Ejection) {
		return
	}
	due := c.now.Add(time.Duration(overdueFactor * high * float64(r.job.tasks[r.index].expected)))
	s.watched.Add(r, period(due)+1)
}

func period(t time.Time) int64 { return t.UnixNano() / int64(tickInterval) }

// takeOverdue notes the attempts that have become overdue. An endpoint with
// several of them gets new tasks only as a second choice, and its overdue
// idempotent tasks are sent to another one as well.
func (c *Core) takeOverdue(s *service) {
	s.watched.Advance(period(c.now), func(r *run) {
		if r.over || r.job.ended {
			return
		}
		e := r.executor
		e.overdue = append(e.overdue, r)
		if len(e.overdue) < suspectOverdue {
			return
		}
		e.record.Degrade(c.now)
		c.updateTier(e)
		for _, late := range e.overdue {
			c.hedge(s, late)
		}
	})
}

// hedge sends a second attempt if the task is idempotent, capacity is idle
// and the budget allows it.
func (c *Core) hedge(s *service, r *run) {
	if r.hedged || r.job.ended || !s.spec.Idempotent || c.opts.Off.has(Hedging) || !s.mayHedge() {
		return
	}
	r.hedged = true
	c.sendHedge(r)
}

// mayHedge reports whether capacity is idle and the budget allows a hedge.
func (s *service) mayHedge() bool {
	idle := float64(s.pool.Available()) >= idleShare*float64(len(s.pool.All()))
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

// notOverdue forgets an attempt that is over.
func (e *executor) notOverdue(r *run) {
	if i := slices.Index(e.overdue, r); i >= 0 {
		e.overdue = slices.Delete(e.overdue, i, i+1)
	}
}
