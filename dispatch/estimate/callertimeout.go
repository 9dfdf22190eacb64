package estimate

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Parameters of the estimated caller timeout.
const (
	minDisconnects        = 50   // disconnects between two computations of the estimate
	callerTimeoutQuantile = 0.05 // quantile of the waiting times
)

// CallerTimeout estimates how long callers wait before they disconnect. The zero
// value has no estimate.
type CallerTimeout struct {
	sketch      *ddsketch.DDSketch
	disconnects int
	estimate    time.Duration
}

// Observe updates the estimate with a caller that disconnected after the given
// time.
func (c *CallerTimeout) Observe(waited time.Duration) {
	if waited <= 0 {
		return
	}
	if c.sketch == nil {
		c.sketch = newSketch()
	}
	_ = c.sketch.Add(waited.Seconds()) // a positive finite number is always accepted
	c.disconnects++
	if c.disconnects%minDisconnects != 0 {
		return
	}
	if value, err := c.sketch.GetValueAtQuantile(callerTimeoutQuantile); err == nil {
		c.estimate = durationOf(value)
	}
	if c.disconnects >= sketchWindow {
		c.sketch.Clear()
		c.disconnects = 0
	}
}

// Estimate returns the time that nearly all callers wait, or 0 if too few have
// disconnected.
func (c *CallerTimeout) Estimate() time.Duration { return c.estimate }
