package faultnet

import (
	"sync/atomic"
	"time"
)

// Direction holds the fault switches of the traffic in one direction. The zero value
// has no faults. It is safe for concurrent use.
type Direction struct {
	silent atomic.Bool
	delay  atomic.Int64 // nanoseconds
}

// SetSilent sets whether all traffic is dropped. A stream that has lost data stays
// silent in this direction until it ends, because TCP delivers nothing after a gap.
func (d *Direction) SetSilent(on bool) { d.silent.Store(on) }

// Silent reports whether all traffic is dropped.
func (d *Direction) Silent() bool { return d.silent.Load() }

// SetDelay makes the traffic arrive later by the given time.
func (d *Direction) SetDelay(delay time.Duration) { d.delay.Store(int64(delay)) }

// Delay returns by how much later the traffic arrives.
func (d *Direction) Delay() time.Duration { return time.Duration(d.delay.Load()) }
