package placement

import (
	"math"
	"slices"
)

// Factors by which the fastest third of the endpoints must exceed the slowest
// third, on average and beyond what the uncertainty of the speeds explains. They
// differ, for hysteresis.
const (
	EnterFactor = 1.35
	LeaveFactor = 1.15
)

const (
	minContrastEndpoints = 3
	maxKnownDeviation    = 0.22 // of ln(speed) of an endpoint that counts as known
	// equalSpread is the difference between the means of the upper and the lower
	// third of equal endpoints, in standard deviations of their estimates.
	equalSpread = 2.2
)

// Contrast decides whether the speeds of endpoints differ clearly. The zero value
// reports that they do not.
type Contrast struct {
	active     bool
	logs       []float64
	deviations float64
	endpoints  int
}

// Active reports whether the speeds differed clearly at the latest Update.
func (c *Contrast) Active() bool { return c.active }

// Reset starts a new collection of endpoints.
func (c *Contrast) Reset() { c.logs, c.deviations, c.endpoints = c.logs[:0], 0, 0 }

// Add adds an endpoint to the collection.
func (c *Contrast) Add(s *Speed) {
	c.endpoints++
	if d := s.Deviation(); d <= maxKnownDeviation {
		c.logs = append(c.logs, s.Log())
		c.deviations += d
	}
}

// Update decides from the collected endpoints and reports whether the decision has
// changed. While the speeds of less than half of them are known, it does not
// become active.
func (c *Contrast) Update() (changed bool) {
	before := c.active
	known := len(c.logs)
	switch factor := c.factor(); {
	case known < minContrastEndpoints:
		c.active = false
	case !c.active:
		c.active = 2*known >= c.endpoints && factor >= EnterFactor
	default:
		c.active = factor >= LeaveFactor
	}
	return c.active != before
}

// factor returns by how much the fastest third exceeds the slowest third, beyond
// what the uncertainty explains.
func (c *Contrast) factor() float64 {
	if len(c.logs) < minContrastEndpoints {
		return 1
	}
	slices.Sort(c.logs)
	third := len(c.logs) / 3
	gap := mean(c.logs[len(c.logs)-third:]) - mean(c.logs[:third])
	return math.Exp(gap - equalSpread*c.deviations/float64(len(c.logs)))
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v
	}
	return sum / float64(len(list))
}
