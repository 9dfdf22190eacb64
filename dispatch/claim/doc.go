// Package claim decides which job a caller's own idempotency key stands for.
// It is a state machine without I/O: Claimer.Step takes one input at a time
// and returns what has to be done.
//
// The first claim of a key in the order of the log's offsets binds the key to
// the job ID that the claim names. Every entry that reads the log decides
// alike. The owner of the bound ID alone may start the job.
//
// # Invariants
//
//   - A key that was bound is never bound to another job ID while the claim is
//     remembered, which is for Options.Retention. The log must keep its
//     records for longer, and job IDs must expire sooner.
//   - A claim that is Bound was read back from the log, after all records
//     before it.
//   - A claim that is appended again, because its fate is unknown, names the
//     same job ID. So a claim that took effect twice has one meaning.
//
// # Refusals
//
// A claim that is Refused may still take effect. The shell must close its job
// ID in the ledger before it answers, so that this submission starts nothing.
// The answer must not be "not run": another entry may have claimed the same
// key earlier, or may yet, and may run its job.
//
// # Cost
//
// One append is under way at a time, no sooner than Options.Interval after the
// one before, and carries every claim that waits, up to MaxBatch.
package claim
