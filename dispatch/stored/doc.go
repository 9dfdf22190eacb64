// Package stored manages stored jobs: jobs that must survive the loss of any
// process. They are accepted only once they are on a log, and callers can ask
// for their state until they have ended.
//
// Jobs are distributed over shards by their ID. A shard is one partition of a
// log with fenced writers; one entry owns it and is the only one that appends.
// A Shard is the owner's state. It does no I/O and reads no clock: it takes
// Inputs, returns Actions, and replays events that were read from the log.
//
// # Life cycle of a job
//
// Accept adds the job to the next batch of events; one batch is in flight at a
// time. Once the batch is stored, the caller is answered and the job is offered
// to a holder of endpoints (package leased). The entry that holds the endpoint
// on which a run has ended reports its end. The end is stored before the report
// is acknowledged, and only then may the endpoint forget it. At any moment,
// therefore, an end is on the log or still listed by its endpoint.
//
// # Invariants
//
//   - An accepted job is on the log, and stays there until some time after it
//     has ended: a snapshot is written before its records expire.
//   - A refused job is not on the log and never will be.
//   - A task that is stored as done is never offered again.
//   - A job is shown as completed once all its tasks are reported as done: each
//     end is then on the log, or listed by its endpoint until it is. A job is
//     shown as failed or cancelled only once that is stored.
//   - The count of endpoints that crashed under a task is on the log, so that no
//     change of owner or holder grants the task further crashes.
package stored
