package leased

import (
	"time"

	"lovagespread.example/dispatch/outlier"
)

// Times of holding endpoints.
const (
	// longestWait bounds how long a Hold waits for an end, so that leases are
	// renewed and progress is seen in time.
	longestWait  = 300 * time.Millisecond
	shortestWait = 30 * time.Millisecond
	// noteAfter is how long an endpoint idles before its last ends are taken
	// note of; the next start often does it sooner.
	noteAfter = 800 * time.Millisecond
	// claimTime is how long a run found on an endpoint waits for the job that
	// it belongs to.
	claimTime = 500 * time.Millisecond
	// clockSlack covers the rate of an endpoint's clock (2% slow at most), the
	// way of an order and the time that a stop takes.
	clockSlack = 150 * time.Millisecond
	firstPause = 100 * time.Millisecond // after a silent call
	maxPause   = time.Second
	// fencePause is how long a holder waits before it takes an endpoint back.
	fencePause = 300 * time.Millisecond
	// yieldPause is the same for a holder that gives way to others.
	yieldPause = 3 * time.Second
	// expectedMargin is added to the expected end of a run before it is looked
	// at for being late.
	expectedMargin = 20 * time.Millisecond
	// answerTime is how long after its wait a Hold should have been answered.
	// Then another one is sent: answers get lost, and ends stay unseen.
	answerTime = 40 * time.Millisecond
)

// touch notes that something has changed at an endpoint.
func (c *Core) touch(e *endpoint) {
	if !e.touched {
		e.touched = true
		c.touched = append(c.touched, e)
	}
}

// raiseBound lets the bound of what is free follow the endpoints that have
// changed.
func (c *Core) raiseBound() {
	for _, e := range c.touched {
		c.bound = max(c.bound, e.free().MilliCores)
	}
}

// holdTouched sends the Holds that are due at endpoints that have changed.
// Each Tick looks at all.
func (c *Core) holdTouched() {
	for _, e := range c.touched {
		e.touched = false
		if c.endpoints[e.ID] != e {
			continue // forgotten meanwhile
		}
		if e.inFlight && !c.overdue(e) {
			continue
		}
		if c.now.Before(e.nextHold) {
			continue
		}
		c.holdIfDue(e)
	}
	c.touched = c.touched[:0]
}

// overdue reports whether a Hold in flight should have been answered. A second
// one in a row counts as silence.
func (c *Core) overdue(e *endpoint) bool {
	if c.now.Sub(e.holdSent) < e.holdWait+answerTime {
		return false
	}
	if e.silent == 0 {
		c.pause(e)
		return true
	}
	return c.now.Sub(e.holdSent) >= e.holdWait+silentTime
}

// silentTime is how long a Hold to a silent endpoint may stay unanswered
// before it is given up, should nothing tell that it failed.
const silentTime = time.Second

func (c *Core) holdIfDue(e *endpoint) {
	switch {
	case !e.held:
		if e.dropped {
			return
		}
		c.hold(e, false, 0)
	case e.silent > 0:
		c.hold(e, false, 0)
	case e.wantLook:
		e.wantLook = false
		c.hold(e, e.claimed(), 0)
	case len(e.runs) > 0:
		c.hold(e, e.claimed(), c.waitFor(e))
	case e.noteable() > e.noted && c.now.Sub(e.idleFrom) >= noteAfter:
		c.hold(e, false, 0)
	}
}

func (c *Core) hold(e *endpoint, extend bool, wait time.Duration) {
	e.sequence++
	e.inFlight = true
	e.holdSent = c.now
	e.holdWait = wait
	e.holdSeen = e.noteable()
	h := Hold{Endpoint: e.ID, Address: e.Address, Sequence: e.sequence, Token: e.token, LastSeen: e.holdSeen, Wait: wait}
	if extend {
		h.Until = e.until(c.now, c.opts.MaxLease)
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
	wait := longestWait
	for _, r := range e.runs {
		if r.state == stopping || r.task == nil {
			wait = min(wait, shortestWait)
			continue
		}
		due := r.sent.Add(r.expects + r.expects/2 + expectedMargin).Sub(c.now)
		if due > 0 {
			wait = min(wait, due)
		}
	}
	return max(wait, shortestWait)
}

func (c *Core) holdReply(in *HoldReply) {
	e := c.endpoints[in.Endpoint]
	if e == nil || in.Sequence != e.sequence {
		return
	}
	e.inFlight = false
	c.touch(e)
	switch in.Result {
	case HoldAnswered:
		c.heldAnswered(e, in)
	case HoldFenced:
		c.fenced(e)
	case HoldOtherLife:
		c.reborn(e, 0)
		c.pause(e)
	case HoldUnhealthy:
		e.nextHold = c.now.Add(firstPause)
		e.pausedTo = c.now.Add(firstPause)
	case HoldNotSent, HoldUnanswered:
		c.pause(e)
	}
}

func (c *Core) heldAnswered(e *endpoint, in *HoldReply) {
	if in.Born != 0 && e.Born != 0 && in.Born != e.Born {
		c.reborn(e, in.Born)
	}
	if in.Born != 0 {
		e.Born = in.Born
	}
	if e.silent > 1 {
		c.out.Notes = append(c.out.Notes, e.note("endpoint_answers", ""))
	}
	e.silent = 0
	e.fences = 0
	e.looked = e.holdSent
	e.nextHold = time.Time{}
	e.learnClock(c.now, in.Clock)
	e.noted = max(e.noted, e.holdSeen)
	if !e.held {
		e.held = true
		c.out.Notes = append(c.out.Notes, e.note("endpoint_held", ""))
	}
	for i := range in.Ended {
		c.ended(e, &in.Ended[i])
	}
	if len(e.unreported) > 0 {
		e.nextHold = c.now.Add(reportPause)
	}
	c.listed(e, in.Running, in.More)
	c.stopUnresolved(e)
	for _, r := range e.runs {
		if r.mute && r.state == starting {
			c.stop(e, r, "its start got no answer")
		}
		c.judge(e, r)
	}
	if len(e.runs) == 0 && e.idleFrom.Before(c.now) {
		e.idleFrom = c.now
	}
	if e.dropped {
		c.forgetDropped()
	}
}

// pause notes a call without an answer. The endpoint gets no new work until it
// answers.
func (c *Core) pause(e *endpoint) {
	e.silent++
	if e.silent == 1 {
		return // asked again at once: a single answer may be lost
	}
	if e.silent == 2 {
		c.out.Notes = append(c.out.Notes, e.note("endpoint_silent", "two calls in a row got no answer"))
		e.record.Failed(c.now, c.peersOf(e))
	}
	wait := min(firstPause<<min(e.silent-2, 5), maxPause)
	e.nextHold = c.now.Add(wait)
}

// fenced gives an endpoint up that obeys another holder. Its runs go on under
// that one.
func (c *Core) fenced(e *endpoint) {
	wasHeld := e.held
	e.held = false
	e.fences++
	yields := c.opts.Yields(e.Cell)
	c.out.Notes = append(c.out.Notes, e.note("endpoint_fenced", "another holder has a higher token"))
	if wasHeld || yields {
		pause := fencePause
		if yields {
			pause = yieldPause
		}
		e.nextHold = c.now.Add(pause)
	}
	// Doubling steps pass a holder whose clock is ahead in a few calls.
	e.token = c.opts.NextToken(e.token + int64(1)<<min(e.fences+tokenBits, 40))
	for _, r := range e.runs {
		c.loseRun(e, r)
	}
	e.lastSeen, e.noted, e.unreported = 0, 0, nil
}

// tokenBits is the number of low bits of a token that tell holders apart.
const tokenBits = 10

// loseRun leaves a run to another holder, which is asked for its end.
func (c *Core) loseRun(e *endpoint, r *run) {
	t := r.task
	c.forgetRun(e, r)
	if t == nil {
		c.loseWithdrawn(r.id, e.Cell)
		return
	}
	if t.job.guest {
		c.endGuest(t.job, r.number, EndUnknown, "")
		return
	}
	t.state = waitingTask
	t.notBefore = c.now.Add(c.opts.MaxLease + clockSlack)
	c.seek(t, e.Cell)
	c.wait(t.job)
}

// loseWithdrawn leaves a run to another holder whose job was withdrawn: its
// order to stop may have been lost. If the job has come again, or comes again,
// its task waits until that run has ended.
func (c *Core) loseWithdrawn(id TaskID, cell string) {
	c.withdrawn[id] = c.now
	t := c.claimant(id)
	if t == nil {
		return
	}
	t.notBefore = later(t.notBefore, c.now.Add(c.opts.MaxLease+clockSlack))
	c.seek(t, cell)
}

// reborn begins anew with another incarnation of the endpoint. Runs of the
// earlier one are over, but a start may already have reached the new one: the
// next list tells which.
func (c *Core) reborn(e *endpoint, born int64) {
	c.out.Notes = append(c.out.Notes, e.note("endpoint_restarted", "another incarnation answers"))
	if born != 0 {
		e.Born = born
	}
	e.held = false
	e.lastSeen, e.noted, e.holdSeen, e.unreported = 0, 0, 0, nil
	e.clockAt = time.Time{}
	e.nextHold = time.Time{}
}

// review looks after an endpoint as time passes.
func (c *Core) review(e *endpoint) {
	e.forgetSlowness(TickInterval)
	if e.record.ReviewDue(c.now) {
		before := e.record.Health()
		e.record.Review(c.peersOf(e))
		if before == outlier.Ejected {
			c.out.Notes = append(c.out.Notes, e.note("endpoint_probation", "the ejection is over"))
		}
	}
	if e.silent > 0 && len(e.runs) > 0 && c.now.Sub(e.leaseSent) > c.opts.MaxLease+clockSlack {
		c.out.Notes = append(c.out.Notes, e.note("leases_lapsed", "silent for longer than the lease"))
		for _, r := range e.runs {
			c.endRun(e, r, EndLapsed, "")
		}
	}
	for _, r := range e.runs {
		if r.task == nil && r.state != stopping && c.now.Sub(r.seen) > claimTime {
			c.stop(e, r, "nobody claims it")
		}
		if r.state == stopping && c.now.Sub(r.sent) > stopRetry {
			c.stop(e, r, r.reason)
		}
	}
}

// stopRetry is the time after which a Stop without effect is sent again.
const stopRetry = 200 * time.Millisecond

func (c *Core) stop(e *endpoint, r *run, reason string) {
	r.state = stopping
	r.sent = c.now
	r.reason = reason
	c.out.Stops = append(c.out.Stops, Stop{Endpoint: e.ID, Address: e.Address, Task: r.id, Run: r.number, Token: e.token, Reason: reason})
}

// stopReply notes that an endpoint has read a Stop. The end follows in its
// list, unless the run never was there.
func (c *Core) stopReply(in *StopReply) {
	r := c.runs[in.Task]
	if in.Answered && r != nil && r.number == in.Run && r.state == stopping {
		r.stopped = c.now
	}
}
