// Package dispatch decides what runs where and when. It is a state machine
// without I/O: the caller feeds inputs into Core.Step together with the
// current time, and carries out the actions that come back.
//
//	core := dispatch.New(dispatch.Options{...})
//	for input := range inputs {
//		ready := core.Step(time.Now(), input)
//		for _, start := range ready.Starts { go send(start) }
//		for _, answer := range ready.Answers { wake(answer) }
//	}
//
// # Inputs
//
// Callers: Submit, Ask, Cancel, HangUp. Endpoints: Done, Refused, Failed,
// Lost. Environment: SetCatalog, SetEndpoints, SetShare, Tick.
//
// # Actions
//
// A Ready carries the tasks to start, the tasks to stop, the jobs that have
// ended, and the verdict on a submission. Its slices are valid until the next
// call of Step.
//
// # Invariants
//
//   - Every start is authorised by the ledger right before it is returned; a
//     non-idempotent task is returned in Ready.Starts again only after a proof
//     that its earlier attempt did not start (see Refused and Lost).
//   - Every admitted job is answered exactly once: whole, or failed with a
//     reason.
//   - A Rejection with Execution NotRun is given only for a job of which no
//     task was ever started, and the ledger admits no start for its ID later.
//
// # Time and chance
//
// Core reads no clock and no global random number; Options carries the random
// source. Core.NextTick tells when Step wants a Tick at the latest.
package dispatch
