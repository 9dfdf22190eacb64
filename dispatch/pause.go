package dispatch

import "time"

// pauseAfterFull is how long a slot is not used after its endpoint refused a
// task because it was full.
const pauseAfterFull = 100 * time.Millisecond

// pause is a slot that is not used until a given time.
type pause struct {
	executor *executor
	until    time.Time
}

// pauseSlot takes one slot of a full endpoint out of use for a while. Another
// entry uses the slot, which may happen while entries disagree about their
// shares.
func (c *Core) pauseSlot(e *executor) {
	e.pausedSlots++
	c.pauses.Push(pause{executor: e, until: c.now.Add(pauseAfterFull)})
	c.updateTier(e)
}

// endPauses returns slots to use whose pause is over. All pauses have the same
// length, so they end in the order in which they began.
func (c *Core) endPauses() {
	for c.pauses.Len() > 0 && !c.now.Before(c.pauses.First().until) {
		e := c.pauses.First().executor
		c.pauses.Pop()
		e.pausedSlots--
		c.updateTier(e)
	}
}
