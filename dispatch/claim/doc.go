// Package claim decides which job a caller's own idempotency key is bound to.
// It is a state machine without I/O: Claimer.Step takes one input at a time
// and returns the actions that follow from it.
//
// The first claim of a key, in the order of the log's offsets, binds the key to
// the job ID that the claim names. Every entry that reads the log reaches the
// same decision. Only the owner of the bound ID may start the job.
//
// # Invariants
//
//   - A bound key is never bound to another job ID within Options.Retention
//     after the claim was read. The log must keep its records for longer, and
//     job IDs must expire sooner.
//   - A Binding is returned only after its claim and all earlier records have
//     been read back from the log.
//   - A claim that is appended again because the outcome of the first append is
//     unknown names the same job ID, so a claim that is on the log twice still
//     has one meaning.
//
// # Refusals
//
// A claim that was refused may still take effect. The calling code must close
// the job ID in the ledger before it answers the caller, so that this
// submission starts nothing. The answer must not be "not run": another entry
// may have claimed the same key already, or may claim it later, and may run its
// own job.
//
// # Cost
//
// At most one append is in progress at a time. An append starts no sooner than
// Options.Interval after the previous one and carries all waiting claims, up to
// MaxBatch.
package claim
