package compare

import (
	"math/rand/v2"

	"lovagespread.example/dispatch"
)

// Policy is one way to order and place tasks.
type Policy struct {
	Name  string
	apply func(*dispatch.Options)
}

func (p Policy) options(rng *rand.Rand) dispatch.Options {
	opts := dispatch.Options{Rand: rng}
	if p.apply != nil {
		p.apply(&opts)
	}
	return opts
}

// Inferred is the product's own policy.
func Inferred() Policy { return Policy{Name: "inferred"} }
