package placement

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Parameters of the run time distribution of a queue.
const (
	spreadAccuracy = 0.03 // relative error of quantiles
	// spreadWindow is the weight of the runs after which older ones are halved.
	spreadWindow  = 1000
	minSpreadRuns = 20   // before the distribution counts
	maxRatio      = 50   // run time / estimate
	centerGain    = 0.02 // weight of the newest run
	// maxQuantile is the highest quantile that is used for decisions. Beyond it
	// lie tasks of the heavy tail, which no endpoint can bring to an end in time,
	// and which cannot be told from the others before they run.
	maxQuantile = 0.95
)

// Spread is the distribution of the run times of a queue, on an endpoint of speed
// 1. The zero value assumes that the estimates are right and that all tasks of a
// step take equally long.
type Spread struct {
	center float64 // mean of ln(nominal run time / estimate)
	runs   float64
	within *ddsketch.DDSketch // nominal run time / that of the task's siblings
}

// ObserveRun learns from the nominal run time of a task and its estimate, which have
// the same unit.
func (s *Spread) ObserveRun(nominal, estimate float64) error {
	if !valid(nominal) {
		return &InvalidObservationError{"nominal run time", nominal}
	}
	if !valid(estimate) {
		return &InvalidObservationError{"estimate", estimate}
	}
	ratio := math.Log(nominal) - math.Log(estimate)
	ratio = min(max(ratio, -maxLogSpeed), maxLogSpeed)
	s.runs++
	deviation := ratio - s.center
	if s.runs > 1 { // the heavy tail is described by within, not by center
		deviation = min(max(deviation, -maxDeviation), maxDeviation)
	}
	s.center += deviation * max(centerGain, 1/s.runs)
	return nil
}

// ObserveSibling learns from a task's nominal run time and the mean of its done
// siblings.
func (s *Spread) ObserveSibling(nominal, siblings float64) error {
	ratio := nominal / siblings
	if !valid(nominal) || !valid(siblings) || !valid(ratio) {
		return &InvalidObservationError{"run time relative to siblings", ratio}
	}
	if s.within == nil {
		sketch, err := ddsketch.NewDefaultDDSketch(spreadAccuracy)
		if err != nil {
			return err
		}
		s.within = sketch
	}
	if s.within.GetCount() >= spreadWindow {
		if err := s.within.Reweight(0.5); err != nil {
			return err
		}
	}
	return s.within.Add(min(max(ratio, 1./maxRatio), maxRatio))
}

// Nominal returns the expected run time of a task on an endpoint of speed 1, in the
// unit of the estimate.
func (s *Spread) Nominal(estimate float64) float64 { return estimate * math.Exp(s.center) }

// Slowest returns by which factor the slowest of n equal tasks is expected to
// exceed a typical one, without the heavy tail.
func (s *Spread) Slowest(n int) float64 {
	if n < 2 {
		return 1
	}
	return max(1, s.Quantile(min(float64(n)/float64(n+1), maxQuantile)))
}

// Quantile returns a quantile of the run times of a task relative to its siblings,
// or 1 while too little is known.
func (s *Spread) Quantile(q float64) float64 {
	if s.within == nil || s.within.GetCount() < minSpreadRuns {
		return 1
	}
	v, err := s.within.GetValueAtQuantile(q)
	if err != nil || !valid(v) {
		return 1
	}
	return v
}
