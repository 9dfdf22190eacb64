package leased

import "time"

// Parameters for replies to a Start.
const (
	// minStartTries is how often a Start without a reply is sent at least. It is more
	// often while calls are lost by chance.
	minStartTries   = 3
	unhealthyPause  = 200 * time.Millisecond // no new tasks after a StartUnhealthy
	noCapacityPause = 30 * time.Millisecond  // no new tasks after a StartNoCapacity
)

func (c *Core) startReply(in *StartReply) {
	e := c.endpoints[in.Endpoint]
	if e == nil {
		return
	}
	c.markDirty(e)
	r := e.runs.find(in.Task)
	if r == nil || r.number != in.Run {
		return
	}
	if r.token == e.token { // otherwise an earlier incarnation may have replied
		e.updateClock(c.now, in.Clock)
	}
	if r.state == runRunning {
		return
	}
	if r.tries > 1 && in.Result.refused() {
		// An earlier copy of the request may still be executed.
		r.startUnanswered = true
		c.pollSoon(e)
		return
	}
	switch in.Result {
	case StartAccepted:
		r.observeClock(in.Clock)
		c.loss.answered(r.tries-1, 0)
		c.confirm(r)
	case StartOldRun, StartLate:
		if in.Result == StartOldRun && r.task != nil && r.task.job.Stored {
			r.task.runs += resubmittedRunOffset // an earlier holder has used higher run numbers
			r.task.doubtEnd()                   // one of these runs has ended here
		}
		c.endRun(e, r, EndNotRun, EvidenceRefused, "")
	case StartNoCapacity:
		e.pausedUntil = c.now.Add(noCapacityPause)
		c.endRun(e, r, EndNoCapacity, EvidenceRefused, "")
	case StartFenced:
		c.startFenced(e, r)
	case StartUnhealthy:
		before := e.record.Health()
		e.record.Failed(c.now, c.peersOf(e))
		c.emitEjection(e, before, "it refuses tasks")
		e.pausedUntil = c.now.Add(unhealthyPause)
		c.endRun(e, r, EndNotRun, EvidenceRefused, "")
	case StartOtherIncarnation:
		c.endRun(e, r, EndNotRun, EvidenceRefused, "")
		c.otherIncarnation(e, r.address)
	case StartInvalid:
		c.endRun(e, r, EndFailed, EvidenceRefused, "")
	case StartNotSent:
		c.endRun(e, r, EndNotRun, EvidenceRefused, "")
		c.countUnanswered(e)
	case StartUnanswered:
		c.retryStart(e, r)
	}
}

// startFenced handles a Start that was refused because of a higher token. That is
// another holder's, or the one that this holder has taken since for another incarnation.
func (c *Core) startFenced(e *endpoint, r *run) {
	ownToken := r.token < e.token
	switch {
	case r.tries == 1:
		c.endRun(e, r, EndNotRun, EvidenceRefused, "")
	case ownToken: // an earlier copy may have been executed
		r.startUnanswered = true
		c.pollSoon(e)
	}
	if !ownToken {
		c.fenced(e)
	}
}

// refused reports whether the result proves that this copy of the request was
// not executed. It proves nothing about earlier copies.
func (r StartResult) refused() bool {
	switch r {
	case StartOldRun, StartLate, StartNoCapacity, StartUnhealthy, StartNotSent, StartInvalid:
		return true
	}
	return false
}

// pollSoon polls an endpoint as soon as its Hold in flight is answered.
func (c *Core) pollSoon(e *endpoint) { e.nextHold = time.Time{} }

// retryStart repeats a Start without a reply. It has the same run number, so
// the endpoint treats it as the same run.
func (c *Core) retryStart(e *endpoint, r *run) {
	c.loss.lost()
	if isStoredRun(r.number) {
		e.storedUnanswered = later(e.storedUnanswered, r.sent)
	}
	if r.state == runStopping {
		return
	}
	// A refusal at another address would prove nothing about the copies sent before.
	moved := r.address != e.Address
	if moved || r.tries >= max(minStartTries, 1+c.loss.tolerated()) || e.evacuated || !c.mayRepeatStart(e, r) {
		r.startUnanswered = true
		c.countUnanswered(e)
		return
	}
	c.sendStart(e, r)
}

// mayRepeatStart reports whether the run of a Start without a reply is still wanted, as
// far as this core can know: after a freeze, cancellations that arrived during it are
// read first. The endpoint may have crashed, so that another incarnation would execute it.
func (c *Core) mayRepeatStart(e *endpoint, r *run) bool {
	if c.now.Before(c.startsPausedUntil) || !e.described() {
		return false
	}
	return r.task == nil || r.task.step.Label == "" && !c.unheard(r.task.job)
}

// sendStart sends the Start of a run.
func (c *Core) sendStart(e *endpoint, r *run) {
	r.tries++
	r.sent = c.now
	r.began = c.now
	if isStoredRun(r.number) {
		e.storedStart = c.now
	}
	r.token = e.token
	r.address = e.Address
	lease := c.allowedLease(e)
	c.leaseExtended(e, lease)
	j := r.task.job
	c.out.Starts = append(c.out.Starts, Start{
		Endpoint: e.ID, Address: e.Address, Task: r.id, Run: r.number, Attempt: r.tries, Spec: j.Spec, Checkpoint: r.task.checkpoint,
		Until: e.leaseEnd(c.now, lease), Token: e.token, CallsLost: c.loss.tolerated() > 0, Evidence: r.task.evidence,
		Waited: c.now.Sub(j.arrived), Free: e.free().plus(r.demand), Expected: r.expected, For: c.submissionOf(j),
	})
}
