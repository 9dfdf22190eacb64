package placement

import "math"

const (
	// minKindEndpoints is how many endpoints of a kind must have shown their speed
	// before it counts as a prior for the others.
	minKindEndpoints = 2
	// minKnownRuns is the number of runs from which on an endpoint has shown its
	// speed.
	minKnownRuns = 2
	// minKindVariance keeps a kind of endpoints that look equal from outweighing
	// the runs of an endpoint that is not (a standard deviation of 15%).
	minKindVariance = 0.0225
)

// Kinds collects the speeds of endpoints by their labels, and so by their kind,
// size or rack. It is refilled from time to time. The zero value is empty.
type Kinds struct{ byLabel map[kindKey]*kind }

// kindKey identifies the endpoints of a service with a label; "": all of them.
type kindKey struct{ service, label string }

// kind holds sums over the endpoints with a label.
type kind struct {
	endpoints float64 // their number
	log       float64 // of ln(speed)
	square    float64 // of ln(speed)²
	noise     float64 // of the variance of each endpoint's estimate of ln(speed)
}

// Reset removes all endpoints.
func (k *Kinds) Reset() {
	if k.byLabel == nil {
		k.byLabel = make(map[kindKey]*kind)
	}
	clear(k.byLabel)
}

// Add adds an endpoint of a service. Endpoints that have not shown their speed
// are left out.
func (k *Kinds) Add(service string, labels []string, s *Speed) {
	if s.runs < minKnownRuns {
		return
	}
	k.add(kindKey{service, ""}, s)
	for _, label := range labels {
		k.add(kindKey{service, label}, s)
	}
}

func (k *Kinds) add(key kindKey, s *Speed) {
	sums := k.byLabel[key]
	if sums == nil {
		sums = &kind{}
		k.byLabel[key] = sums
	}
	sums.endpoints++
	sums.log += s.own
	sums.square += s.own * s.own
	sums.noise += runVariance / s.runs
}

// Prior returns the prior of an endpoint: the mean of the endpoints that share the
// label whose endpoints differ least, or of all endpoints of the service.
func (k *Kinds) Prior(service string, labels []string) Prior {
	best := k.prior(kindKey{service, ""})
	for _, label := range labels {
		p := k.prior(kindKey{service, label})
		if p.Variance > 0 && (best.Variance == 0 || p.Variance < best.Variance) {
			best = p
		}
	}
	return best
}

func (k *Kinds) prior(key kindKey) Prior {
	sums := k.byLabel[key]
	if sums == nil || sums.endpoints < minKindEndpoints {
		return Prior{}
	}
	mean := sums.log / sums.endpoints
	// The uncertainty of each endpoint makes equal endpoints look different.
	between := sums.square/sums.endpoints - mean*mean - sums.noise/sums.endpoints
	// The fewer endpoints there are, the less is known of their variance.
	variance := (max(between, 0)*sums.endpoints + unknownVariance) / (sums.endpoints + 1)
	if math.IsNaN(variance) {
		return Prior{}
	}
	return Prior{Log: mean, Variance: max(variance, minKindVariance)}
}
