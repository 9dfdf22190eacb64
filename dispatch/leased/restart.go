package leased

import "time"

// This file decides when a task may be started again. A run of it may be active
// without being listed here: a delegate or an earlier holder has not said that it is
// over, or another holder has taken over the endpoint. Such a run ends by itself one
// lease after its last renewal, because a holder renews no run that no task claims
// (renewal.go).

const (
	// contactGrace is how long a holder starts tasks for an entry that it no longer
	// hears, and leaves them to delegates. It covers a lost heartbeat: the intervals are
	// 440 ms at most.
	contactGrace = 900 * time.Millisecond
	// delegatorGrace is how long a delegate starts tasks for a delegator that it no
	// longer hears.
	delegatorGrace = 500 * time.Millisecond
)

// ownRunTimeout is the time after its last renewal by this holder after which a run
// is over.
func (c *Core) ownRunTimeout() time.Duration { return c.opts.MaxLease + clockSlack }

// remoteRunTimeout is the time after which a run is over that another holder claims
// for a call that was given up. That holder may not notice it for contactGrace, and may
// have delegated the task: the lease at the delegate ends one claimTime after that.
func (c *Core) remoteRunTimeout() time.Duration {
	return contactGrace + c.claimTime + clockSlack
}

// unseenRun is a run of a task that may be active without being listed here.
type unseenRun struct {
	until    time.Time  // it is over then
	endpoint EndpointID // where it is; empty: unknown
}

// unseenRuns are the tasks with unseen runs. They outlive the jobs of the tasks: a job
// that was cancelled may be submitted again before its runs are over.
type unseenRuns map[TaskID]unseenRun

// add records that a run of a task may be active until a time.
func (u unseenRuns) add(id TaskID, until time.Time, endpoint EndpointID) {
	known, exists := u[id]
	if exists && known.endpoint != endpoint {
		endpoint = ""
	}
	u[id] = unseenRun{later(known.until, until), endpoint}
}

// possible reports whether a run of a task may be active.
func (u unseenRuns) possible(id TaskID, now time.Time) bool { return now.Before(u[id].until) }

// overAt records that no run of a task is active on an endpoint. It settles nothing if the
// endpoint is empty, or the run may be elsewhere.
func (u unseenRuns) overAt(id TaskID, endpoint EndpointID) {
	if known, exists := u[id]; exists && endpoint != "" && known.endpoint == endpoint {
		delete(u, id)
	}
}

// expire removes the runs that are over.
func (u unseenRuns) expire(now time.Time) {
	for id, run := range u {
		if !now.Before(run.until) {
			delete(u, id)
		}
	}
}

// Evidence is why no earlier run of a task is active when the task is started.
type Evidence uint8

// Evidence that the earlier runs of a task are over.
const (
	EvidenceFirstRun     Evidence = iota // this holder knows of no earlier run
	EvidenceListed                       // the endpoint has listed the run as ended
	EvidenceRefused                      // the endpoint has refused the only copy of the Start
	EvidenceVanished                     // the endpoint lists a run no longer that it had, or had been told to stop
	EvidenceLeaseExpired                 // the endpoint was unresponsive for longer than the lease
	EvidenceDelegate                     // the delegate has said so
	EvidenceElapsed                      // a run that was not seen is over by now
	EvidenceOnlyHolder                   // no other holder had the job before, and its runs here are listed as ended
)

// String returns the name of the evidence in logs.
func (e Evidence) String() string {
	return [...]string{"first_run", "listed", "refused", "vanished", "lease_expired", "delegate", "elapsed", "only_holder"}[e]
}
