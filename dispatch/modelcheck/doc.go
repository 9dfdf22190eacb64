// Package modelcheck explores what a few entries, an endpoint and a caller can
// do with the real job ledger while processes crash, pause and stop, replies
// are lost or come twice, and the network is cut.
//
// A World is one state of that small system. World.Actions lists every step
// that may come next, World.Next takes one, and World.Violation names the
// promise that was broken, if any. Explore visits all reachable worlds breadth
// first; a property test walks larger ones at random.
//
// # What is checked
//
//   - An endpoint starts a non-idempotent task at most once.
//   - A complete answer has the result of every task.
//   - A job that was called not run was not started before and is not later.
//   - Nobody gives a job two different outcomes.
//   - At most one live entry answers for an owner's job IDs, and a successor
//     that has confirmed a hand-over does.
//   - Where nothing more can happen, no live entry has an open job.
//
// # What is modelled
//
// The step between the start in the ledger and the write to the endpoint is a
// separate one: a pause in between makes the lease lapse, which is checked
// right before the write. A request that was written may reach the endpoint
// at any later time, also after its sender gave it up or crashed. Entries
// tell their hand-over parts and, after it, the fates of their own attempts.
package modelcheck
