package admission

import (
	"math"
	"time"
)

// Parameters of the prediction of run times.
const (
	runTimeGain  = 0.02 // weight of the newest run
	priorRuns    = 20   // weight, in runs, of the assumption that stated run times are right
	maxLogFactor = 3    // bound of the deviation of ln(run time), so that outliers count little
)

// RunTimes predicts run times from those that callers state, by a regression of
// logarithms for each queue. If the stated run times of a queue say little about the
// actual ones, predictions are close to the queue's mean. Unlike the mean ratio, the slope is not biased by
// the rejection of jobs with long stated run times.
type RunTimes struct {
	queues map[string]*regression
}

type regression struct {
	runs                 float64
	stated, took         float64 // means of logarithms
	variance, covariance float64 // of the stated ones; of both
}

// NewRunTimes returns a predictor without observations. It predicts that run times
// are as stated.
func NewRunTimes() *RunTimes { return &RunTimes{queues: make(map[string]*regression)} }

// Observe learns from the actual and the stated time of a run. It ignores times that
// are not positive.
func (r *RunTimes) Observe(queue string, took, stated time.Duration) {
	if took <= 0 || stated <= 0 {
		return
	}
	q := r.queues[queue]
	if q == nil {
		q = &regression{}
		r.queues[queue] = q
	}
	x, y := math.Log(stated.Seconds()), math.Log(took.Seconds())
	q.runs++
	gain := max(runTimeGain, 1/q.runs)
	dx, dy := limit(x-q.stated), limit(y-q.took)
	if q.runs == 1 {
		dx, dy = x-q.stated, y-q.took
	}
	q.stated += gain * dx
	q.took += gain * dy
	q.variance = (1 - gain) * (q.variance + gain*dx*dx)
	q.covariance = (1 - gain) * (q.covariance + gain*dx*dy)
}

func limit(deviation float64) float64 { return min(max(deviation, -maxLogFactor), maxLogFactor) }

// slope returns the share, from 0 to 1, of a stated run time's deviation from its mean
// that is expected of the actual run time (as logarithms).
func (q *regression) slope() float64 {
	slope := 1.0
	if q.variance > 0 {
		slope = min(max(q.covariance/q.variance, 0), 1)
	}
	return (slope*q.runs + priorRuns) / (q.runs + priorRuns)
}

// Expected returns the expected run time for a stated one.
func (r *RunTimes) Expected(queue string, stated time.Duration) time.Duration {
	q := r.queues[queue]
	if q == nil || stated <= 0 {
		return stated
	}
	log := q.took + q.slope()*limit(math.Log(stated.Seconds())-q.stated)
	return time.Duration(math.Exp(log) * float64(time.Second))
}

// Correction returns the mean ratio of run times to stated ones, or 1 for a queue
// without observed runs.
func (r *RunTimes) Correction(queue string) float64 {
	q := r.queues[queue]
	if q == nil {
		return 1
	}
	return math.Exp(q.took - q.stated)
}
