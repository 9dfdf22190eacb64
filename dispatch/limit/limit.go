// Package limit decides which jobs are refused in overload.
//
// The first measure is the expected wait: the expected run time of what waits,
// divided by the slots. Refusing at the door by expected wait keeps the queue
// no longer than callers are willing to wait, whatever the run times are. The
// second is the number of waiting tasks, which bounds memory.
package limit

import "time"

// Limits on the expected wait.
const (
	// DefaultMaxWait is the longest expected wait that is accepted while the
	// callers' patience is not known.
	DefaultMaxWait = 1500 * time.Millisecond
	// acceptAllShare is the share of the limit below which everything is accepted.
	acceptAllShare = 0.25
	// rejectAllFactor is the multiple of the limit above which nothing is accepted.
	rejectAllFactor = 2
)

// Load is the expected wait of a job at one service until its first task
// starts. The job's own work is not in it: on an idle system no job is refused.
type Load struct {
	All  time.Duration // behind everything that waits, on all slots
	Team time.Duration // behind its team's work only, on the team's share
}

// Admit reports whether a job is accepted. Below the limit everything is;
// above it, teams that ask for more than their share are refused first.
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

// maxFreeMultiple is how many times the free part of the memory for waiting tasks
// one service may fill.
const maxFreeMultiple = 2

// Full reports whether there is no memory left for the tasks of one more job.
// limit bounds the waiting tasks of all services. A service may fill a
// multiple of what is free, so that a service in overload leaves room for
// those that are not.
func Full(limit, waiting, ofService, job int) bool {
	free := limit - waiting
	return job > free || ofService > maxFreeMultiple*free
}

// Bounds of the time after which a refused caller may ask again.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// RetryAfter returns when the queue will be short again.
func RetryAfter(load Load, maxWait time.Duration) time.Duration {
	return min(max(load.All-time.Duration(acceptAllShare*float64(maxWait)), minRetryAfter), maxRetryAfter)
}
