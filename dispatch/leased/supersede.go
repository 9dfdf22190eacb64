package leased

import (
	"math"
	"time"
)

// This file decides when a task of a stored job is started again although an earlier run
// may have ended unseen: a delegate or an endpoint was cut off, the job has a new holder,
// or another holder has taken the endpoint over. The holder that lists the end of such a
// run may report it at any time later, and the endpoint's lease need not have expired in
// between. No wait is evidence against that, only the log of the job's owner is:
//
//   - The holder asks the owner before it starts the task again (restartAllowed). The owner
//     stores that all runs with numbers up to a limit are superseded, and answers with that
//     limit, or that the task is done. The next run gets a higher number.
//   - The owner counts no end of a superseded run that is reported after that. The holder
//     that has reported it lets the lease of the endpoint expire before it acknowledges the
//     end (discardEnd, releaseDiscarded). So the task cannot have been started again after
//     an end that is acknowledged within a lease.
//
// The order of the records on the log decides between an end and a restart, also if the
// owner is replaced meanwhile: a replaced owner stores neither.

// doubtEnd records that an earlier run of a task may have ended without this holder having
// learned of it. The answer to an earlier request to start the task again does not cover
// that run.
func (t *task) doubtEnd() {
	t.endInDoubt = t.job.Stored
	t.restartRequest = 0
}

// doubtRemoteEnd is doubtEnd for a run whose end another entry may have seen.
func (c *Core) doubtRemoteEnd(t *task) {
	t.doubtEnd()
	if t.endInDoubt && t.remoteSince.IsZero() {
		t.remoteSince = c.now
	}
}

// restartAllowed reports whether a task may be started as far as ends of earlier runs are
// concerned that are not known here. It asks the owner of the job otherwise.
func (c *Core) restartAllowed(t *task) bool {
	if !t.endInDoubt {
		return true
	}
	if t.restartRequest == 0 {
		c.restartRequests++
		t.restartRequest = c.restartRequests
		c.out.Reports = append(c.out.Reports, Report{Task: t.id, Run: t.runs, Restart: t.restartRequest, Offer: t.job.Offer})
	}
	return false
}

// restartAnswered applies the owner's answer to a request to start a task again. Owners of
// earlier versions tell no progress: they store nothing before a restart.
func (c *Core) restartAnswered(in *StoredReport) {
	t := c.openTask(in.Task)
	if t == nil || t.restartRequest != in.Restart {
		return
	}
	if t.job.Offer != in.Offer { // another offer of the job has arrived since
		t.restartRequest = 0
		return
	}
	t.endInDoubt, t.restartRequest, t.remoteSince = false, 0, time.Time{}
	if in.Progress == nil {
		return
	}
	t.runs = max(t.runs, in.Progress.Superseded)
	c.learn(in.Task, in.Progress, true)
}

// mayAdopt reports whether a task may go on with a run that was found on an endpoint. The
// end of a superseded run does not count, nor may that of any run which was found after
// the owner was asked for a restart.
func (t *task) mayAdopt(run int) bool { return t.restartRequest == 0 && run > t.superseded }

// doneEnd is an end of a stored job's task that is known to be done.
type doneEnd struct {
	at  time.Time
	run int // number of the run; anyRun: the owner has said so
}

// anyRun is a run number that no record supersedes.
const anyRun = math.MaxInt

// noteStoredDone records that a run of a stored job's task is done.
func (c *Core) noteStoredDone(id TaskID, run int) {
	c.storedDone[id] = doneEnd{c.now, max(run, c.storedDone[id].run)}
}

// isStoredDone reports whether a run of a stored job's task is known to be done that is not
// superseded.
func (c *Core) isStoredDone(id TaskID, superseded int) bool {
	done, known := c.storedDone[id]
	return known && done.run > superseded
}

// discardEnd records that the end of a run does not count, because the task was allowed to
// start again before the end was reported.
func (c *Core) discardEnd(in *StoredReport) {
	if done, known := c.storedDone[in.Task]; known && done.run <= in.Run {
		delete(c.storedDone, in.Task)
		delete(c.doneUnclaimed, in.Task)
	}
	e := c.endpoints[in.Endpoint]
	if e == nil || e.Born != in.IncarnationStart {
		return
	}
	delete(e.unreported, in.Number)
	if in.Number <= e.acknowledged {
		return
	}
	if e.discarded == nil {
		e.discarded = make(map[int64]struct{})
	}
	e.discarded[in.Number] = struct{}{}
	c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("end_discarded", "its run is superseded: the endpoint gets no task until its lease has expired"))
}

// releaseDiscarded allows discarded ends to be acknowledged once the lease of their endpoint
// has expired. The endpoint gets no tasks before that (usable).
func (c *Core) releaseDiscarded(e *endpoint) {
	if len(e.discarded) == 0 || len(e.runs) > 0 || !c.now.After(e.leaseEnds.Add(clockSlack)) {
		return
	}
	e.discarded = nil
	e.nextHold = time.Time{}
	e.pollWanted = true
	c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("discarded_ends_released", "the lease has expired"))
}
