// Package limit decides which jobs are rejected under overload.
//
// The first criterion is the expected wait: the expected run time of all
// waiting tasks divided by the number of slots. Admission by expected wait keeps
// the queue no longer than callers are willing to wait, whatever the run times
// are. The second criterion is the number of waiting tasks, which bounds memory.
package limit

import "time"

// Limits on the expected wait.
const (
	// DefaultMaxWait is the longest accepted expected wait while the callers'
	// timeout is not known.
	DefaultMaxWait = 1500 * time.Millisecond
	// acceptAllShare is the share of the limit up to which all jobs are accepted.
	acceptAllShare = 0.25
	// rejectAllFactor is the multiple of the limit above which no job is accepted.
	rejectAllFactor = 2
)

// Load is the expected wait of a job at one service until its first task
// starts. It does not include the job's own work, so that an idle system
// rejects no job.
type Load struct {
	All  time.Duration // for all waiting tasks to run on all slots
	Team time.Duration // for the team's waiting tasks to run on the team's share of the slots
}

// Admit reports whether a job is accepted. The limit is maxWait: up to
// acceptAllShare of it all jobs are accepted, and above rejectAllFactor times it
// none. In between, jobs of teams with much waiting work in relation to their
// share are rejected first.
func Admit(load Load, maxWait time.Duration) bool {
	limit := float64(maxWait)
	switch {
	case float64(load.All) <= acceptAllShare*limit:
		return true
	case float64(load.All) > rejectAllFactor*limit:
		return false
	case float64(load.All) <= limit:
		return float64(load.Team) <= rejectAllFactor*limit
	default:
		return float64(load.Team) <= acceptAllShare*limit
	}
}

// maxFreeMultiple bounds the waiting tasks of one service: they may be at most
// this multiple of the tasks for which there is still memory.
const maxFreeMultiple = 2

// Full reports whether there is no memory left for the tasks of another job.
// limit bounds the waiting tasks of all services. The waiting tasks of one
// service are bounded by a multiple of the free capacity, so that an overloaded
// service leaves capacity for the other services.
func Full(limit, waiting, ofService, job int) bool {
	free := limit - waiting
	return job > free || ofService > maxFreeMultiple*free
}

// Bounds of the time after which the caller of a rejected job may retry.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// RetryAfter returns the time until the queue is expected to be short enough
// for all jobs to be accepted, within bounds.
func RetryAfter(load Load, maxWait time.Duration) time.Duration {
	return min(max(load.All-time.Duration(acceptAllShare*float64(maxWait)), minRetryAfter), maxRetryAfter)
}
