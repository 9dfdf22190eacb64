// Package estimate estimates the run times of the tasks of a service from
// observed run times.
//
// The run time that a caller declares only selects the size class of a task.
// The expected run time of a class is learned separately for each team. While a
// team has few samples, it comes from the class over all teams, and while that
// has few, from the whole service. If a team declares 1 ms for all its
// tasks, their actual run times determine that team's average of its 1 ms class
// and do not enter the averages of other teams.
package estimate

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Parameters of the estimates.
const (
	smoothing         = 0.05 // weight of the newest run time in an average
	priorWeight       = 3    // weight of the wider group's estimate, in run times
	maxDeclaredFactor = 2.0  // largest factor by which a declaration alone changes an estimate
	accuracy          = 0.02 // relative accuracy of quantiles
	sketchBins        = 512
	sketchWindow      = 1024 // values after which a new sketch is started
	sampleInterval    = 4    // one in this many run times is added to a sketch
	minSketchValues   = 200  // values needed before a quantile is used
	refreshInterval   = 32   // values between two computations of a quantile
	defaultPrior      = 200 * time.Millisecond
	classesPerOctave  = 4 // size classes per doubling of the run time
	numClasses        = 20 * classesPerOctave
)

// Class is a size class of declared run times. Class 0 is for tasks without a
// declaration. The other classes start at 1 ms and each spans a fraction of a
// doubling.
type Class uint8

// ClassOf returns the class of a declared run time.
func ClassOf(declared time.Duration) Class {
	if declared <= 0 {
		return 0
	}
	octaves := math.Log2(float64(max(declared, time.Millisecond)) / float64(time.Millisecond))
	return Class(min(1+int(octaves*classesPerOctave), numClasses-1))
}

// midpoint returns the geometric midpoint of the class, in seconds.
func (c Class) midpoint() float64 {
	return 1e-3 * math.Exp2((float64(c)-0.5)/classesPerOctave)
}

// movingAverage is a moving average of the logarithm of run times in seconds.
// The logarithm keeps a few outliers from dominating the average.
type movingAverage struct {
	value   float64
	samples int
}

func (a *movingAverage) add(value float64) {
	a.samples++
	a.value += (value - a.value) * max(smoothing, 1/float64(a.samples))
}

// blend combines the average of a group with the estimate of the next wider
// group: a team's class, the class over all teams, the service, the prior. The
// more samples the average has, the more it weighs.
func (a *movingAverage) blend(wider float64) float64 {
	weight := float64(min(a.samples, 1/smoothing))
	return (a.value*weight + wider*priorWeight) / (weight + priorWeight)
}

type teamClass struct {
	team  int
	class Class
}

// Service estimates the run times of the tasks of one service. Use New to
// create one.
type Service struct {
	overall     movingAverage
	byClass     [numClasses]movingAverage
	byTeamClass map[teamClass]*movingAverage
	ratios      quantileSketch // run time ÷ expected run time
	prior       float64        // logarithm of the prior run time in seconds
	learning    bool           // false: declared run times are used as they are
}

// quantileSketch tracks a high quantile of recent values.
type quantileSketch struct {
	current, previous *ddsketch.DDSketch
	values            int
	highQuantile      float64 // 0: too few values
}

// New returns a Service whose estimates start from the given prior run time. If
// prior is zero or negative, defaultPrior is used. Without learning, the
// expected run time of a task is the declared one.
func New(prior time.Duration, learning bool) *Service {
	if prior <= 0 {
		prior = defaultPrior
	}
	return &Service{byTeamClass: make(map[teamClass]*movingAverage), prior: math.Log(prior.Seconds()), learning: learning}
}

// ExpectedRunTime returns the expected run time of a task.
func (s *Service) ExpectedRunTime(team int, declared time.Duration) time.Duration {
	if !s.learning {
		return s.declaredOrPrior(declared)
	}
	class := ClassOf(declared)
	service := s.overall.blend(s.prior)
	expected := s.byClass[class].blend(service + declaredOffset(class, service))
	if teamAverage := s.byTeamClass[teamClass{team, class}]; teamAverage != nil {
		expected = teamAverage.blend(expected)
	}
	return durationOf(math.Exp(expected))
}

func (s *Service) declaredOrPrior(declared time.Duration) time.Duration {
	if declared > 0 {
		return declared
	}
	return durationOf(math.Exp(s.prior))
}

// declaredOffset returns the logarithm of the factor by which a declaration
// changes the estimate of a class without samples. The factor is at most
// maxDeclaredFactor in either direction.
func declaredOffset(class Class, service float64) float64 {
	if class == 0 {
		return 0
	}
	const trust = 0.5
	limit := math.Log(maxDeclaredFactor)
	return min(max(trust*(math.Log(class.midpoint())-service), -limit), limit)
}

// Observe updates the estimates with the run time of a completed task. expected
// is the run time that ExpectedRunTime returned for it.
func (s *Service) Observe(team int, class Class, expected, run time.Duration) {
	if run <= 0 {
		return
	}
	key := teamClass{team, class}
	teamAverage := s.byTeamClass[key]
	if teamAverage == nil {
		teamAverage = &movingAverage{}
		s.byTeamClass[key] = teamAverage
	}
	logRunTime := math.Log(run.Seconds())
	teamAverage.add(logRunTime)
	s.byClass[class].add(logRunTime)
	s.overall.add(logRunTime)
	if expected > 0 && s.overall.samples%sampleInterval == 0 {
		s.ratios.add(float64(run) / float64(expected))
	}
}

// HighRatio returns the 99th percentile of run time ÷ expected run time, or 0 if
// there are too few samples.
func (s *Service) HighRatio() float64 { return s.ratios.highQuantile }

// highRatioQuantile is the quantile that HighRatio returns.
const highRatioQuantile = 0.99

func (s *quantileSketch) add(value float64) {
	if s.current == nil || s.values%sketchWindow == 0 {
		s.previous, s.current = s.current, newSketch()
	}
	s.values++
	_ = s.current.Add(value) // a positive finite number is always accepted
	if s.values >= minSketchValues && s.values%refreshInterval == 0 {
		s.highQuantile = s.quantile(highRatioQuantile)
	}
}

func (s *quantileSketch) quantile(q float64) float64 {
	merged := s.current.Copy()
	if s.previous != nil {
		_ = merged.MergeWith(s.previous) // both sketches have the same mapping
	}
	value, err := merged.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return value
}

func newSketch() *ddsketch.DDSketch {
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(accuracy, sketchBins)
	if err != nil {
		panic(err) // not reached: accuracy is a constant in the valid range
	}
	return sketch
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
