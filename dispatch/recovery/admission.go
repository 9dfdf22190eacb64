package recovery

import (
	"hash/fnv"
	"math"
	"time"
)

// Capacity is the capacity that a holder can count on.
type Capacity struct {
	Cores    float64       // of endpoints that answer
	Expected float64       // of endpoints that are about to be held
	After    time.Duration // until Expected is available
}

// timeToServe returns the time in which the capacity does an amount of work in
// core-seconds. It is the longest time.Duration if there is no capacity.
func (c Capacity) timeToServe(work float64) time.Duration {
	doneBefore := c.Cores * c.After.Seconds()
	if c.Expected <= 0 || work <= doneBefore {
		return seconds(work / c.Cores)
	}
	return c.After + seconds((work-doneBefore)/(c.Cores+c.Expected))
}

func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s < 0 {
		return 0 // no work and no capacity
	}
	if s > math.MaxInt64/2/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}

// Job is a queued job.
type Job struct {
	Work    float64       // core-seconds that are left
	RunTime time.Duration // expected, on an idle system
	Left    time.Duration // until an answer is of no use to the caller
	Timeout time.Duration // until the caller stops waiting; not before Left
	Keep    bool          // may have started, so it is not rejected
}

// Unservable returns the indexes of the jobs, given in the order in which they
// are served, that are to be rejected. While all callers can be answered before
// they stop waiting, that is none. Otherwise it is those whose answers would be
// of no use, so that capacity remains for the others. A job that is rejected
// takes no capacity from those behind it. Without any capacity, none is rejected.
func Unservable(c Capacity, queue []Job) []int {
	if c.Cores <= 0 && c.Expected <= 0 {
		return nil // no endpoint answers, and it is not known when one will
	}
	if len(late(c, queue, func(j *Job) time.Duration { return j.Timeout })) == 0 {
		return nil
	}
	return late(c, queue, func(j *Job) time.Duration { return j.Left })
}

// late returns the indexes of the jobs that cannot be answered within a limit.
func late(c Capacity, queue []Job, limit func(*Job) time.Duration) []int {
	var list []int
	ahead := 0.0
	for i := range queue {
		j := &queue[i]
		if !j.Keep && !c.serves(j, ahead, limit(j)) {
			list = append(list, i)
			continue
		}
		ahead += j.Work
	}
	return list
}

// serves reports whether a job can be answered within a limit behind an amount
// of work.
func (c Capacity) serves(j *Job, ahead float64, limit time.Duration) bool {
	wait := c.timeToServe(ahead)
	if c.Cores <= 0 {
		wait = max(wait, c.After)
	}
	return wait <= limit && j.RunTime <= limit-wait
}

// retrySpread is the share of the time until a retry by which callers differ.
const retrySpread = 1.0

// Spread returns when a rejected caller should retry: at base or up to twice as
// late, so that callers that were rejected together do not return together. The
// key, for example the job's ID, decides.
func Spread(base time.Duration, key string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(key))
	return base + time.Duration(retrySpread*float64(base)*float64(h.Sum32())/math.MaxUint32)
}
