package leased

import (
	"time"

	"lovagespread.example/dispatch/placement"
)

// moveTime is the time that the stop of a run and its new start take.
const moveTime = 40 * time.Millisecond

// checkStraggler moves a run that takes much longer than its siblings to an
// endpoint that ends the whole task before the rest would end here. A delegated task
// is returned to its delegator instead, which numbers the runs. The projected
// run time counts towards the speed of the endpoint, once for each run. A single
// long run is a long task; several in a row show that the endpoint has become slow,
// which then counts as a failure.
func (c *Core) checkStraggler(e *endpoint, r *run) {
	t := r.task
	p := c.progressOf(e, r)
	if p.Straggles() && !r.slownessCounted && e.Cold == 0 {
		r.slownessCounted = true
		whole, _ := p.Projected()
		if c.observeSpeed(e, t, whole) {
			before := e.record.Health()
			e.record.Failed(c.now, c.peersOf(e))
			c.emitEjection(e, before, "its runs have become slow")
		}
		p.Speed = speedFor(t, e)
	}
	if t.moves >= maxMoves || t.job.delegated && t.runs > maxMoves {
		return
	}
	if !c.endsEarlierElsewhere(e, t, &p) {
		return
	}
	c.unequal.counts.Moved++
	if t.job.delegated {
		c.sendStop(e, r, "it would end earlier elsewhere: returned to the holder of its job")
		return
	}
	t.moves++
	t.avoid = e.ID
	c.sendStop(e, r, "it would end earlier on another endpoint")
}

// endsEarlierElsewhere reports whether the whole task would end earlier on another
// endpoint. If so, its run time is kept for its next placement.
func (c *Core) endsEarlierElsewhere(e *endpoint, t *task, p *placement.Run) bool {
	work, known := p.Work()
	if !known {
		return false
	}
	before := t.work
	t.work = work
	if to, fits := c.bestEndpoint(t, e); fits && p.Move(speedFor(t, to), moveTime+c.cost(t, to, 0)) {
		return true
	}
	t.work = before
	return false
}

// progressOf describes the progress of a run.
func (c *Core) progressOf(e *endpoint, r *run) placement.Run {
	siblings, _ := siblingWork(r.task, e.ID)
	return placement.Run{
		Age: r.age, Percent: r.percent, Speed: speedFor(r.task, e), Siblings: siblings,
		Expected: c.nominalTime(r.task), Due: dueIn(r.task.job, c.now),
	}
}

// dueIn returns the time until the answer of a job is due. For a delegated task it is
// the time until its caller gives up, because the due time is not known here.
func dueIn(j *job, now time.Time) time.Duration {
	if j.delegated {
		return j.expires.Sub(now)
	}
	return j.due.Sub(now)
}
