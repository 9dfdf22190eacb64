// Package stored decides what becomes of jobs that must outlive the processes:
// those that are accepted only once they are stored, and of which callers ask
// until they have ended.
//
// Jobs are spread over shards by their ID. A shard is one partition of a log
// with fenced writers; one entry owns it and is the only one that appends. A
// Shard is the owner's state. It does no I/O and reads no clock: inputs go in,
// Actions come out, and events that were read from the log are replayed.
//
// # The way of a job
//
// Accept appends the job to the next batch of events; one batch is under way at
// a time. Once that is stored, the caller is told and the job is offered to a
// holder of endpoints (package leased). Whoever holds the endpoint on which a
// task ends reports it; the end is stored before the report is answered, and
// only then may the endpoint forget it. So at any moment an end stands on the
// log or is still listed by its endpoint.
//
// # Invariants
//
//   - An accepted job is on the log, and stays there while it is not ended and
//     for some time after: records are written again before they expire.
//   - A refused job is not on the log and never will be.
//   - A task that is stored as done is never offered again.
//   - That a job is completed is said once all ends are reported: each stands on
//     the log then, or is listed by its endpoint until it does. Any other end is
//     said only once it is stored.
package stored
