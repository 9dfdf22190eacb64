// Package balance decides, while capacity is short, which holder a job waits at.
// It does no I/O, reads no clock and draws no random numbers.
//
// Each holder announces the predicted wait of its queue (Load). A receiver keeps
// the announcements in a Table, which corrects them by their age and by the work
// that the receiver has sent since. Two decisions use it:
//
//   - A new job goes to the holder that was chosen by free capacity, unless a
//     second holder, drawn at random, is expected to start it sooner (Better).
//   - A job that waits in a queue moves once to another holder that is expected
//     to start it clearly sooner and in time (Table.Target).
//
// Announcements are old when they are used, and many entries read the same ones.
// Herding is avoided by comparing two holders instead of all, by counting one's
// own additions, and by a margin (Hysteresis) that a difference must exceed. No
// job moves twice, so it cannot return to a holder that it has left.
package balance

import (
	"fmt"
	"time"
)

// Load is what a holder announces about its queue.
type Load struct {
	Wait  time.Duration // predicted for a new job
	Trend float64       // change of Wait, in seconds per second
	Cores float64       // capacity that serves the queue
	Age   time.Duration // since Wait was predicted
}

// Limits of loads that are accepted.
const (
	maxWait = time.Hour
	maxAge  = time.Minute
	// MaxTrend bounds Load.Trend. A queue that grows faster is announced anew
	// before the trend matters.
	MaxTrend = 10
	maxCores = 1 << 24
)

// InvalidLoadError reports a load that no correct holder announces.
type InvalidLoadError struct {
	Field string
	Value any
}

func (e *InvalidLoadError) Error() string {
	return fmt.Sprintf("the announced load is not valid: %s is %v; check the version and the clock of its sender", e.Field, e.Value)
}

// Validate returns an *InvalidLoadError if a field is out of range. A negative
// age belongs to a prediction from the future.
func (l Load) Validate() error {
	switch {
	case l.Wait < 0 || l.Wait > maxWait:
		return &InvalidLoadError{"wait", l.Wait}
	case !(l.Trend >= -MaxTrend && l.Trend <= MaxTrend): // also excludes NaN
		return &InvalidLoadError{"trend", l.Trend}
	case !(l.Cores > 0 && l.Cores <= maxCores): // also excludes NaN
		return &InvalidLoadError{"cores", l.Cores}
	case l.Age < 0 || l.Age > maxAge:
		return &InvalidLoadError{"age", l.Age}
	}
	return nil
}

// Meter measures the wait of a queue and its trend. The zero value is ready for
// use.
type Meter struct {
	load       Load
	measuredAt time.Time
}

// trendTime is the time constant of the moving average of the trend. Shorter
// ones follow single jobs.
const trendTime = 200 * time.Millisecond

// Measure records a predicted wait of a queue that is served by cores.
func (m *Meter) Measure(now time.Time, wait time.Duration, cores float64) {
	if elapsed := now.Sub(m.measuredAt); !m.measuredAt.IsZero() && elapsed > 0 {
		slope := (wait - m.load.Wait).Seconds() / elapsed.Seconds()
		weight := min(1, elapsed.Seconds()/trendTime.Seconds())
		m.load.Trend += weight * (slope - m.load.Trend)
		m.load.Trend = max(-MaxTrend, min(MaxTrend, m.load.Trend))
	}
	m.load.Wait, m.load.Cores, m.measuredAt = min(wait, maxWait), min(cores, maxCores), now
}

// Load returns the load to announce, or false if none can be predicted.
func (m *Meter) Load(now time.Time) (Load, bool) {
	if m.measuredAt.IsZero() || m.load.Cores <= 0 {
		return Load{}, false
	}
	l := m.load
	l.Age = max(0, min(maxAge, now.Sub(m.measuredAt)))
	return l, true
}
