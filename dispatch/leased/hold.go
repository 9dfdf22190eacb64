package leased

import (
	"time"

	"lovagespread.example/dispatch/outlier"
)

// Times of holding endpoints.
const (
	// maxHoldWait bounds how long a Hold waits for an end, so that leases are
	// renewed and progress is seen in time.
	maxHoldWait = 300 * time.Millisecond
	minHoldWait = 30 * time.Millisecond
	// acknowledgeAfter is how long an endpoint idles before its last ends are taken
	// note of; the next start often does it sooner.
	acknowledgeAfter = 800 * time.Millisecond
	// claimTimeout is how long a run found on an endpoint waits for the job that
	// it belongs to.
	claimTimeout = 500 * time.Millisecond
	// clockSlack covers the rate of an endpoint's clock (2% slow at most), the
	// way of an order and the time that a stop takes.
	clockSlack = 150 * time.Millisecond
	minBackoff = 100 * time.Millisecond // after a silent call
	maxBackoff = time.Second
	// fencePause is how long a holder waits before it takes an endpoint back.
	fencePause = 300 * time.Millisecond
	// yieldPause is the same for a holder that gives way to others.
	yieldPause = 3 * time.Second
	// lateMargin is added to the expected end of a run before it is looked
	// at for being late.
	lateMargin = 20 * time.Millisecond
	// answerMargin is how long after its wait a Hold should have been answered.
	// Then another one is sent: answers get lost, and ends stay unseen.
	answerMargin = 40 * time.Millisecond
)

// markDirty notes that something has changed at an endpoint.
func (c *Core) markDirty(e *endpoint) {
	if !e.dirty {
		e.dirty = true
		c.dirty = append(c.dirty, e)
	}
}

// raiseMaxFree lets the bound of what is free follow the endpoints that have
// changed.
func (c *Core) raiseMaxFree() {
	for _, e := range c.dirty {
		c.maxFree = max(c.maxFree, e.free().MilliCores)
	}
}

// pollDirty sends the Holds that are due at endpoints that have changed.
// Each Tick looks at all.
func (c *Core) pollDirty() {
	for _, e := range c.dirty {
		e.dirty = false
		if c.endpoints[e.ID] != e {
			continue // forgotten meanwhile
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

// overdue reports whether a Hold in flight should have been answered. A second
// one in a row counts as silence.
func (c *Core) overdue(e *endpoint) bool {
	if c.now.Sub(e.holdSent) < e.holdWait+answerMargin {
		return false
	}
	if e.unanswered == 0 {
		c.countUnanswered(e)
		return true
	}
	return c.now.Sub(e.holdSent) >= e.holdWait+abandonHoldAfter
}

// abandonHoldAfter is how long a Hold to a silent endpoint may stay unanswered
// before it is given up, should nothing tell that it failed.
const abandonHoldAfter = time.Second

func (c *Core) pollIfDue(e *endpoint) {
	switch {
	case !e.held:
		if e.dropped {
			return
		}
		c.sendHold(e, false, 0)
	case e.unanswered > 0:
		c.sendHold(e, false, 0)
	case e.pollWanted:
		e.pollWanted = false
		c.sendHold(e, e.claimed(), 0)
	case len(e.runs) > 0:
		c.sendHold(e, e.claimed(), c.waitFor(e))
	case e.acknowledgeable() > e.acknowledged && c.now.Sub(e.idleSince) >= acknowledgeAfter:
		c.sendHold(e, false, 0)
	}
}

func (c *Core) sendHold(e *endpoint, extend bool, wait time.Duration) {
	e.sequence++
	e.inFlight = true
	e.holdSent = c.now
	e.holdWait = wait
	e.holdSeen = e.acknowledgeable()
	h := Hold{Endpoint: e.ID, Address: e.Address, Sequence: e.sequence, Token: e.token, LastSeen: e.holdSeen, Wait: wait}
	if extend {
		h.Until = e.leaseEnd(c.now, c.opts.MaxLease)
		e.leaseSent = c.now
	}
	c.out.Holds = append(c.out.Holds, h)
}

// claimed reports whether some run belongs to a task. Leases of runs that
// nobody has claimed are not extended: who lost them may count on their end.
func (e *endpoint) claimed() bool {
	for _, r := range e.runs {
		if r.task != nil {
			return true
		}
	}
	return false
}

// waitFor returns how long the next Hold may wait: until the first run is
// overdue, so that a slow run is noticed.
func (c *Core) waitFor(e *endpoint) time.Duration {
	wait := maxHoldWait
	for _, r := range e.runs {
		if r.state == runStopping || r.task == nil {
			wait = min(wait, minHoldWait)
			continue
		}
		due := r.sent.Add(r.expected + r.expected/2 + lateMargin).Sub(c.now)
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
		c.endpointRestarted(e, 0)
		c.countUnanswered(e)
	case HoldUnhealthy:
		e.nextHold = c.now.Add(minBackoff)
		e.pausedUntil = c.now.Add(minBackoff)
	case HoldNotSent, HoldUnanswered:
		c.countUnanswered(e)
	}
}

func (c *Core) holdAnswered(e *endpoint, in *HoldReply) {
	if in.IncarnationStart != 0 && e.Born != 0 && in.IncarnationStart != e.Born {
		c.endpointRestarted(e, in.IncarnationStart)
	}
	if in.IncarnationStart != 0 {
		e.Born = in.IncarnationStart
	}
	if e.unanswered > 1 {
		c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_answers", ""))
	}
	e.unanswered = 0
	e.fencedCount = 0
	e.polledAt = e.holdSent
	e.nextHold = time.Time{}
	e.updateClock(c.now, in.Clock)
	e.acknowledged = max(e.acknowledged, e.holdSeen)
	if !e.held {
		e.held = true
		c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_held", ""))
	}
	for i := range in.Ended {
		c.applyEnded(e, &in.Ended[i])
	}
	if len(e.unreported) > 0 {
		e.nextHold = c.now.Add(unreportedPollPause)
	}
	c.applyRunning(e, in.Running, in.More)
	c.stopUnresolved(e)
	for _, r := range e.runs {
		if r.startUnanswered && r.state == runStarting {
			c.sendStop(e, r, "its start got no answer")
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

// countUnanswered notes a call without an answer. The endpoint gets no new work until it
// answers.
func (c *Core) countUnanswered(e *endpoint) {
	e.unanswered++
	if e.unanswered == 1 {
		return // asked again at once: a single answer may be lost
	}
	if e.unanswered == 2 {
		c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_silent", "two calls in a row got no answer"))
		e.record.Failed(c.now, c.peersOf(e))
	}
	wait := min(minBackoff<<min(e.unanswered-2, 5), maxBackoff)
	e.nextHold = c.now.Add(wait)
}

// fenced gives an endpoint up that obeys another holder. Its runs go on under
// that one.
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
	// Doubling steps pass a holder whose clock is ahead in a few calls.
	e.token = c.opts.NextToken(e.token + int64(1)<<min(e.fencedCount+tokenBits, 40))
	for _, r := range e.runs {
		c.loseRun(e, r)
	}
	e.lastSeen, e.acknowledged, e.unreported = 0, 0, nil
}

// tokenBits is the number of low bits of a token that tell holders apart.
const tokenBits = 10

// loseRun leaves a run to another holder, which is asked for its end.
func (c *Core) loseRun(e *endpoint, r *run) {
	t := r.task
	c.forgetRun(e, r)
	if t == nil {
		c.loseCancelledRun(r.id, e.Cell)
		return
	}
	if t.job.delegated {
		c.answerDelegated(t.job, r.number, EndUnknown, "")
		return
	}
	t.state = waitingTask
	t.notBefore = c.now.Add(c.opts.MaxLease + clockSlack)
	c.findLostRun(t, e.Cell)
	c.enqueue(t.job)
}

// loseCancelledRun leaves a run to another holder whose job was withdrawn: its
// order to stop may have been lost. If the job has come again, or comes again,
// its task waits until that run has ended.
func (c *Core) loseCancelledRun(id TaskID, cell string) {
	c.cancelledTasks[id] = c.now
	t := c.claimant(id)
	if t == nil {
		return
	}
	t.notBefore = later(t.notBefore, c.now.Add(c.opts.MaxLease+clockSlack))
	c.findLostRun(t, cell)
}

// endpointRestarted begins anew with another incarnation of the endpoint. Runs of the
// earlier one are over, but a start may already have reached the new one: the
// next list tells which.
func (c *Core) endpointRestarted(e *endpoint, incarnationStart int64) {
	c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_restarted", "another incarnation answers"))
	if incarnationStart != 0 {
		e.Born = incarnationStart
	}
	e.held = false
	e.lastSeen, e.acknowledged, e.holdSeen, e.unreported = 0, 0, 0, nil
	e.clockAt = time.Time{}
	e.nextHold = time.Time{}
}

// review looks after an endpoint as time passes.
func (c *Core) review(e *endpoint) {
	e.decaySlowness(TickInterval)
	if e.record.Due(c.now) {
		before := e.record.Standing()
		e.record.Review(c.peersOf(e))
		if before == outlier.Ejected {
			c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_probation", "the ejection is over"))
		}
	}
	if e.unanswered > 0 && len(e.runs) > 0 && c.now.Sub(e.leaseSent) > c.opts.MaxLease+clockSlack {
		c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("leases_lapsed", "silent for longer than the lease"))
		for _, r := range e.runs {
			c.endRun(e, r, EndLapsed, "")
		}
	}
	for _, r := range e.runs {
		if r.task == nil && r.state != runStopping && c.now.Sub(r.unclaimedSince) > claimTimeout {
			c.sendStop(e, r, "nobody claims it")
		}
		if r.state == runStopping && c.now.Sub(r.sent) > stopRetryInterval {
			c.sendStop(e, r, r.reason)
		}
	}
}

// stopRetryInterval is the time after which a Stop without effect is sent again.
const stopRetryInterval = 200 * time.Millisecond

func (c *Core) sendStop(e *endpoint, r *run, reason string) {
	r.state = runStopping
	r.sent = c.now
	r.reason = reason
	c.out.Stops = append(c.out.Stops, Stop{Endpoint: e.ID, Address: e.Address, Task: r.id, Run: r.number, Token: e.token, Reason: reason})
}

// stopReply notes that an endpoint has read a Stop. The end follows in its
// list, unless the run never was there.
func (c *Core) stopReply(in *StopReply) {
	r := c.runs[in.Task]
	if in.Answered && r != nil && r.number == in.Run && r.state == runStopping {
		r.stopAnswered = c.now
	}
}
