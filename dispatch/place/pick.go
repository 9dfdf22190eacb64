package place

import (
	"math/rand/v2"

	"lovagespread.example/catalog"
)

// Reason is why an endpoint was chosen.
type Reason uint8

// Reasons.
const (
	LeastLoaded Reason = iota
	OnlyEligible
	SpreadRacks
)

// Request is the task that needs an endpoint.
type Request struct {
	Needs catalog.Resources
	// Avoid is an endpoint that the task must not go to, or nil.
	Avoid *Endpoint
}

// Picker chooses endpoints.
type Picker interface {
	// Pick returns an endpoint for the task, or nil if it has to wait.
	Pick(p *Pool, r Request, rng *rand.Rand) (*Endpoint, Reason)
	// LateBinding reports whether a task waits for a free slot. Otherwise it is sent
	// at once and queues at its endpoint.
	LateBinding() bool
}

// Spread takes an endpoint with the fewest running tasks; of two such ones
// drawn at random, the one in the emptier rack.
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

func (t *tier) pick(p *Pool, r Request, rng *rand.Rand) (*Endpoint, Reason) {
	for _, level := range t.levels {
		if len(level) == 0 {
			continue
		}
		if e, reason := pickOf(level, p, r, rng); e != nil {
			return e, reason
		}
	}
	return nil, OnlyEligible
}

func pickOf(level []*Endpoint, p *Pool, r Request, rng *rand.Rand) (*Endpoint, Reason) {
	first := level[rng.IntN(len(level))]
	second := level[rng.IntN(len(level))]
	if !r.suits(first, p) || !r.suits(second, p) {
		return scan(level, p, r, rng), LeastLoaded
	}
	switch a, b := first.Rack.fill(), second.Rack.fill(); {
	case a < b:
		return first, SpreadRacks
	case b < a:
		return second, SpreadRacks
	default:
		return first, LeastLoaded
	}
}

// scan looks at every endpoint of a level, from a random one on.
func scan(level []*Endpoint, p *Pool, r Request, rng *rand.Rand) *Endpoint {
	from := rng.IntN(len(level))
	for i := range level {
		e := level[(from+i)%len(level)]
		if r.suits(e, p) {
			return e
		}
	}
	return nil
}

// suits reports whether a listed endpoint can take the task.
func (r *Request) suits(e *Endpoint, p *Pool) bool {
	if e == r.Avoid {
		return false
	}
	return r.Needs == p.Needs || e.Worker.Fits(r.Needs)
}

// Random sends each task at once to an endpoint drawn at random.
type Random struct{}

// LateBinding implements Picker.
func (Random) LateBinding() bool { return false }

// Pick implements Picker.
func (Random) Pick(p *Pool, _ Request, rng *rand.Rand) (*Endpoint, Reason) {
	return p.draw(rng), LeastLoaded
}

// TwoChoices sends each task at once to the less loaded of two endpoints
// drawn at random.
type TwoChoices struct{}

// LateBinding implements Picker.
func (TwoChoices) LateBinding() bool { return false }

// Pick implements Picker.
func (TwoChoices) Pick(p *Pool, _ Request, rng *rand.Rand) (*Endpoint, Reason) {
	a, b := p.draw(rng), p.draw(rng)
	if b != nil && (a == nil || b.Running < a.Running) {
		return b, LeastLoaded
	}
	return a, LeastLoaded
}

// draw returns a random endpoint that is not excluded, or nil.
func (p *Pool) draw(rng *rand.Rand) *Endpoint {
	if len(p.all) == 0 {
		return nil
	}
	from := rng.IntN(len(p.all))
	for i := range p.all {
		if e := p.all[(from+i)%len(p.all)]; e.Tier != Excluded {
			return e
		}
	}
	return nil
}
