// Package compare compares policies of package dispatch by simulation.
//
// A seeded event loop in virtual time submits the same jobs to dispatch.Core
// under each policy. Simulated endpoints know the true run time of every task.
// They run tasks in their slots, queue the tasks that exceed them, and fail as
// the scenario specifies. A run uses no goroutines, so the same seed gives the
// same result.
//
// # Measures
//
// Slowdown is response time ÷ ideal. The response time is measured at the
// caller's entry from submission to answer. The ideal is the time that the job
// would take on the same endpoints without other load, including network
// delays. Wasted messages are those beyond one request and one reply for each
// task that was sent, per such task. Goodput is the true run time of the jobs
// completed within their caller timeout, as a share of the capacity of all
// slots.
package compare
