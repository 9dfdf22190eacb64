// Package ledger is the record of which tasks were started. It is the only
// authority over starts: a task is sent to an endpoint only after Start
// has returned true for that attempt.
//
// # Invariants
//
//   - A non-idempotent task has at most one attempt whose fate is not a proof
//     that it did not start.
//   - A job ID moves only forward: absent, open, ended or closed. A closed ID
//     was refused as not run; it admits no start until its expiry, and after
//     its expiry it is refused by the ID itself.
//   - An ended job never changes its outcome.
//
// The package does no I/O and reads no clock.
package ledger
