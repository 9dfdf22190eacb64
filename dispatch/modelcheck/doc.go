// Package modelcheck explores the behavior of a few entries, an endpoint and a
// caller that use the real job ledger while processes crash, pause and stop,
// replies are lost or duplicated, and the network is partitioned.
//
// A State is one state of that small system. State.Actions lists every action
// that may come next, State.Next applies one, and State.Violation describes
// the first invariant that was violated, if any. Explore visits all reachable
// states breadth first. A property test takes random walks through larger
// systems.
//
// # Checked invariants
//
//   - An endpoint starts a non-idempotent task at most once.
//   - A complete answer has the result of every task.
//   - A job that was reported as not run was not started before and is not
//     started afterwards.
//   - A job is never reported with two different outcomes.
//   - At most one live entry is authoritative for an owner's job IDs. A
//     successor that has confirmed the last part of a handover is authoritative
//     for them.
//   - In a terminal state, no live entry has an open job.
//
// # Modeled behavior
//
// Starting a task in the ledger and writing the request to the endpoint are
// separate actions. A pause between them lets the lease expire, which is
// checked right before the write. A request that was written may reach the
// endpoint at any later time, even after its sender has given it up or
// crashed. Entries send the parts of their handover and, after it, the status
// of the attempts that they started.
package modelcheck
