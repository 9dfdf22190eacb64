package dispatch

import "time"

// pauseAfterFull is how long a slot that was found in use is left alone.
const pauseAfterFull = 100 * time.Millisecond

// pause is a slot that is left alone for a while.
type pause struct {
	executor *executor
	until    time.Time
}

// pauseSlot spares a full endpoint. Its slots are in use by another entry,
// which may happen while entries disagree about their shares.
func (c *Core) pauseSlot(e *executor) {
	e.pausedSlots++
	c.pauses.Push(pause{executor: e, until: c.now.Add(pauseAfterFull)})
	c.updateTier(e)
}

// endPauses offers slots again. All pauses are equally long, so that they end
// in the order in which they began.
func (c *Core) endPauses() {
	for c.pauses.Len() > 0 && !c.now.Before(c.pauses.First().until) {
		e := c.pauses.First().executor
		c.pauses.Pop()
		e.pausedSlots--
		c.updateTier(e)
	}
}
