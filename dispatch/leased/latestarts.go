package leased

import (
	"slices"
	"time"
)

// A Start without a reply may be executed seconds later. On the incarnation that it was
// sent to, the end of its lease bounds that; another incarnation under the same ID has
// another clock, and has seen no token. So a run with such a copy is not over with its
// lease while the endpoint is silent, but when no incarnation can execute the copy.

// maxRequestDelay is the time after its sending within which a request without a
// reply may still be executed.
const maxRequestDelay = 13 * time.Second

// hasUnansweredCopy reports whether a copy of the run's Start got no reply. A run that
// was sent once and is listed was started by that copy.
func (r *run) hasUnansweredCopy() bool {
	return r.tries > 1 || r.tries == 1 && r.confirmed.IsZero()
}

// mayStartLate reports whether a copy of a run's Start may still be executed, possibly
// by another incarnation.
func (c *Core) mayStartLate(e *endpoint, r *run) bool {
	return r.hasUnansweredCopy() && !r.misdirected && !e.keepsAwayStartsOf(r) && c.now.Sub(r.began) <= maxRequestDelay
}

// keepsAwayStartsOf reports whether the endpoint has listed its runs under a higher
// token than that of a run's Starts. It refuses all copies that arrive later.
func (e *endpoint) keepsAwayStartsOf(r *run) bool { return r.tries > 0 && r.token < e.listedToken }

// keepLateStartsAway takes a new token, so that the next answered Hold shows that no copy
// of an earlier Start can be executed any more.
func (c *Core) keepLateStartsAway(e *endpoint) {
	if e.token == e.listedToken {
		e.token = c.opts.NextToken(e.token)
	}
}

// awaitLateStart lets the task of a run that is given up wait while a copy of the run's
// Start may be executed.
func (c *Core) awaitLateStart(e *endpoint, r *run) {
	if c.mayStartLate(e, r) {
		c.unseen.add(r.id, r.began.Add(maxRequestDelay), e.Cell)
	}
}

// noteMisdirected records that another endpoint has an address. It refuses all copies of
// the Starts that were sent there.
func (e *endpoint) noteMisdirected(address string) {
	for _, r := range e.runs {
		if r.address == address {
			r.misdirected = true
		}
	}
}

// unresolvedStart is a Start that may still be executed.
type unresolvedStart struct {
	task      TaskID
	run       int
	sent      time.Time
	stoppedAt time.Time // when the newest Stop was sent; zero: none
}

// stopUnresolved stops the runs of Starts that were given up, before the Starts
// are executed. An endpoint refuses a run that was stopped before it started. The Stops
// are repeated until they are answered.
func (c *Core) stopUnresolved(e *endpoint) {
	e.unresolvedStarts = slices.DeleteFunc(e.unresolvedStarts, func(u unresolvedStart) bool {
		return c.now.Sub(u.sent) > maxRequestDelay || c.runs[u.task] != nil && c.runs[u.task].endpoint == e
	})
	for i := range e.unresolvedStarts {
		u := &e.unresolvedStarts[i]
		if c.now.Sub(u.stoppedAt) <= stopRetryInterval {
			continue
		}
		u.stoppedAt = c.now
		c.out.Stops = append(c.out.Stops, Stop{
			Endpoint: e.ID, Address: e.Address, Task: u.task, Run: u.run, Token: e.token, Reason: "its start was given up without a reply",
		})
	}
}

// unresolvedStopped records that an endpoint has received a Stop.
func (e *endpoint) unresolvedStopped(task TaskID, run int) {
	e.unresolvedStarts = slices.DeleteFunc(e.unresolvedStarts, func(u unresolvedStart) bool {
		return u.task == task && u.run == run
	})
}
