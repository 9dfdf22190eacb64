package leased

import (
	"math"
	"time"

	"lovagespread.example/dispatch/placement"
)

// Orders of the queue that the load tests compare.
const (
	Adaptive      = "adaptive" // the order used in production
	ByLatestStart = "latest start"
	NewestFirst   = "newest"
	ByArrival     = "arrival"
)

// QueueOrders lists the orders of the queue.
var QueueOrders = []string{Adaptive, ByLatestStart, NewestFirst, ByArrival}

// SetQueueOrder replaces the order of the queue.
func (c *Core) SetQueueOrder(name string) {
	c.applyPolicy(map[string]Policy{Adaptive: WithoutAdmission, ByLatestStart: EarliestStart, NewestFirst: NewestFirstOrder, ByArrival: ArrivalOrder}[name])
}

// IgnoreLosses makes the core wait for the ends of runs as if no calls were lost.
func (c *Core) IgnoreLosses() { c.loss.ignored = true }

// Placements that the load tests compare.
const (
	BySpeed  = "by speed" // the placement used in production
	Singly   = "singly"   // each task by itself, as while the speeds are equal
	FirstFit = "first fit"
	Oracle   = "oracle" // all speeds and run times are known
)

// SetPlacement replaces the placement. The functions are used by Oracle.
func (c *Core) SetPlacement(name string, speed func(EndpointID) float64, runTime func(TaskID) time.Duration) {
	c.unequal.mode = map[string]placementMode{BySpeed: placeBySpeed, Singly: placeSingly, FirstFit: placeOnFirstFree, Oracle: placeByOracle}[name]
	c.unequal.oracle = runTime
	if name == Oracle {
		for _, e := range c.endpointList {
			e.speed.SetPrior(placement.Prior{Log: math.Log(speed(e.ID)), Variance: 1e-9})
		}
	}
}

// DisableParts makes the core use no part that the settings can switch on. Tests that
// compare a part with its absence rely on no other part, whatever the defaults are.
func (c *Core) DisableParts() {
	c.opts.Recovery, c.opts.DrainLimit, c.opts.Balancing = false, 0, false
	c.applyPolicy(WithoutAdmission)
}

// EnableRecovery makes the core use package recovery.
func (c *Core) EnableRecovery() { c.opts.Recovery, c.opts.DrainLimit = true, 3*time.Second }

// EnableBalancing makes the core measure and move its queue.
func (c *Core) EnableBalancing() { c.opts.Balancing = true }

// Recovering reports whether the core rejects jobs because capacity is missing.
func (c *Core) Recovering() bool { return c.recovery.Active() }

// EnableAdmission makes the core use admission control.
func (c *Core) EnableAdmission() { c.applyPolicy(WithAdmission) }

// EnableAdmissionInEvacuations makes the core use admission control while a failure
// domain is evacuated.
func (c *Core) EnableAdmissionInEvacuations() { c.applyPolicy(AdmissionInEvacuations) }

// PeersOf returns the number of endpoints that count as those of a service.
func (c *Core) PeersOf(service string) int {
	if p := c.peers[service]; p != nil {
		return p.Endpoints
	}
	return 0
}
