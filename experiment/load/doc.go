// Package load generates jobs as callers send them, checks every answer and
// reports the outcomes.
//
// Arrivals are open loop: a job is sent when it is due, whether or not earlier
// ones were answered, and its response time is measured from its due time. All
// randomness comes from one seed.
//
// # Measures
//
// Slowdown is response time ÷ ideal; the ideal of a job is the true run time
// of its longest task. Task starts are counted at the stand-in endpoints, never
// at the entries. Wasted messages are requests and replies beyond one of each
// per task at the endpoints (repeated and refused tasks, heartbeats, stops,
// throttles), and requests that callers had to repeat.
package load
