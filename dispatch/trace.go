package dispatch

import "time"

// trace is a request that several jobs serve.
type trace struct {
	arrived time.Time
	jobs    int // not ended
}

// joinTrace adds a job to its trace and returns the arrival time of the trace's
// first job: a nested job is as urgent as the request that waits for it.
func (c *Core) joinTrace(name string) time.Time {
	if name == "" {
		return c.now
	}
	t := c.traces[name]
	if t == nil {
		t = &trace{arrived: c.now}
		c.traces[name] = t
	}
	t.jobs++
	return t.arrived
}

func (c *Core) leaveTrace(name string) {
	t := c.traces[name]
	if t == nil {
		return
	}
	t.jobs--
	if t.jobs == 0 {
		delete(c.traces, name)
	}
}
