// Package dispatch decides which task runs where and when. It is a state
// machine without I/O: its caller, called the shell below, passes inputs to
// Core.Step together with the current time and carries out the returned
// actions.
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
// Callers: Submit, Ask, Cancel, Disconnect. Endpoints: Done, Refused, Failed,
// Lost. Environment: SetCatalog, SetEndpoints, SetShare, Drain, Tick.
// Handover: HandOver, TransferResult, Accept, StatusUpdate, OwnerGone.
//
// # Actions
//
// A Ready holds the tasks to start, the tasks to stop, the jobs that have
// ended, and the decision on a submission. Its slices are valid until the next
// call of Step.
//
// # Invariants
//
//   - The ledger authorizes every start right before it is returned. A
//     non-idempotent task appears in Ready.Starts again only after proof that
//     its earlier attempt did not start (see Refused and Lost).
//   - Every admitted job is answered exactly once: with all results, or with
//     the reason of its failure.
//   - A Rejection with Execution NotRun is returned only for a job of which no
//     task was ever started, and the ledger admits no later start for its ID.
//
// # Policy
//
// Each part of the policy is a separate package, and this package combines
// them:
//
//   - estimate: how long tasks run and callers wait, learned from traffic
//   - urgency: the order of waiting jobs
//   - queue: the data structures that hold waiting jobs
//   - place: the endpoint of a task, by load, rack and workers' resources
//   - quota: rates and fair shares of teams
//   - limit: rejections under overload
//   - outlier: endpoints that fail or are slow
//   - evacuation: failure domains that operators empty
//   - retry: the budget of attempts beyond the first of each task
//
// # Slots
//
// Every running task holds one slot of one endpoint, from its Start until its
// status is known, also after its job has ended. The status comes from the
// shell or, after the end of the lease, from the core itself.
//
// # Time and randomness
//
// Core reads no clock and no global random number generator; Options carries
// the random source. Core.NextTick returns the latest time for the next Tick.
package dispatch
