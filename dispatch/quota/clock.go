// Package quota enforces the rate limits and fair shares of teams.
//
// Under contention each team has a virtual clock for each service. A job
// advances its team's clock by the time that its work would take on the team's
// fair share of the slots. The virtual start time of the job is the value of the
// clock before that. The jobs of a team within its share therefore have a
// virtual start time of now, and the jobs of a team beyond its share one in the
// future, behind those of other teams. Without contention the clocks stay at the
// current time, so that any team may use idle capacity.
package quota

import "time"

// Clock is the virtual clock of one team at one service.
type Clock struct{ virtualTime time.Time }

// maxAhead bounds how far a clock may be ahead of the current time, so that a
// past burst of load does not delay a team's jobs for long.
const maxAhead = 10 * time.Second

// Advance returns the virtual start time of a job with the given work, whose
// team has a fair share of the given number of slots, and advances the clock.
// burst is the time that the clock may be ahead before jobs are delayed.
func (c *Clock) Advance(now time.Time, work time.Duration, share float64, burst time.Duration) time.Time {
	if c.virtualTime.Before(now) {
		c.virtualTime = now
	}
	virtualStart := c.virtualTime.Add(-burst)
	if virtualStart.Before(now) {
		virtualStart = now
	}
	c.virtualTime = c.virtualTime.Add(time.Duration(float64(work) / max(share, minShare)))
	if limit := now.Add(maxAhead); c.virtualTime.After(limit) {
		c.virtualTime = limit
	}
	return virtualStart
}

// minShare is the smallest share, in slots. It avoids a division by zero for a
// team whose weight is zero.
const minShare = 0.01

// Reset sets the clock back to the current time, as if the team had submitted no
// jobs.
func (c *Clock) Reset() { c.virtualTime = time.Time{} }
