// Package control runs the goroutine that owns all control state of an entry:
// dispatch.Core with its ledger, the membership tracker, and the callers that
// wait for answers.
//
// Goroutines that serve requests send it typed messages and read its immutable
// Snapshot. The loop itself never blocks on I/O, on a caller or on an
// endpoint.
//
// Answers are delivered by job ID. Any number of callers may wait for one job,
// on any connections.
package control
