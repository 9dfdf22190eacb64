// Package fakeendpoint implements stand-ins for the endpoints of services and
// for the workers that host them.
//
// An Endpoint implements the protocol of package endpointapi: slots, typed
// refusals, leases, stop, throttle, and the load in each response. It does not
// deduplicate tasks. It records every start in a Starts, which detects at the
// endpoint that a task was started twice.
//
// A Worker hosts endpoints. It enforces limits on tasks that use more than they
// declared: it stops a task that uses too much memory and throttles a task that
// uses too many cores.
//
// A Fleet holds many endpoints and workers in one process. Each endpoint has its
// own listener.
//
// # Payload
//
// The payload of a task is a JSON object that describes what the task does; see
// Payload. A task with an unknown or missing payload has no run time. The result
// contains the payload unchanged, so that a caller can check that a result
// belongs to its task.
//
// The package takes the time only from package time, so that tests can run it in
// testing/synctest.
package fakeendpoint
