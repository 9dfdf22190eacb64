// Package quota gives teams their shares.
//
// Under contention each team has a virtual clock for each service. A job's
// work moves its team's clock on by the time that the work would take on the
// team's fair share of the slots; a job's turn is the clock before it. A team
// within its share so has its turn at once, and a team beyond it gets turns
// in the future, behind everybody else's. Without contention the clocks stand
// at the current time: idle capacity is free for all.
package quota

import "time"

// Clock is the virtual clock of one team at one service.
type Clock struct{ virtualTime time.Time }

// maxAhead bounds how far a clock may be ahead, so that a flood that is over
// is soon forgotten.
const maxAhead = 10 * time.Second

// Advance returns the turn of a job with the given work, whose team owns a fair
// share of slots, and moves the clock on. burst is the time that a team may
// be ahead of its share without losing its turn.
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

// minShare keeps the division defined for a team without weight, in slots.
const minShare = 0.01

// Reset sets the clock to the present, as if the team had asked for nothing.
func (c *Clock) Reset() { c.virtualTime = time.Time{} }
