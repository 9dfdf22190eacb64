// Package appender shares the append budget of one process between the kinds
// of records that it writes to the log.
//
// Each kind has a queue, a stream and one append in flight, so that a slow
// append of one kind holds up no other, and so that records gather into
// batches while an append is under way.
//
// # Budget
//
// Every kind is sure of its share of the appends per second. What a kind
// leaves unused goes to the others, to changes first, then claims, then
// outcomes.
//
// # When the log is slow or down
//
// Queues are bounded. A change or a claim that finds its queue full is refused
// with a *FullError and was not written; one that was taken is never dropped.
// Outcomes are written behind: the oldest are dropped and counted, since the
// answers of the latest jobs are asked for again most.
//
// A refused or unreachable append is tried again after a back-off with jitter.
// An append of unknown outcome is not repeated for changes and claims: their
// writers read the stream to learn the outcome. Outcomes are repeated, since a
// second copy of one is harmless.
package appender
