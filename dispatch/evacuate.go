package dispatch

import (
	"time"

	"github.com/samber/lo"

	"lovagespread.example/dispatch/evacuation"
	"lovagespread.example/dispatch/place"
	"lovagespread.example/dispatch/queue"
)

// evacuationRetryAfter is the time after which callers may retry a job that was
// refused because of an evacuation. It is longer than the interval of 1 s at which
// balancers check whether an entry is ready, so that the retry reaches an entry of
// another failure domain if there is one.
const evacuationRetryAfter = 2 * time.Second

// setEvacuated applies the requested evacuations. The tiers of the endpoints are
// updated by setEndpoints, which must follow.
func (c *Core) setEvacuated(domains []string, late bool) {
	c.ready.Evacuations = append(c.ready.Evacuations, c.evacuations.Set(c.now, domains, late)...)
}

// advanceEvacuations updates the endpoints of the failure domains that are being
// drained or returned.
func (c *Core) advanceEvacuations() {
	if c.evacuations.Idle() {
		return
	}
	c.ready.Evacuations = append(c.ready.Evacuations, c.evacuations.Advance(c.now)...)
	for _, e := range c.executors {
		if evacuated := !c.Admits(e.domain, e.Name); evacuated != e.evacuated {
			e.evacuated = evacuated
			c.updateTier(e)
		}
	}
}

// isEvacuated reports whether a service has no usable endpoint because of an
// evacuation.
func (c *Core) isEvacuated(s *service) bool {
	if c.evacuations.Idle() || s.pool.Slots() > 0 {
		return false
	}
	return lo.SomeBy(s.pool.All(), func(e *place.Endpoint) bool { return c.executorsByID[e.ID].evacuated })
}

// failNotStarted ends the waiting jobs of an evacuated service of which no task was
// started, so that their callers can submit them elsewhere. The others wait for the
// return of the failure domain; see failWithoutEndpoint.
func (c *Core) failNotStarted(s *service) {
	var started []*queue.Item[*group]
	for s.queue.Len() > 0 {
		item := s.queue.First()
		if j := item.Value.job; !c.ledger.Ran(j.id) {
			c.end(j, evacuatedProblem(s))
			continue
		}
		s.queue.Remove(item)
		started = append(started, item)
	}
	for _, item := range started {
		s.queue.Push(item, item.Key())
	}
}

func evacuatedProblem(s *service) *Problem {
	return notRunProblem(CodeEvacuated, "operators have evacuated the failure domain of all endpoints of service "+s.spec.Name+
		" here: submit again with a new job ID at an entry of another failure domain", evacuationRetryAfter)
}

// EvacuationPhase returns the phase of a failure domain.
func (c *Core) EvacuationPhase(domain string) evacuation.Phase { return c.evacuations.Phase(domain) }

// Admits reports whether a member of a failure domain, an entry or an endpoint, may
// get new work as far as the evacuation of the domain is concerned.
func (c *Core) Admits(domain, name string) bool { return c.evacuations.Admits(c.now, domain, name) }
