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
// # Policy
//
// Each part of the policy is a package of its own, and this one puts them
// together:
//
//   - estimate: how long tasks run and callers wait, learned from traffic
//   - urgency: the order of waiting jobs
//   - queue: the data structures that hold what waits
//   - place: the endpoint of a task, by load, rack and workers' resources
//   - quota: rates and fair shares of teams
//   - limit: refusals in overload
//   - outlier: endpoints that fail or are slow
//   - retry: the budget of messages beyond one for each task
//
// # Slots
//
// Every running task holds one slot of one endpoint, from its Start to its
// fate, also after its job has ended. A fate may come from the shell or, past
// the end of the lease, from the core itself.
//
// # Time and chance
//
// Core reads no clock and no global random number; Options carries the random
// source. Core.NextTick tells when Step wants a Tick at the latest.
package dispatch
