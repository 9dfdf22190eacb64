package place

import (
	"math/rand/v2"

	"lovagespread.example/catalog"
)

// Reason tells why an endpoint was chosen.
type Reason uint8

// Reasons for choosing an endpoint.
const (
	LeastLoaded Reason = iota
	OnlyEligible
	SpreadRacks
)

// Request describes a task that needs an endpoint.
type Request struct {
	Needs catalog.Resources
	// Avoid is an endpoint that the task must not go to, or nil.
	Avoid *Endpoint
}

// Picker chooses endpoints.
type Picker interface {
	// Pick returns an endpoint for the task, or nil if the task has to wait.
	Pick(p *Pool, r Request, rng *rand.Rand) (*Endpoint, Reason)
	// LateBinding reports whether a task waits until an endpoint has a free slot.
	// Otherwise it is sent at once and queues at its endpoint.
	LateBinding() bool
}

// Spread draws two endpoints at random among those of the best tier that have the
// fewest running tasks, and chooses the one in the less utilized rack.
type Spread struct{}

// LateBinding implements Picker.
func (Spread) LateBinding() bool { return true }

// Pick implements Picker.
func (Spread) Pick(p *Pool, r Request, rng *rand.Rand) (*Endpoint, Reason) {
	for t := range p.tiers {
		if p.tiers[t].count == 0 {
			continue
		}
		if e, reason := p.tiers[t].pick(p, r, rng); e != nil {
			if p.available == 1 {
				reason = OnlyEligible
			}
			return e, reason
		}
	}
	return nil, OnlyEligible
}

func (t *tierIndex) pick(p *Pool, r Request, rng *rand.Rand) (*Endpoint, Reason) {
	for _, level := range t.byLoad {
		if len(level) == 0 {
			continue
		}
		if e, reason := pickFrom(level, p, r, rng); e != nil {
			return e, reason
		}
	}
	return nil, OnlyEligible
}

// pickFrom chooses among endpoints of the same tier and load.
func pickFrom(candidates []*Endpoint, p *Pool, r Request, rng *rand.Rand) (*Endpoint, Reason) {
	first := candidates[rng.IntN(len(candidates))]
	second := candidates[rng.IntN(len(candidates))]
	if !r.accepts(first, p) || !r.accepts(second, p) {
		return firstAccepted(candidates, p, r, rng), LeastLoaded
	}
	switch a, b := first.Rack.utilization(), second.Rack.utilization(); {
	case a < b:
		return first, SpreadRacks
	case b < a:
		return second, SpreadRacks
	default:
		return first, LeastLoaded
	}
}

// firstAccepted returns the first candidate that can take the task, starting
// from a random position, or nil.
func firstAccepted(candidates []*Endpoint, p *Pool, r Request, rng *rand.Rand) *Endpoint {
	offset := rng.IntN(len(candidates))
	for i := range candidates {
		e := candidates[(offset+i)%len(candidates)]
		if r.accepts(e, p) {
			return e
		}
	}
	return nil
}

// accepts reports whether an available endpoint can take the task.
func (r *Request) accepts(e *Endpoint, p *Pool) bool {
	if e == r.Avoid {
		return false
	}
	return r.Needs == p.Needs || e.Worker.Fits(r.Needs)
}

// Random sends each task at once to a random endpoint.
type Random struct{}

// LateBinding implements Picker.
func (Random) LateBinding() bool { return false }

// Pick implements Picker.
func (Random) Pick(p *Pool, _ Request, rng *rand.Rand) (*Endpoint, Reason) {
	return p.randomEndpoint(rng), LeastLoaded
}

// TwoChoices sends each task at once to the less loaded of two random endpoints.
type TwoChoices struct{}

// LateBinding implements Picker.
func (TwoChoices) LateBinding() bool { return false }

// Pick implements Picker.
func (TwoChoices) Pick(p *Pool, _ Request, rng *rand.Rand) (*Endpoint, Reason) {
	a, b := p.randomEndpoint(rng), p.randomEndpoint(rng)
	if b != nil && (a == nil || b.Running < a.Running) {
		return b, LeastLoaded
	}
	return a, LeastLoaded
}

// randomEndpoint returns a random endpoint that is not excluded, or nil.
func (p *Pool) randomEndpoint(rng *rand.Rand) *Endpoint {
	if len(p.all) == 0 {
		return nil
	}
	offset := rng.IntN(len(p.all))
	for i := range p.all {
		if e := p.all[(offset+i)%len(p.all)]; e.Tier != Excluded {
			return e
		}
	}
	return nil
}
