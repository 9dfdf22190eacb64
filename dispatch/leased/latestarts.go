package leased

import (
	"slices"
	"time"
)

// maxRequestDelay is the time after its sending within which a request without a
// reply may still be executed.
const maxRequestDelay = 13 * time.Second

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
