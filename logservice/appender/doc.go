// Package appender divides the append budget of one process between the kinds of
// records that it writes to the log.
//
// Each kind has a queue, a stream and at most one append in flight. A slow append
// of one kind therefore does not delay the other kinds, and records are collected
// into batches while an append is in flight.
//
// # Budget
//
// Every kind is guaranteed its share of the appends per second. Unused appends
// are available to the other kinds: first to changes, then to claims, then to
// outcomes.
//
// # When the log is slow or down
//
// Queues are bounded. If the queue is full, a change or a claim is refused with a
// *FullError and is not written; once accepted, it is never dropped. Outcomes are
// written behind: if the queue is full, the oldest are dropped and counted,
// because callers mostly request the answers of recent jobs again.
//
// An append that the platform temporarily refuses, or that cannot reach the
// platform, is retried after a backoff with jitter. Changes and claims are not
// retried if the outcome of the append is unknown; their writers read the stream
// to learn the outcome. Outcomes are retried, because a duplicate is harmless.
package appender
