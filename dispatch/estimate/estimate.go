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
	gain        = 0.05 // weight of the newest run time in an average
	priorRuns   = 3    // run times that weigh as much as what the wider group knows
	maxHint     = 2.0  // factor by which a declaration alone moves an estimate
	accuracy    = 0.02 // relative, of quantiles
	sketchBins  = 512
	window      = 1024 // values until a sketch starts again
	sampleEvery = 4    // run times of which one goes into a sketch
	minQuantile = 200  // values before a quantile is trusted
	refresh     = 32   // values between two computations of quantiles
	defaultRun  = 200 * time.Millisecond
	perOctave   = 4 // size classes for each doubling
	classes     = 20 * perOctave
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
	return Class(min(1+int(octaves*perOctave), classes-1))
}

// middle returns the run time that a class stands for, in seconds.
func (c Class) middle() float64 {
	return 1e-3 * math.Exp2((float64(c)-0.5)/perOctave)
}

// average is a moving average of the logarithm of run times in seconds. The
// logarithm keeps a few run times that are far off from ruling a class.
type average struct {
	value float64
	runs  int
}

func (a *average) add(value float64) {
	a.runs++
	a.value += (value - a.value) * max(gain, 1/float64(a.runs))
}

// blend weighs an average against what is known of the wider group.
func (a *average) blend(wider float64) float64 {
	n := float64(min(a.runs, 1/gain))
	return (a.value*n + wider*priorRuns) / (n + priorRuns)
}

type teamClass struct {
	team  int
	class Class
}

// Service holds what is known of one service's tasks. Create it with New.
type Service struct {
	all     average
	classes [classes]average
	teams   map[teamClass]*average
	ratios  tail    // run time ÷ expected run time
	prior   float64 // logarithm of seconds
	learned bool    // false: declarations are taken for the truth
}

// tail holds a high quantile of the newest values.
type tail struct {
	current, previous *ddsketch.DDSketch
	runs              int
	high              float64 // 0: not known
}

// New returns estimates that start from the given prior. Zero means none.
// Without learning, a task is expected to run as long as declared.
func New(prior time.Duration, learned bool) *Service {
	if prior <= 0 {
		prior = defaultRun
	}
	return &Service{teams: make(map[teamClass]*average), prior: math.Log(prior.Seconds()), learned: learned}
}

// ExpectedRunTime returns the expected run time of a task.
func (s *Service) ExpectedRunTime(team int, declared time.Duration) time.Duration {
	if !s.learned {
		return s.declaredOrPrior(declared)
	}
	class := ClassOf(declared)
	service := s.all.blend(s.prior)
	expected := s.classes[class].blend(service + hint(class, service))
	if own := s.teams[teamClass{team, class}]; own != nil {
		expected = own.blend(expected)
	}
	return duration(math.Exp(expected))
}

func (s *Service) declaredOrPrior(declared time.Duration) time.Duration {
	if declared > 0 {
		return declared
	}
	return duration(math.Exp(s.prior))
}

// hint returns the bounded logarithm of the factor by which a declaration
// moves an estimate before anything is known of its class.
func hint(class Class, service float64) float64 {
	if class == 0 {
		return 0
	}
	const trust = 0.5
	limit := math.Log(maxHint)
	return min(max(trust*(math.Log(class.middle())-service), -limit), limit)
}

// Observe learns from a task that ran to its end. expected is what Expect
// said of it.
func (s *Service) Observe(team int, class Class, expected, run time.Duration) {
	if run <= 0 {
		return
	}
	key := teamClass{team, class}
	own := s.teams[key]
	if own == nil {
		own = &average{}
		s.teams[key] = own
	}
	value := math.Log(run.Seconds())
	own.add(value)
	s.classes[class].add(value)
	s.all.add(value)
	if expected > 0 && s.all.runs%sampleEvery == 0 {
		s.ratios.add(float64(run) / float64(expected))
	}
}

// HighRatio returns the run time ÷ expected run time that only one task in a
// hundred exceeds, or 0 if too little is known.
func (s *Service) HighRatio() float64 { return s.ratios.high }

// highQuantile is the quantile of HighRatio.
const highQuantile = 0.99

func (t *tail) add(value float64) {
	if t.current == nil || t.runs%window == 0 {
		t.previous, t.current = t.current, newSketch()
	}
	t.runs++
	_ = t.current.Add(value) // a positive finite number is always accepted
	if t.runs >= minQuantile && t.runs%refresh == 0 {
		t.high = t.quantile(highQuantile)
	}
}

func (t *tail) quantile(q float64) float64 {
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

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
