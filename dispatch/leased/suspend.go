package leased

import (
	"slices"
	"time"
)

// suspension is how long a task under which endpoints were lost waits to learn
// whether they have crashed. Most endpoints are back earlier.
const suspension = 4 * time.Second

// endpointLost decides when a task whose endpoint was lost is started again. If
// it may have crashed several endpoints, it waits until that is known, unless its
// caller would not wait so long: more often the endpoints are cut off or hang.
func (c *Core) endpointLost(t *task) {
	t.losses++
	t.lostAt = c.now
	j := t.job
	j.failed = true
	hasTime := j.Stored || c.now.Add(suspension+c.expectedRunTime(j)).Before(j.expires)
	if hasTime && t.crashes.MayBeGuilty(t.losses) {
		c.suspend(t)
		return
	}
	c.enqueue(j)
}

// suspend lets a task wait until it is known why its endpoints were lost.
func (c *Core) suspend(t *task) {
	t.state = suspended
	t.suspendedUntil = c.now.Add(suspension)
	c.suspended = append(c.suspended, t)
}

// resumeIfCleared starts a suspended task again unless it may have crashed
// several endpoints.
func (c *Core) resumeIfCleared(t *task) {
	if t.state == suspended && !t.crashes.MayBeGuilty(t.losses) {
		c.resume(t)
	}
}

func (c *Core) resume(t *task) {
	t.state = waitingTask
	c.enqueue(t.job)
}

// resumeSuspended starts the tasks again whose suspension is over.
func (c *Core) resumeSuspended() {
	c.suspended = slices.DeleteFunc(c.suspended, func(t *task) bool {
		if t.state != suspended {
			return true
		}
		if c.now.Before(t.suspendedUntil) {
			return false
		}
		c.resume(t)
		return true
	})
}
