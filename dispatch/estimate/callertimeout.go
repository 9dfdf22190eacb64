package estimate

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Parameters of learned patience.
const (
	minDisconnects        = 50
	callerTimeoutQuantile = 0.05
)

// CallerTimeout learns how long callers wait before they hang up. The zero value
// knows nothing.
type CallerTimeout struct {
	sketch      *ddsketch.DDSketch
	disconnects int
	estimate    time.Duration
}

// Observe learns from a caller that hung up after the given time.
func (p *CallerTimeout) Observe(waited time.Duration) {
	if waited <= 0 {
		return
	}
	if p.sketch == nil {
		p.sketch = newSketch()
	}
	_ = p.sketch.Add(waited.Seconds()) // a positive finite number is always accepted
	p.disconnects++
	if p.disconnects%minDisconnects != 0 {
		return
	}
	if value, err := p.sketch.GetValueAtQuantile(callerTimeoutQuantile); err == nil {
		p.estimate = durationOf(value)
	}
	if p.disconnects >= sketchWindow {
		p.sketch.Clear()
		p.disconnects = 0
	}
}

// Estimate returns the time that nearly all callers wait, or 0 if too few have
// hung up.
func (p *CallerTimeout) Estimate() time.Duration { return p.estimate }
