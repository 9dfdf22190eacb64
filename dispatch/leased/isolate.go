package leased

import "time"

// isolationWait is how long a suspect waits for an idle endpoint although the
// endpoints are not even half used: all of them run long tasks.
const isolationWait = 1500 * time.Millisecond

// suspect reports whether an endpoint was lost, or has crashed, under a task.
func (t *task) suspect() bool {
	return t.losses > 0 || t.crashes.Crashes > 0 || t.job.suspect
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

// idleAnnounced returns the most free endpoint that another holder has announced
// if it is as large as an idle one here, or nil.
func (c *Core) idleAnnounced(t *task) (*announcement, int) {
	largest := t.step.Demand.MilliCores
	for _, e := range c.endpointList {
		if e.Service == t.job.Service {
			largest = max(largest, e.Capacity.MilliCores)
		}
	}
	var best *announcement
	at := -1
	for n := range c.announced {
		cell := &c.announced[n]
		for i, free := range cell.Free {
			if free >= largest && (best == nil || free > best.Free[at]) {
				best, at = cell, i
			}
		}
	}
	return best, at
}
