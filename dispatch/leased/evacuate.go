package leased

import (
	"time"
)

// setEvacuations applies the list of failure domains that operators have
// evacuated.
func (c *Core) setEvacuations(in *SetEvacuations) {
	c.out.DomainChanges = append(c.out.DomainChanges, c.evacuations.Set(c.now, in.Domains, in.Late)...)
	c.applyEvacuations()
}

// advanceEvacuations drains or returns a few more endpoints as time passes.
func (c *Core) advanceEvacuations() {
	if c.evacuations.Idle() {
		return
	}
	c.out.DomainChanges = append(c.out.DomainChanges, c.evacuations.Advance(c.now)...)
	c.applyEvacuations()
}

// applyEvacuations marks the endpoints that get no new tasks, and returns the
// queue if none is left.
func (c *Core) applyEvacuations() {
	for _, e := range c.endpointList {
		e.evacuated = !c.evacuations.Admits(c.now, e.FailureDomain, string(e.ID))
	}
	c.returnQueue()
}

// evacuatedOnly reports whether all held endpoints are evacuated.
func (c *Core) evacuatedOnly() bool {
	if c.evacuations.Idle() || len(c.endpointList) == 0 {
		return false
	}
	for _, e := range c.endpointList {
		if !e.evacuated && !e.dropped {
			return false
		}
	}
	return true
}

// cannotServe reports whether this core can start no task until it is assigned
// other endpoints, or its failure domain is returned to service.
func (c *Core) cannotServe() bool { return c.HoldsNoCell() || c.evacuatedOnly() }

// DomainShares returns, for each failure domain that is not fully in service, the
// share of its endpoints that may get tasks.
func (c *Core) DomainShares(now time.Time) map[string]float64 { return c.evacuations.Shares(now) }
