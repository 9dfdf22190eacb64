package placement

import "math"

// Parameters of the learned speed.
const (
	// runVariance is the variance of ln(run time / expected) of a single run:
	// estimates are off by about 40%, and tasks of one job differ.
	runVariance = 0.25
	// maxRuns bounds the weight of the past, so that a slow change is followed.
	maxRuns = 40
	// maxDeviation bounds the effect of a single run. A task of the heavy tail
	// takes seven times as long (a logarithm of 1.9) on any endpoint.
	maxDeviation = 0.8
	// A run is an outlier if ln(run time / expected) deviates by more than
	// siblingOutlier (a factor of 1.8) from what the known speed explains. One alone
	// says little. outliersToReset of them in a row, in the same direction, replace
	// what was learned before: two are too often tasks of the heavy tail
	// (3% of all).
	siblingOutlier = 0.6
	// estimateOutlier (a factor of 3) applies if the expected run time is an estimate:
	// those are often off by a factor of 1.8 for all tasks of a job.
	estimateOutlier = 1.1
	outliersToReset = 3
	// maxLogSpeed bounds the learned speed to a factor of 20 in both directions.
	maxLogSpeed = 3
)

// Speed is what is known of the speed of one endpoint. The zero value knows
// nothing. It is estimated from the endpoint's own runs and from a prior (see
// Kinds.Prior), which weighs the less the more runs there are.
type Speed struct {
	own         float64 // mean of ln(speed) over the endpoint's runs
	runs        float64 // their weight, in runs
	outliers    int     // consecutive outliers; negative: runs shorter than expected
	outlierLogs float64 // sum of ln(speed) over them
	prior       Prior
}

// Prior is the expected speed of an endpoint that has run no task.
type Prior struct {
	Log      float64 // mean of ln(speed)
	Variance float64 // of ln(speed); 0: nothing is known, the nominal speed is assumed
}

// unknownVariance is the variance of ln(speed) of endpoints of which nothing is
// known.
const unknownVariance = 0.25

func (p Prior) variance() float64 {
	if p.Variance <= 0 {
		return unknownVariance
	}
	return p.Variance
}

// weight returns how many runs the prior is worth.
func (p Prior) weight() float64 { return runVariance / p.variance() }

// SetPrior replaces the prior.
func (s *Speed) SetPrior(p Prior) { s.prior = p }

// Log returns the mean of ln(speed).
func (s *Speed) Log() float64 {
	w := s.prior.weight()
	return (s.prior.Log*w + s.own*s.runs) / (w + s.runs)
}

// Factor returns the speed, always positive and finite.
func (s *Speed) Factor() float64 { return math.Exp(s.Log()) }

// Deviation returns the standard deviation of ln(speed).
func (s *Speed) Deviation() float64 { return math.Sqrt(runVariance / (s.prior.weight() + s.runs)) }

// Runs returns the weight of the endpoint's own runs.
func (s *Speed) Runs() float64 { return s.runs }

// Observation is a run of a task.
type Observation struct {
	Took     float64 // seconds
	Nominal  float64 // seconds that it should have taken on an endpoint of speed 1
	Siblings bool    // Nominal comes from other tasks of its step, not from an estimate
	// Repeated reports that the latest observation of the endpoint came from the same
	// estimate, and so had the same error.
	Repeated bool
}

// Observe learns from a run. It reports whether the run has shown a sudden change
// of the speed. A time that is not positive and finite changes nothing.
func (s *Speed) Observe(o Observation) (changed bool, err error) {
	if !valid(o.Took) {
		return false, &InvalidObservationError{"run time", o.Took}
	}
	if !valid(o.Nominal) {
		return false, &InvalidObservationError{"expected run time", o.Nominal}
	}
	seen := min(max(math.Log(o.Nominal)-math.Log(o.Took), -maxLogSpeed), maxLogSpeed)
	deviation := seen - s.Log()
	threshold := estimateOutlier
	if o.Siblings {
		threshold = siblingOutlier
	}
	if !(o.Repeated && !o.Siblings) && s.countOutlier(seen, deviation, threshold) {
		s.own = s.outlierLogs / outliersToReset
		s.runs = outliersToReset
		s.outliers, s.outlierLogs = 0, 0
		return true, nil
	}
	s.runs = min(s.runs+1, maxRuns)
	s.own += (s.Log() + min(max(deviation, -maxDeviation), maxDeviation) - s.own) / s.runs
	return false, nil
}

// countOutlier counts a run if it is an outlier and reports whether there were
// outliersToReset in a row. The first run of an endpoint is none.
func (s *Speed) countOutlier(seen, deviation, threshold float64) bool {
	direction := 0
	if s.runs > 0 && math.Abs(deviation) > threshold {
		direction = 1
		if deviation > 0 {
			direction = -1
		}
	}
	if direction == 0 || direction*s.outliers < 0 {
		s.outliers, s.outlierLogs = 0, 0
	}
	s.outliers += direction
	s.outlierLogs += float64(direction*direction) * seen
	return s.outliers >= outliersToReset || s.outliers <= -outliersToReset
}

// Fade moves the estimate towards the prior, by a share of the endpoint's own
// runs. An endpoint that was found slow gets few tasks, so its own runs cannot
// show that it has recovered.
func (s *Speed) Fade(share float64) {
	if share > 0 && share <= 1 {
		s.runs *= 1 - share
	}
}

// valid reports whether a value is positive and finite.
func valid(v float64) bool { return v > 0 && !math.IsInf(v, 1) }
