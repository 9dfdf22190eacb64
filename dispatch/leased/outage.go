package leased

import "time"

const (
	// returnedWait is the time from which on a caller that has waited before its job
	// reached this holder counts as delayed by an outage. Without an outage, a job
	// reaches its holder within a few milliseconds.
	returnedWait = 50 * time.Millisecond
	// returnTime is how long after its first cell a holder counts arriving jobs as
	// delayed by an outage. It covers the longest backoff of entries that look for a
	// holder (120 ms) and the interval of the heartbeats that announce one (110 ms).
	returnTime = 300 * time.Millisecond
)

// recovers reports whether capacity is being recovered. A holder that has just got
// its first cell recovers before the next Tick shows it.
func (c *Core) recovers() bool {
	return c.opts.Recovery && (c.recovery.Active() || c.now.Sub(c.firstHeldAt) < returnTime)
}

// leftByOutage reports whether a job belongs to the backlog that a loss of capacity
// has left, while that is recovered: it was waiting when the loss was noticed, or
// its caller has waited for a holder or has returned. Such jobs arrive all at once
// and tell nothing about the demand that will last.
func (c *Core) leftByOutage(j *job) bool {
	if !c.recovers() {
		return false
	}
	return j.Resubmitted || j.Waited >= returnedWait ||
		j.arrived.Before(c.recovery.Since()) || j.arrived.Before(c.firstHeldAt.Add(returnTime))
}

// countsForAdmission reports whether admission control counts an endpoint as
// capacity. During a recovery, those that are not held yet may change hands again.
func (c *Core) countsForAdmission(e *endpoint) bool {
	return c.countsAsCapacity(e) && (e.answers() || !c.recovers())
}
