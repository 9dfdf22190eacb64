// Package leased decides which task runs on which leased endpoint. It is for
// endpoints that know the tasks they run by name and run number, run them only
// under a lease, list what runs and what has ended, and obey only the highest
// fencing token they have seen.
//
// A Core holds the endpoints of some cells (see package membership/cells). It
// alone starts tasks there, extends their leases and takes note of their ends.
// It does no I/O and reads no clock: inputs go in, Actions come out.
//
//	core := leased.New(leased.Options{Token: token})
//	actions := core.Step(now, &leased.Submit{Ticket: 1, Job: job})
//
// # The way of a job
//
// A Submit makes a job wait until its caller's deadline. Tasks whose earlier
// steps are done are placed in order of urgency (queue.go) on the endpoint that
// is expected to end them first (place.go). If no endpoint has room, a task is
// lent to the holder of another cell that has announced room (delegate.go). An
// endpoint's list of ends (runs.go) says what became of a run. When the last
// task is done, or one has failed too often, every ticket of the job gets an
// Answer.
//
// # Invariants
//
//   - A task has at most one run that may be at work, here or lent. It is
//     started again only when the previous run is listed as ended, was provably
//     not started, or its lease has run out.
//   - Nothing is started on an endpoint before a look at it, under the present
//     token, has told what runs there. Runs that nobody claims are stopped.
//   - A job whose last ticket is cancelled has all its runs stopped.
//   - A Rejected answer is given only if no run of the job was ever started.
package leased
