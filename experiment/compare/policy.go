package compare

import (
	"math/rand/v2"
	"time"

	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/place"
	"lovagespread.example/dispatch/urgency"
)

// runTimeFunc returns the true run time of a task to the oracle.
type runTimeFunc func(dispatch.TaskRef) time.Duration

// Policy is a way to order and place tasks.
type Policy struct {
	Name         string
	apply        func(*dispatch.Options)
	oracle       bool // knows the true run times
	earlyBinding bool // sends tasks to endpoints without a free slot
}

func (p Policy) options(rng *rand.Rand, trueRunTime runTimeFunc) dispatch.Options {
	opts := dispatch.Options{Rand: rng}
	if p.apply != nil {
		p.apply(&opts)
	}
	if p.oracle {
		opts.ExpectedRunTime = trueRunTime
	}
	return opts
}

// disabledInBaselines are the mechanisms of the dispatcher's own policy that no
// baseline has.
const disabledInBaselines = dispatch.Learning | dispatch.Ejection | dispatch.Hedging | dispatch.FairShare | dispatch.Admission

// Inferred is the dispatcher's own policy.
func Inferred() Policy { return Policy{Name: "inferred"} }

// Without is the dispatcher's own policy with mechanisms disabled.
func Without(name string, disabled dispatch.Mechanism) Policy {
	return Policy{Name: "no_" + name, apply: func(o *dispatch.Options) { o.Disabled = disabled }}
}

// WithOrder is the dispatcher's own policy with another order of jobs.
func WithOrder(name string, order urgency.Order) Policy {
	return Policy{Name: name, apply: func(o *dispatch.Options) { o.Order = order }}
}

// Oracle is the dispatcher's own policy with known true run times.
func Oracle() Policy { return Policy{Name: "oracle", oracle: true} }

// GlobalFIFO serves the jobs of all services in one order of arrival.
func GlobalFIFO() Policy { return baselinePolicy("fifo", urgency.FIFO{Global: true}, place.Spread{}) }

// ServiceFIFO serves the jobs of each service in the order of arrival.
func ServiceFIFO() Policy { return baselinePolicy("service_fifo", urgency.FIFO{}, place.Spread{}) }

// ShortestDeclared serves the job with the least declared work first.
func ShortestDeclared() Policy {
	return baselinePolicy("shortest_declared", urgency.ShortestDeclared{}, place.Spread{})
}

// Random sends each task immediately to a random endpoint.
func Random() Policy { return baselinePolicy("random", urgency.FIFO{}, place.Random{}) }

// TwoChoices sends each task immediately to the less loaded of two random
// endpoints.
func TwoChoices() Policy { return baselinePolicy("two_choices", urgency.FIFO{}, place.TwoChoices{}) }

func baselinePolicy(name string, order urgency.Order, picker place.Picker) Policy {
	return Policy{Name: name, earlyBinding: !picker.LateBinding(), apply: func(o *dispatch.Options) {
		o.Order, o.Picker, o.Disabled = order, picker, disabledInBaselines
	}}
}
