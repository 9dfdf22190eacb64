package admission

import (
	"math"
	"time"
)

// Shares of a job's value: a fixed one, and one in proportion to its work.
const (
	fixedValue = 0.3
	workValue  = 0.7
)

// Factors of the priority bands. A queue marked as most important counts at most
// twice as much as any other, which bounds what it can take from them.
const (
	bandStep      = 0.2
	minBandFactor = 0.5
)

// Job is a job as admission control sees it.
type Job struct {
	ID        string
	Queue     string
	Priority  int     // band of the queue; 0 is the most important
	Work      float64 // expected core-seconds of all tasks, including the Correction
	Remaining float64 // expected core-seconds of the tasks that are not done
	Waiting   float64 // expected core-seconds of the tasks that have not started
	Cores     float64 // needed to run all waiting tasks concurrently
	Tasks     int     // that have not started
	// Correction is the observed ratio of the run times of the queue to those that
	// its callers have stated.
	Correction float64
	Span       time.Duration // expected run time on an idle system
	Arrived    time.Time
	// LatestStart is when the last task must start for an answer in time.
	LatestStart time.Time
	// Protected jobs may have run, or outlive their callers: they are never
	// rejected.
	Protected bool
}

// bandFactor returns the factor of a priority band.
func bandFactor(priority int) float64 {
	return max(minBandFactor, 1/(1+bandStep*float64(max(0, priority))))
}

// Value returns the value of a job of a queue with the given mean work. Value,
// work and mean are in core-seconds.
func Value(priority int, work, mean float64) float64 {
	return bandFactor(priority) * (fixedValue*mean + workValue*work)
}

// maxPrice bounds the price of jobs that are nearly done, or without work.
const maxPrice = 100

// Price returns the value of a job per core-second of its remaining work, at most
// maxPrice. Work, remaining and mean are in core-seconds.
func Price(priority int, work, remaining, mean float64) float64 {
	price := Value(priority, work, mean) / remaining
	if math.IsNaN(price) || price > maxPrice {
		return maxPrice
	}
	return price
}

// valid reports whether the quantities of a job are usable.
func (j *Job) valid() bool {
	for _, v := range []float64{j.Work, j.Remaining, j.Waiting, j.Cores} {
		if !(v >= 0) || math.IsInf(v, 1) {
			return false
		}
	}
	return j.Correction > 0 && !math.IsInf(j.Correction, 1)
}
