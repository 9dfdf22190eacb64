// Package load generates jobs as callers would send them, checks every answer
// and sums up what came of them.
//
// Arrivals are open loop: a job is sent when it is due, whether or not
// earlier ones were answered, and its response time counts from the time it
// was due. Everything random comes from one seed.
//
// # What is reported
//
// Slowdown is response time ÷ ideal; the ideal of a job is the true run time
// of its longest task. Task starts come from the stand-in endpoints, never
// from the entries. Wasted messages are requests and answers beyond one of
// each per task at the endpoints (repeated and refused tasks, heartbeats,
// stops, throttles), and requests that callers had to repeat.
package load
