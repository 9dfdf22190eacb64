// Package estimate learns how long the tasks of a service run.
//
// A caller's declaration decides only in which size class a task is looked
// up. What a class means is learned, for each team by itself: a team that
// declares 1 ms for everything fills its own 1 ms class with what its tasks
// really take, and no other team's classes.
package estimate

import (
	"math"
	"math/bits"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Parameters of learning.
const (
	gain        = 0.1  // weight of the newest run time in a mean
	priorRuns   = 3    // run times that outweigh what is known of the wider group
	maxHint     = 2.0  // factor by which a declaration alone moves an estimate
	accuracy    = 0.02 // relative, of quantiles
	sketchBins  = 512
	window      = 4096 // run times until a sketch starts again
	minQuantile = 400  // run times before a quantile is trusted
	refresh     = 128  // run times between two computations of quantiles
	defaultRun  = 200 * time.Millisecond
	classes     = 24
)

// Class is a size class of declared run times: powers of two of 1 ms, and
// class 0 for tasks without a declaration.
type Class uint8

// ClassOf returns the class of a declared run time.
func ClassOf(declared time.Duration) Class {
	if declared <= 0 {
		return 0
	}
	n := 1 + bits.Len64(uint64(declared/time.Millisecond))
	return Class(min(n, classes-1))
}

// middle returns the run time that a class stands for.
func (c Class) middle() time.Duration {
	const halfStep = 0.75
	return time.Duration(halfStep * float64(time.Millisecond) * math.Exp2(float64(c)-1))
}

type mean struct {
	value float64 // seconds
	runs  int
}

func (m *mean) add(seconds float64) {
	m.runs++
	m.value += (seconds - m.value) * max(gain, 1/float64(m.runs))
}

// blend weighs a mean against what is known of the wider group.
func (m *mean) blend(wider float64) float64 {
	n := float64(min(m.runs, 1/gain))
	return (m.value*n + wider*priorRuns) / (n + priorRuns)
}

type teamClass struct {
	team  int
	class Class
}

// Service holds what is known of one service's tasks. Create it with New.
type Service struct {
	all     mean
	teams   map[teamClass]*mean
	tails   [classes]tail
	prior   float64 // seconds
	learned bool    // false: declarations are taken for the truth
}

// tail holds the quantiles of one class.
type tail struct {
	current, previous *ddsketch.DDSketch
	runs              int
	high              time.Duration // 0: not known
}

// New returns estimates that start from the given prior. Zero means none.
// Without learning, a task is expected to run as long as declared.
func New(prior time.Duration, learned bool) *Service {
	if prior <= 0 {
		prior = defaultRun
	}
	return &Service{teams: make(map[teamClass]*mean), prior: prior.Seconds(), learned: learned}
}

// Mean returns the expected run time of any task of the service.
func (s *Service) Mean() time.Duration { return duration(s.all.blend(s.prior)) }

// Expect returns the expected run time of a task.
func (s *Service) Expect(team int, declared time.Duration) time.Duration {
	if !s.learned {
		return s.declaredOrPrior(declared)
	}
	class := ClassOf(declared)
	wider := s.all.blend(s.prior) * hint(class, s.all.blend(s.prior))
	known := s.teams[teamClass{team, class}]
	if known == nil {
		return duration(wider)
	}
	return duration(known.blend(wider))
}

func (s *Service) declaredOrPrior(declared time.Duration) time.Duration {
	if declared > 0 {
		return declared
	}
	return duration(s.prior)
}

// hint returns the bounded factor by which a declaration moves an estimate
// before anything is known of its class.
func hint(class Class, mean float64) float64 {
	if class == 0 {
		return 1
	}
	ratio := math.Sqrt(class.middle().Seconds() / mean)
	return min(max(ratio, 1/maxHint), maxHint)
}

// Observe learns from a task that ran to its end.
func (s *Service) Observe(team int, declared, run time.Duration) {
	if run <= 0 {
		return
	}
	class := ClassOf(declared)
	key := teamClass{team, class}
	known := s.teams[key]
	if known == nil {
		known = &mean{}
		s.teams[key] = known
	}
	known.add(run.Seconds())
	s.all.add(run.Seconds())
	s.tails[class].add(run)
}

// High returns the run time that only one task in a few hundred of the class
// exceeds, or 0 if too little is known.
func (s *Service) High(declared time.Duration) time.Duration {
	return s.tails[ClassOf(declared)].high
}

// highQuantile is the quantile that High returns.
const highQuantile = 0.99

func (t *tail) add(run time.Duration) {
	if t.current == nil || t.runs%window == 0 {
		t.previous, t.current = t.current, newSketch()
	}
	t.runs++
	_ = t.current.Add(run.Seconds()) // a positive finite number is always accepted
	if t.runs >= minQuantile && t.runs%refresh == 0 {
		t.high = t.quantile(highQuantile)
	}
}

func (t *tail) quantile(q float64) time.Duration {
	merged := t.current.Copy()
	if t.previous != nil {
		_ = merged.MergeWith(t.previous) // same mapping by construction
	}
	value, err := merged.GetValueAtQuantile(q)
	if err != nil {
		return 0
	}
	return duration(value)
}

func newSketch() *ddsketch.DDSketch {
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(accuracy, sketchBins)
	if err != nil {
		panic(err) // accuracy is a constant in the valid range
	}
	return sketch
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
