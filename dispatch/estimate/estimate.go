// Package estimate learns how long the tasks of a service run.
//
// A caller's declaration decides only in which size class a task is looked
// up. What a class means is learned, for each team by itself: a team that
// declares 1 ms for everything fills its own 1 ms class with what its tasks
// really take, and no other team's classes.
package estimate

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Parameters of learning.
const (
	smoothing         = 0.05 // weight of the newest run time in an average
	priorWeight       = 3    // run times that weigh as much as what the wider group knows
	maxDeclaredFactor = 2.0  // factor by which a declaration alone moves an estimate
	accuracy          = 0.02 // relative, of quantiles
	sketchBins        = 512
	sketchWindow      = 1024 // values until a sketch starts again
	sampleInterval    = 4    // run times of which one goes into a sketch
	minSketchValues   = 200  // values before a quantile is trusted
	refreshInterval   = 32   // values between two computations of quantiles
	defaultPrior      = 200 * time.Millisecond
	classesPerOctave  = 4 // size classes for each doubling
	numClasses        = 20 * classesPerOctave
)

// Class is a size class of declared run times: a fraction of a doubling, from
// 1 ms on, and class 0 for tasks without a declaration.
type Class uint8

// ClassOf returns the class of a declared run time.
func ClassOf(declared time.Duration) Class {
	if declared <= 0 {
		return 0
	}
	octaves := math.Log2(float64(max(declared, time.Millisecond)) / float64(time.Millisecond))
	return Class(min(1+int(octaves*classesPerOctave), numClasses-1))
}

// midpoint returns the run time that a class stands for, in seconds.
func (c Class) midpoint() float64 {
	return 1e-3 * math.Exp2((float64(c)-0.5)/classesPerOctave)
}

// movingAverage is a moving movingAverage of the logarithm of run times in seconds. The
// logarithm keeps a few run times that are far off from ruling a class.
type movingAverage struct {
	value   float64
	samples int
}

func (a *movingAverage) add(value float64) {
	a.samples++
	a.value += (value - a.value) * max(smoothing, 1/float64(a.samples))
}

// blend weighs an average against what is known of the wider group.
func (a *movingAverage) blend(parent float64) float64 {
	weight := float64(min(a.samples, 1/smoothing))
	return (a.value*weight + parent*priorWeight) / (weight + priorWeight)
}

type teamClass struct {
	team  int
	class Class
}

// Service holds what is known of one service's tasks. Create it with New.
type Service struct {
	overall     movingAverage
	byClass     [numClasses]movingAverage
	byTeamClass map[teamClass]*movingAverage
	ratios      quantileSketch // run time ÷ expected run time
	prior       float64        // logarithm of seconds
	learning    bool           // false: declarations are taken for the truth
}

// quantileSketch holds a high quantile of the newest values.
type quantileSketch struct {
	current, previous *ddsketch.DDSketch
	values            int
	highQuantile      float64 // 0: not known
}

// New returns estimates that start from the given prior. Zero means none.
// Without learning, a task is expected to run as long as declared.
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

// declaredOffset returns the bounded logarithm of the factor by which a declaration
// moves an estimate before anything is known of its class.
func declaredOffset(class Class, service float64) float64 {
	if class == 0 {
		return 0
	}
	const trust = 0.5
	limit := math.Log(maxDeclaredFactor)
	return min(max(trust*(math.Log(class.midpoint())-service), -limit), limit)
}

// Observe learns from a task that ran to its end. expected is what Expect
// said of it.
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

// HighRatio returns the run time ÷ expected run time that only one task in a
// hundred exceeds, or 0 if too little is known.
func (s *Service) HighRatio() float64 { return s.ratios.highQuantile }

// highRatioQuantile is the quantile of HighRatio.
const highRatioQuantile = 0.99

func (t *quantileSketch) add(value float64) {
	if t.current == nil || t.values%sketchWindow == 0 {
		t.previous, t.current = t.current, newSketch()
	}
	t.values++
	_ = t.current.Add(value) // a positive finite number is always accepted
	if t.values >= minSketchValues && t.values%refreshInterval == 0 {
		t.highQuantile = t.quantile(highRatioQuantile)
	}
}

func (t *quantileSketch) quantile(q float64) float64 {
	merged := t.current.Copy()
	if t.previous != nil {
		_ = merged.MergeWith(t.previous) // same mapping by construction
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
		panic(err) // accuracy is a constant in the valid range
	}
	return sketch
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
