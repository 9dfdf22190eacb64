// Package admission decides which jobs are rejected, and when, while capacity is
// short, so that callers lose as little value as possible. It does no I/O and
// reads no clock.
//
// The value of a job is its band factor times (0.3 x mean work of its queue + 0.7
// x its own work), and its price is that value divided by its remaining work. Per
// unit of work, all queues of a band have the same value, so a queue of long jobs
// is not shut out. Band factors differ by at most 2, so no band is absolute.
//
// A Controller observes arrivals by queue and size class. At each Update it fills
// the capacity with the classes of the highest price first (water-filling). The
// price of the last class that is served is the threshold. Classes below it keep
// their floors. The capacity that is filled shrinks while the backlog exceeds its
// target, so that errors of the observed demand or of the work estimates are
// corrected within a fraction of a second.
//
// Holders may announce their demand, backlog and capacity to each other (SharedLoad).
// Then a shortage and its threshold follow from the sums over all holders, so that a
// holder rejects nothing while all together have enough capacity.
//
//	controller.Arrive(now, &job)                // every job, also without a shortage
//	load := controller.Announce(now)            // to other holders; optional
//	controller.Receive(now, holder, &load)      // from other holders; optional
//	controller.Update(state)                    // at every tick
//	rejection := controller.Offer(state, &job)  // when a job is submitted
//	rejections := controller.Plan(state, jobs)  // at every tick of a shortage
//
// # Invariants
//
//   - Without a shortage, nothing is rejected.
//   - Protected jobs (begun, resubmitted or stored) are never rejected.
//   - A job that fits into idle cores while nothing waits is never rejected.
//   - Decisions do not depend on the order in which the jobs of a tick are passed.
//     Which jobs of a class are served is determined by a hash of the job's ID and
//     the second of its arrival, so a caller that returns gets another draw.
package admission
