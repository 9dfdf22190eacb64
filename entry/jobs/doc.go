// Package jobs implements the callers' operations on jobs independently of the
// transport: obtain IDs, submit, ask and cancel. It verifies IDs and bodies and
// routes each request to the owner of its job ID.
//
// # Routing
//
// The ID contains the incarnation that owns the job. The control loop serves
// the jobs that this entry owns. Requests about other jobs are forwarded to
// their owner in one hop. This entry never runs a job whose owner is gone: the
// outcome of such a job is unknown.
package jobs
