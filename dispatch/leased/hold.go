package leased

import (
	"time"

	"lovagespread.example/dispatch/outlier"
)

// Time limits for polling endpoints.
const (
	// maxHoldWait bounds how long a Hold waits for a run to end, so that leases
	// are renewed and progress is seen in time.
	maxHoldWait = 300 * time.Millisecond
	minHoldWait = 30 * time.Millisecond
	// acknowledgeAfter is how long an endpoint idles before its last ended runs
	// are acknowledged. The next start often causes a Hold earlier.
	acknowledgeAfter = 800 * time.Millisecond
	// claimTimeout is how long a run that was found on an endpoint waits to be
	// claimed by its job before it is stopped.
	claimTimeout = 500 * time.Millisecond
	// clockSlack covers the drift of an endpoint's clock (at most 2% slow), the
	// latency of a request and the time that a stop takes.
	clockSlack = 150 * time.Millisecond
	minBackoff = 100 * time.Millisecond // after requests without a reply
	maxBackoff = time.Second
	// fencePause is how long a fenced holder waits before it reclaims an
	// endpoint.
	fencePause = 300 * time.Millisecond
	// yieldPause replaces fencePause for a holder that yields to others.
	yieldPause = 3 * time.Second
	// lateMargin is added to the expected end of a run before the run is checked
	// for being late.
	lateMargin = 20 * time.Millisecond
)

// markDirty records that an endpoint has changed, so that the next pollDirty
// checks it.
func (c *Core) markDirty(e *endpoint) {
	if !e.dirty {
		e.dirty = true
		c.dirty = append(c.dirty, e)
	}
}

// raiseMaxFree raises the upper bound of free capacity to that of the changed
// endpoints.
func (c *Core) raiseMaxFree() {
	for _, e := range c.dirty {
		c.maxFree = max(c.maxFree, e.free().MilliCores)
	}
}

// pollDirty sends a Hold to each endpoint that has changed and is due for one.
// Each Tick marks all endpoints dirty.
func (c *Core) pollDirty() {
	for _, e := range c.dirty {
		e.dirty = false
		if c.endpoints[e.ID] != e {
			continue // removed in the meantime
		}
		if e.inFlight && !c.overdue(e) {
			continue
		}
		if c.now.Before(e.nextHold) {
			continue
		}
		c.pollIfDue(e)
	}
	c.dirty = c.dirty[:0]
}

// overdue reports whether the Hold in flight should have been answered by now.
// It is repeated at once while it may have been lost by chance; after that, a Hold is
// overdue only after abandonHoldAfter.
func (c *Core) overdue(e *endpoint) bool {
	if c.now.Sub(e.holdSent) < e.holdWait+c.loss.replyMargin() {
		return false
	}
	if e.unanswered <= c.loss.tolerated() {
		c.holdUnanswered(e)
		return true
	}
	return c.now.Sub(e.holdSent) >= e.holdWait+abandonHoldAfter
}

// abandonHoldAfter is how long a Hold to an unresponsive endpoint may stay
// unanswered before it is abandoned, if no error is received for it.
const abandonHoldAfter = time.Second

func (c *Core) pollIfDue(e *endpoint) {
	switch {
	case !e.held:
		if e.dropped {
			return
		}
		c.sendHold(e, false, 0)
	case e.unanswered > 0 || e.holdRefused:
		c.sendHold(e, false, 0)
	case e.pollWanted:
		e.pollWanted = false
		c.sendHold(e, e.hasClaimedRun(), 0)
	case len(e.runs) > 0:
		c.sendHold(e, e.hasClaimedRun(), c.nextHoldWait(e))
	case e.acknowledgeable() > e.acknowledged && c.now.Sub(e.idleSince) >= acknowledgeAfter:
		c.sendHold(e, false, 0)
	case e.clockReadingDue(c.now):
		c.sendHold(e, false, 0)
		e.readsClock = true
	}
}

func (c *Core) sendHold(e *endpoint, extend bool, wait time.Duration) {
	e.sequence++
	e.inFlight = true
	e.readsClock = false
	e.holdSent = c.now
	e.holdWait = wait
	e.holdSeen = 0
	if e.mayAcknowledge(c.now) {
		e.holdSeen = e.acknowledgeable()
	}
	h := Hold{Endpoint: e.ID, Address: e.Address, Sequence: e.sequence, Token: e.token, LastSeen: e.holdSeen, Wait: wait}
	if lease := c.allowedLease(e); extend && lease > 0 {
		h.Until = e.leaseEnd(c.now, lease)
		c.leaseExtended(e, lease)
	}
	c.out.Holds = append(c.out.Holds, h)
}

// hasClaimedRun reports whether any run belongs to a task. If none does, the
// lease is not extended: the holder that lost the runs relies on the lease to
// end them.
func (e *endpoint) hasClaimedRun() bool {
	for _, r := range e.runs {
		if r.task != nil {
			return true
		}
	}
	return false
}

// nextHoldWait returns how long the next Hold may wait: until the first run is
// overdue, so that a slow run is detected.
func (c *Core) nextHoldWait(e *endpoint) time.Duration {
	wait := maxHoldWait
	for _, r := range e.runs {
		if r.state == runStopping || r.task == nil {
			wait = min(wait, minHoldWait)
			continue
		}
		due := r.sent.Add(c.loss.dueAfter(r.expected)).Sub(c.now)
		if due > 0 {
			wait = min(wait, due)
		}
	}
	return max(wait, minHoldWait)
}

func (c *Core) holdReply(in *HoldReply) {
	e := c.endpoints[in.Endpoint]
	if e == nil || in.Sequence != e.sequence {
		return
	}
	e.inFlight = false
	c.markDirty(e)
	switch in.Result {
	case HoldAnswered:
		c.holdAnswered(e, in)
	case HoldFenced:
		c.fenced(e)
	case HoldOtherIncarnation:
		c.otherIncarnation(e, e.Address)
	case HoldUnhealthy:
		e.holdRefused = true
		e.nextHold = c.now.Add(minBackoff)
		e.pausedUntil = c.now.Add(minBackoff)
	case HoldNotSent, HoldUnanswered:
		c.holdUnanswered(e)
	}
}

func (c *Core) holdAnswered(e *endpoint, in *HoldReply) {
	if in.IncarnationStart != 0 && e.Born != 0 && in.IncarnationStart != e.Born {
		c.endpointRestarted(e, in.IncarnationStart)
		return // its list may miss a late Start that only the new token keeps away
	}
	if in.IncarnationStart != 0 {
		e.Born = in.IncarnationStart
	}
	e.answeredAt, e.lastAnswer = e.Address, c.now
	e.holdRefused = false
	c.endpointReturned(e)
	if e.unanswered > 1 {
		c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_answers", ""))
	}
	c.loss.answered(e.unanswered, c.now.Sub(e.unansweredSince))
	e.unanswered = 0
	e.fencedCount = 0
	if !in.More {
		e.polledAt = e.holdSent
	}
	e.nextHold = time.Time{}
	e.updateClock(c.now, in.Clock)
	e.listedClock = in.Clock
	e.acknowledged = max(e.acknowledged, e.holdSeen)
	if !e.held {
		e.held = true
		c.leaseExtended(e, c.opts.MaxLease) // an earlier holder may have done so until now
		c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_held", ""))
		c.noteUndescribed(e)
	}
	for i := range in.Ended {
		c.applyEnded(e, &in.Ended[i])
	}
	if len(e.unreported) > 0 || len(e.discarded) > 0 {
		e.nextHold = c.now.Add(unreportedPollPause)
	}
	c.applyRunning(e, in.Running, in.More)
	c.stopUnresolved(e)
	for r := range e.runs.all() {
		if r.startUnanswered && r.state == runStarting {
			c.sendStop(e, r, "its start was not answered")
		}
		c.checkProgress(e, r)
	}
	if len(e.runs) == 0 && e.idleSince.Before(c.now) {
		e.idleSince = c.now
	}
	if e.dropped {
		c.removeDropped()
	}
}

// holdUnanswered handles a Hold without a reply. One that served only to read the
// clock is repeated and not counted: no task is affected by its loss.
func (c *Core) holdUnanswered(e *endpoint) {
	if e.readsClock {
		e.readsClock = false
		e.pollWanted = true
		return
	}
	c.countUnanswered(e)
}

// countUnanswered counts a request without a reply. The endpoint gets no new tasks until
// it replies, unless calls are lost at other endpoints, too.
func (c *Core) countUnanswered(e *endpoint) {
	if e.unanswered == 0 { // an endpoint that is gone tells nothing of the others
		c.loss.lost()
		e.unansweredSince = c.now
	}
	e.unanswered++
	e.tolerated = c.loss.tolerated()
	repeats := max(1, e.tolerated)
	if e.unanswered <= repeats {
		return // poll again at once: the replies may be lost by chance
	}
	if e.unanswered == repeats+1 {
		c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_silent", "consecutive requests were not answered"))
		e.record.Failed(c.now, c.peersOf(e))
	}
	wait := min(minBackoff<<min(e.unanswered-repeats-1, 5), maxBackoff)
	e.nextHold = c.now.Add(wait)
}

// fenced releases an endpoint that has accepted a higher token from another
// holder. Its runs continue under that holder.
func (c *Core) fenced(e *endpoint) {
	wasHeld := e.held
	e.held = false
	e.fencedCount++
	yields := c.opts.Yields(e.Cell)
	c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_fenced", "another holder has a higher token"))
	if wasHeld || yields {
		pause := fencePause
		if yields {
			pause = yieldPause
		}
		e.nextHold = c.now.Add(pause)
	}
	// Doubling the step passes the token of a holder whose clock is ahead within
	// a few calls.
	e.token = c.opts.NextToken(e.token + int64(1)<<min(e.fencedCount+tokenBits, 40))
	for r := range e.runs.all() {
		c.loseRun(e, r)
	}
	e.lastSeen, e.acknowledged, e.unreported = 0, 0, nil
	e.discarded = nil
	e.lostRuns = nil // the other holder sees what becomes of the endpoint
}

// tokenBits is the number of low bits of a token that identify the holder.
const tokenBits = 10

// loseRun releases a run to another holder, which is then asked how it ended.
func (c *Core) loseRun(e *endpoint, r *run) {
	t := r.task
	c.forgetRun(e, r)
	c.unseen.add(r.id, c.now.Add(c.ownRunTimeout()), e.ID)
	switch {
	case t == nil:
		// The request to stop it may have been lost, and its job submitted again.
		if waiting := c.claimant(r.id); waiting != nil {
			c.doubtRemoteEnd(waiting)
			c.addLostRun(waiting, e.Cell, e.ID)
		}
	case t.job.delegated:
		c.answerDelegated(t.job, r.number, EndUnknown, "")
	default:
		t.state = waitingTask
		t.evidence = EvidenceElapsed
		c.doubtRemoteEnd(t)
		c.addLostRun(t, e.Cell, e.ID)
		c.enqueue(t.job)
	}
}

// otherIncarnation handles a request that was refused at an address because it was meant
// for another incarnation. It is evidence of a restart only at the address at which the
// endpoint has answered. A record of another writer may name the address of any endpoint.
func (c *Core) otherIncarnation(e *endpoint, address string) {
	if e.answeredAt == "" || e.answeredAt == address {
		c.endpointRestarted(e, 0)
	}
	c.countUnanswered(e)
}

// endpointRestarted resets the state of an endpoint for another incarnation.
// Runs of the earlier one have ended, but a Start may already have reached the
// new one: the list under a new token shows which. An incarnation has seen no token,
// run number or clock of the earlier one, so the new token is what makes it refuse
// late copies of earlier requests.
func (c *Core) endpointRestarted(e *endpoint, incarnationStart int64) {
	c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_restarted", "another incarnation answers"))
	c.endpointCrashed(e)
	if incarnationStart != 0 {
		e.Born = incarnationStart
	}
	e.held = false
	e.token = c.opts.NextToken(e.token)
	e.inFlight = false
	e.sequence++ // a reply to a Hold with the earlier token is ignored
	e.lastSeen, e.acknowledged, e.holdSeen, e.unreported = 0, 0, 0, nil
	e.discarded = nil
	e.clockAt, e.listedClock = time.Time{}, 0
	for _, r := range e.runs {
		r.beganClock, r.foundPercent = 0, 0
	}
	e.nextHold = time.Time{}
	if e.dropped { // it is not polled again: the other holder of its cell sees its runs
		for r := range e.runs.all() {
			c.loseRun(e, r)
		}
	}
}

// review updates an endpoint at a Tick: it ends ejections, ends runs whose
// leases have expired, and stops unclaimed runs.
func (c *Core) review(e *endpoint) {
	e.decaySlowness(TickInterval)
	e.shortLease = c.allowedLease(e) < c.minUsefulLease()
	c.endWatch(e)
	c.releaseDiscarded(e)
	if e.record.ReviewDue(c.now) {
		before := e.record.Health()
		e.record.Review(c.peersOf(e))
		if before == outlier.Ejected {
			c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_probation", "the ejection is over"))
		}
	}
	if (e.unanswered > 0 || e.holdRefused) && len(e.runs) > 0 && c.now.Sub(e.leaseSent) > c.opts.MaxLease+clockSlack {
		c.loseRuns(e)
	}
	if e.held && e.unanswered == 0 {
		c.stopUnresolved(e)
	}
	for r := range e.runs.all() {
		if r.task == nil && r.state != runStopping && c.now.Sub(r.unclaimedSince) > claimTimeout {
			c.sendStop(e, r, "no job claims it")
		}
		if r.state == runStopping && c.now.Sub(r.sent) > stopRetryInterval {
			c.sendStop(e, r, r.reason)
		}
	}
}

// stopRetryInterval is the time after which a Stop is sent again if the run has
// not ended.
const stopRetryInterval = 200 * time.Millisecond

func (c *Core) sendStop(e *endpoint, r *run, reason string) {
	r.state = runStopping
	r.sent = c.now
	r.reason = reason
	c.out.Stops = append(c.out.Stops, Stop{Endpoint: e.ID, Address: e.Address, Task: r.id, Run: r.number, Token: e.token, Reason: reason})
}

// stopReply records that an endpoint has received a Stop. The run is then
// listed as ended, unless the endpoint never had it.
func (c *Core) stopReply(in *StopReply) {
	if e := c.endpoints[in.Endpoint]; e != nil && in.Answered {
		e.unresolvedStopped(in.Task, in.Run)
	}
	r := c.runs[in.Task]
	if in.Answered && r != nil && r.number == in.Run && r.endpoint.ID == in.Endpoint && r.state == runStopping {
		r.stopAnswered = c.now
	}
}
