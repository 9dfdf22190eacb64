// Package leased decides which task runs on which leased endpoint. Leased
// endpoints identify the tasks they run by name and run number, run them only
// under a lease, list the active and the ended runs, and accept only requests
// that carry the highest fencing token they have seen.
//
// A Core holds the endpoints of some cells (see package membership/cells). It
// alone starts tasks there, extends their leases and acknowledges ended runs.
// It does no I/O and reads no clock: inputs go in, Actions come out.
//
//	core := leased.New(leased.Options{Token: token})
//	actions := core.Step(now, &leased.Submit{Ticket: 1, Job: job})
//
// # Life cycle of a job
//
// A Submit queues a job until its caller's deadline. Tasks whose earlier steps
// are done are placed in order of urgency (queue.go) on the endpoint that is
// expected to finish them first (place.go). If no endpoint has enough free
// capacity, a task is delegated to the holder of another cell that has
// announced free capacity (delegate.go, and delegated.go at that holder). An endpoint's list of ended runs
// (runs.go) tells how a run ended. When the last task is done, or one has
// failed too often, every ticket of the job gets an Answer.
//
// # Invariants
//
//   - A task has at most one run that may be active, here or delegated. It is
//     started again only when the previous run is listed as ended, was provably
//     not started, or its lease has expired.
//   - No task is started on an endpoint before a poll under the current token
//     has listed what runs there. Runs that no job claims are stopped.
//   - When the last ticket of a job is cancelled, all its runs are stopped.
//   - A job is answered Rejected only if none of its runs was ever started.
//   - A task under which endpoints crash is started at most a few times
//     (crash.go, package dispatch/blame), because each start may destroy an
//     endpoint and the runs on it.
//   - Decisions and what is learned do not depend on the order of a map: one is
//     iterated over only where the order has no effect.
package leased
