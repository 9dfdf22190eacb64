// Package jobs is what a caller can do with jobs, independent of the
// transport: obtain IDs, submit, ask, cancel. It verifies IDs and bodies and
// routes each request to the owner of its ID.
//
// # Routing
//
// The ID names the incarnation that owns the job. Its own jobs are served by
// the control loop; those of another entry are forwarded to it, one hop. The
// job of an owner that is gone is never run here: its outcome is unknown.
package jobs
