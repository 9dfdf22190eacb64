package fakeendpoint

import "sync/atomic"

// messageCounters counts the messages that an endpoint receives, by kind.
type messageCounters struct {
	tasks      atomic.Int64
	refusals   atomic.Int64
	failures   atomic.Int64
	heartbeats atomic.Int64
	stops      atomic.Int64
	throttles  atomic.Int64
}

// Messages holds the numbers of received requests, by kind. Each request gets one
// response, unless a fault suppresses it. Refusals and Failures count the
// responses of these kinds to Tasks.
type Messages struct {
	Tasks      int64 `json:"tasks"`
	Refusals   int64 `json:"refusals"`
	Failures   int64 `json:"failures"`
	Heartbeats int64 `json:"heartbeats"`
	Stops      int64 `json:"stops"`
	Throttles  int64 `json:"throttles"`
}

// Add returns the sum of two counts.
func (m Messages) Add(other Messages) Messages {
	return Messages{
		Tasks:      m.Tasks + other.Tasks,
		Refusals:   m.Refusals + other.Refusals,
		Failures:   m.Failures + other.Failures,
		Heartbeats: m.Heartbeats + other.Heartbeats,
		Stops:      m.Stops + other.Stops,
		Throttles:  m.Throttles + other.Throttles,
	}
}

func (c *messageCounters) snapshot() Messages {
	return Messages{
		Tasks:      c.tasks.Load(),
		Refusals:   c.refusals.Load(),
		Failures:   c.failures.Load(),
		Heartbeats: c.heartbeats.Load(),
		Stops:      c.stops.Load(),
		Throttles:  c.throttles.Load(),
	}
}

// Sub returns the difference of two counts.
func (m Messages) Sub(other Messages) Messages {
	return Messages{
		Tasks:      m.Tasks - other.Tasks,
		Refusals:   m.Refusals - other.Refusals,
		Failures:   m.Failures - other.Failures,
		Heartbeats: m.Heartbeats - other.Heartbeats,
		Stops:      m.Stops - other.Stops,
		Throttles:  m.Throttles - other.Throttles,
	}
}
