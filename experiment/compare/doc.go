// Package compare measures policies of package dispatch against each other.
//
// A seeded loop in virtual time feeds the same jobs to dispatch.Core under
// each policy. Endpoints are fakes that know the true run time of every task;
// they run tasks in their slots, queue what exceeds them, and misbehave as the
// scenario says. There is no goroutine in a run: the same seed gives the same
// result.
//
// # Measures
//
// Response time is taken at the caller's entry from submission to answer and
// divided by the ideal: what the job would take on the same endpoints with
// nothing else running, network included. Wasted messages are those beyond one
// request and one answer for each task that gave a result, per such task.
// Goodput is the true run time of the jobs answered whole within their
// caller's patience, as a share of the slots' time.
package compare
