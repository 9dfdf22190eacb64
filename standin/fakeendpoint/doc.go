// Package fakeendpoint is a stand-in for the endpoints of services and for
// the workers that host them.
//
// An Endpoint speaks the protocol of package endpointapi: slots, typed
// refusals, leases, stop, throttle, and its load on each answer. It does not
// deduplicate. Every start is recorded in a Starts, so that a task that is
// started twice is seen where it runs.
//
// A Worker hosts endpoints. Its guards act on tasks that use more than they
// declared: too much memory stops the task, too many cores throttle it.
//
// A Fleet holds many endpoints and workers in one process, each endpoint with
// a listener of its own.
//
// # Payload
//
// What a task does is told by its payload, a JSON object; see Payload. An
// unknown or missing payload is a task without run time. The result holds the
// payload as it came in, so that a caller can tell whether a result is its
// own.
//
// Time comes from package time only, so that testing/synctest can drive it.
package fakeendpoint
