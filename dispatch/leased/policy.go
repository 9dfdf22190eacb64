package leased

import "cmp"

// Policy selects how jobs are ordered and admitted. Those after
// AdmissionInEvacuations are baselines for comparisons.
type Policy uint8

// Policies.
const (
	// WithoutAdmission rejects a job only when its own deadline cannot be met. In
	// overload, the newest job goes first.
	WithoutAdmission       Policy = iota
	WithAdmission                 // rejects the cheapest jobs while capacity is short
	AdmissionInEvacuations        // does so only while a failure domain is evacuated or returns
	ArrivalOrder                  // of all jobs, including those that have begun or are late
	EarliestDue                   // answers that are due first go first
	EarliestStart                 // jobs that must start first go first
	NewestFirstOrder              // jobs that arrived last go first
)

// String returns the name of the policy in tables.
func (p Policy) String() string {
	return [...]string{"previous", "admission", "admission in evacuations", "FIFO", "EDF", "latest start", "newest first"}[p]
}

// applyPolicy sets the order of the queue.
func (c *Core) applyPolicy(p Policy) {
	c.admission.disabled = p != WithAdmission && p != AdmissionInEvacuations
	c.admission.onlyInEvacuations = p == AdmissionInEvacuations
	c.fixedOrder = p > AdmissionInEvacuations
	switch p {
	case ArrivalOrder:
		c.waiting.orders = [classes]order{byArrival, byArrival, byArrival}
	case EarliestDue:
		c.waiting.orders[freshClass] = byDue
	case NewestFirstOrder:
		c.waiting.orders[freshClass] = byNewest
	}
}

func byDue(a, b *job) int {
	return cmp.Or(a.due.Compare(b.due), cmp.Compare(a.ID, b.ID))
}
