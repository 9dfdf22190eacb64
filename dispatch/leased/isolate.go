package leased

import "time"

// isolationWait is how long a suspect waits for an idle endpoint although the
// endpoints are not even half used: all of them run long tasks.
const isolationWait = 1500 * time.Millisecond

// suspect reports whether an endpoint was lost, or has crashed, under a task.
func (t *task) suspect() bool {
	return t.losses > 0 || t.crashes.Total() > 0 || t.job.suspect
}

// mayRunBeside reports whether a task may run beside the runs of an endpoint. A
// suspect runs alone, so that it takes down no other task and a further crash
// shows whether it is the cause. Under load it waits until an endpoint is idle.
func (c *Core) mayRunBeside(t *task, e *endpoint) bool {
	if !t.suspect() || len(e.runs) == 0 {
		return true
	}
	return e.suspects == 0 && c.now.Sub(t.lostAt) > isolationWait && c.now.Sub(c.loadedAt) > isolationWait
}

// measureLoad records whether less than half of the usable capacity is idle.
func (c *Core) measureLoad() {
	used, capacity := 0, 0
	for _, e := range c.endpointList {
		if e.usable(c.now) {
			used += e.used.MilliCores
			capacity += e.Capacity.MilliCores
		}
	}
	if 2*used >= capacity {
		c.loadedAt = c.now
	}
}

// announcedForSuspect returns an endpoint that another holder has announced for a
// suspect: one that looks idle or, once the suspect has waited, one with room for
// it twice over. It returns nil if there is none.
func (c *Core) announcedForSuspect(t *task) (*announcement, int) {
	demand := t.step.Demand.MilliCores
	mayShare := c.sharesElsewhere(t)
	var best *announcement
	at := -1
	for n := range c.announced {
		cell := &c.announced[n]
		if t.wasRefusedBy(cell.Cell) {
			continue
		}
		for i, free := range cell.Free {
			suits := free >= demand && c.isCapacity(t, free) || mayShare && free >= 2*demand
			if suits && (best == nil || free > best.Free[at]) {
				best, at = cell, i
			}
		}
	}
	return best, at
}

// sharesElsewhere reports whether a suspect has waited so long for an idle
// endpoint that it may run beside others at another holder, which has more room.
func (c *Core) sharesElsewhere(t *task) bool {
	return t.suspect() && c.now.Sub(t.lostAt) > isolationWait
}

// isCapacity reports whether a free capacity is the whole capacity of an endpoint,
// as far as those held here tell.
func (c *Core) isCapacity(t *task, milliCores int) bool {
	if c.HoldsNoCell() {
		return true
	}
	for _, e := range c.endpointList {
		if e.Service == t.job.Service && e.Capacity.MilliCores == milliCores {
			return true
		}
	}
	return false
}
