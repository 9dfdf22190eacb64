package leased

import "time"

// crashEvidenceTimeout is how long an endpoint that was lost with its runs is
// watched for another incarnation. An endpoint that has crashed is back earlier.
const crashEvidenceTimeout = 5 * time.Second

// lostRun is a run whose endpoint did not answer for longer than the lease. The
// endpoint has crashed, or it was cut off and has ended the run itself.
type lostRun struct {
	task  TaskID
	run   int
	alone bool // no other run was on the endpoint
}

// loseRuns ends the runs of an endpoint that has not answered for longer than
// their lease.
func (c *Core) loseRuns(e *endpoint) {
	c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("leases_lapsed", "unresponsive for longer than the lease"))
	e.lostAt = c.now
	alone := len(e.runs) == 1
	for _, r := range e.runs {
		c.loseWithEndpoint(e, r, alone)
	}
}

// loseWithEndpoint ends a run that was lost with its endpoint.
func (c *Core) loseWithEndpoint(e *endpoint, r *run, alone bool) {
	lost := lostRun{task: r.id, run: r.number, alone: alone}
	restarted := r.restarted
	c.endRun(e, r, EndEndpointLost, "")
	if restarted {
		c.crashed(e, lost)
		return
	}
	e.lostRuns = append(e.lostRuns, lost)
}

// endpointCrashed attributes the crash of an endpoint to the runs that were lost
// with it. An endpoint that has announced its end ends its runs without a crash.
func (c *Core) endpointCrashed(e *endpoint) {
	for _, lost := range e.lostRuns {
		c.crashed(e, lost)
	}
	e.lostRuns = nil
	for _, r := range e.runs {
		r.restarted = !e.Leaving
	}
}

// crashed records that an endpoint has crashed under a run.
func (c *Core) crashed(e *endpoint, lost lostRun) {
	if e.Leaving {
		return
	}
	c.out.Crashes = append(c.out.Crashes, Crash{Endpoint: e.ID, Task: lost.task, Run: lost.run, Alone: lost.alone})
}

// awaitsEvidence reports whether an endpoint is watched for another incarnation.
func (e *endpoint) awaitsEvidence(now time.Time) bool {
	return len(e.lostRuns) > 0 && now.Sub(e.lostAt) < crashEvidenceTimeout
}
