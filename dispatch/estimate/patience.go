package estimate

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

// Parameters of learned patience.
const (
	minHangUps       = 50
	patienceQuantile = 0.05
)

// Patience learns how long callers wait before they hang up. The zero value
// knows nothing.
type Patience struct {
	sketch *ddsketch.DDSketch
	count  int
	known  time.Duration
}

// Observe learns from a caller that hung up after the given time.
func (p *Patience) Observe(waited time.Duration) {
	if waited <= 0 {
		return
	}
	if p.sketch == nil {
		p.sketch = newSketch()
	}
	_ = p.sketch.Add(waited.Seconds()) // a positive finite number is always accepted
	p.count++
	if p.count%minHangUps != 0 {
		return
	}
	if value, err := p.sketch.GetValueAtQuantile(patienceQuantile); err == nil {
		p.known = duration(value)
	}
	if p.count >= window {
		p.sketch.Clear()
		p.count = 0
	}
}

// Known returns the time that nearly all callers wait, or 0 if too few have
// hung up.
func (p *Patience) Known() time.Duration { return p.known }
