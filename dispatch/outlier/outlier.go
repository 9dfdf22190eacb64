// Package outlier finds endpoints that fail or run tasks unlike their peers.
package outlier

import (
	"math"
	"time"
)

// Health is how much an endpoint is trusted.
type Health uint8

// Standings, from best to worst.
const (
	Healthy   Health = iota
	Degraded         // gets tasks only when no good endpoint has a free slot
	Probation        // gets one task at a time, to show whether it has recovered
	Ejected          // gets no task
)

// Parameters of the verdicts.
const (
	smoothing       = 0.2  // weight of the newest outcome
	minFailureRate  = 0.5  // ejects
	peersFactor     = 3    // an outlier fails this many times as often as its peers
	minOutcomes     = 3    // before a verdict
	slowFactor      = 2.5  // run time against expectation that makes a straggler
	minRuns         = 5    // before a verdict on run times
	slowSmoothing   = 0.15 // weight of the newest run time
	maxRunTimeRatio = 10.0
	firstEjection   = 5 * time.Second
	maxEjection     = 60 * time.Second
	degradedPeriod  = time.Second
	probationRuns   = 3
	ejectableShare  = 0.2 // of the endpoints of a service
)

// Peers is what the endpoints of one service have in common.
type Peers struct {
	Endpoints int
	ejected   int // ejected or on probation
	slow      int // doubtful for being slow
	outcomes  decayingCounts
	ratio     float64 // moving average of the logarithm of run ÷ expected
}

const peersSmoothing = 0.01

// decayingCounts counts outcomes of which older ones weigh less and less. Its clock is
// the number of outcomes of all peers.
type decayingCounts struct {
	failures float64
	outcomes float64
	clock    int
}

func (t *decayingCounts) add(failure float64, clock int) {
	decay := math.Pow(1-peersSmoothing, float64(clock-t.clock))
	t.failures = t.failures*decay + failure
	t.outcomes = t.outcomes*decay + 1
	t.clock = clock
}

// retractFailure takes a failure back.
func (t *decayingCounts) retractFailure() { t.failures = max(0, t.failures-1) }

func (p *Peers) observe(r *Record, failure float64) {
	clock := p.outcomes.clock + 1
	p.outcomes.add(failure, clock)
	r.contribution.add(failure, clock)
}

// failureRateWithout returns the failure rate of all peers but one, just after an
// outcome of that one. Without outcomes of others it is 0: an endpoint that
// fails everything before others have ended a task is still an outlier.
func (p *Peers) failureRateWithout(r *Record) float64 {
	outcomes := p.outcomes.outcomes - r.contribution.outcomes
	if outcomes < 0.5 {
		return 0
	}
	return max(0, p.outcomes.failures-r.contribution.failures) / outcomes
}

// correctBias corrects a moving average for having started at 0.
func correctBias(average, smoothing float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return average / (1 - math.Pow(1-smoothing, float64(n)))
}

// mayDemote reports whether one more endpoint may be set back.
func (p *Peers) mayDemote() bool {
	limit := max(1, int(ejectableShare*float64(p.Endpoints)))
	return p.Endpoints > 1 && p.ejected+p.slow < limit
}

// Record is what is known of one endpoint. The zero record is good.
type Record struct {
	health             Health
	reviewAt           time.Time // the standing is looked at again
	backoff            time.Duration
	failures           float64
	outcomes           int
	contribution       decayingCounts // of the peers' outcomes
	ratio              float64
	runs               int
	probationSuccesses int // tasks passed on probation
	slow               bool
}

// Health returns the current standing.
func (r *Record) Health() Health { return r.health }

// Slow reports whether the endpoint was set back for its run times.
func (r *Record) Slow() bool { return r.slow }

// Failing reports whether the endpoint fails many of its tasks.
func (r *Record) Failing() bool {
	return r.health >= Probation || r.failureRate() >= minFailureRate
}

// failureRate returns the failure failureRate. The first outcomes count for more, so that
// an endpoint that has failed all of few tasks is seen at once.
func (r *Record) failureRate() float64 { return correctBias(r.failures, smoothing, r.outcomes) }

// ReviewDue reports whether Review would change the standing.
func (r *Record) ReviewDue(now time.Time) bool {
	return r.health != Healthy && r.health != Probation && !now.Before(r.reviewAt)
}

// Review moves an endpoint on when its time is up.
func (r *Record) Review(p *Peers) {
	switch r.health {
	case Ejected:
		r.health = Probation
		r.probationSuccesses = 0
	case Degraded:
		if !r.slow {
			r.health = Healthy
			return
		}
		r.slow = false
		p.slow--
		p.ejected++
		r.health = Probation
		r.probationSuccesses = 0
	}
}

// Succeeded learns from a task that ran to its end. run ÷ expected is compared
// with the peers'.
func (r *Record) Succeeded(now time.Time, p *Peers, run, expected time.Duration) {
	r.outcomes++
	r.failures -= smoothing * r.failures
	p.observe(r, 0)
	ratio := r.observeRatio(p, run, expected)
	switch r.health {
	case Probation:
		if ratio-p.ratio >= math.Log(slowFactor) {
			p.ejected--
			r.demoteSlow(now, p)
			return
		}
		r.probationSuccesses++
		if r.probationSuccesses >= probationRuns {
			r.recover(p)
		}
	case Degraded:
		if !r.slow {
			r.health = Healthy
		}
	case Healthy:
		r.checkRunTimes(now, p)
	}
}

func (r *Record) recover(p *Peers) {
	p.ejected--
	*r = Record{backoff: r.backoff, contribution: r.contribution}
}

// observeRatio returns the logarithm of run ÷ expected.
func (r *Record) observeRatio(p *Peers, run, expected time.Duration) float64 {
	if run <= 0 || expected <= 0 {
		return p.ratio
	}
	ratio := math.Log(min(max(float64(run)/float64(expected), 1/maxRunTimeRatio), maxRunTimeRatio))
	r.runs++
	r.ratio += (ratio - r.ratio) * max(slowSmoothing, 1/float64(r.runs))
	p.ratio += (ratio - p.ratio) * peersSmoothing
	return ratio
}

func (r *Record) checkRunTimes(now time.Time, p *Peers) {
	if r.runs < minRuns || r.ratio-p.ratio < math.Log(slowFactor) || !p.mayDemote() {
		return
	}
	r.demoteSlow(now, p)
}

func (r *Record) demoteSlow(now time.Time, p *Peers) {
	r.slow = true
	p.slow++
	r.demote(now, Degraded)
}

// Failed learns from a task that started and gave no result, or from a
// connection that gave no answer.
func (r *Record) Failed(now time.Time, p *Peers) {
	r.outcomes++
	r.failures += smoothing * (1 - r.failures)
	p.observe(r, 1)
	switch {
	case r.health == Probation:
		r.demote(now, Ejected)
	case r.health == Ejected:
	case r.isOutlier(p) && p.mayDemote():
		if r.slow {
			p.slow--
			r.slow = false
		}
		p.ejected++
		r.demote(now, Ejected)
	case r.health == Healthy:
		r.Degrade(now)
	}
}

// isOutlier compares the failure rate with that of the others.
func (r *Record) isOutlier(p *Peers) bool {
	rate := r.failureRate()
	return r.outcomes >= minOutcomes && rate >= minFailureRate && rate >= peersFactor*p.failureRateWithout(r)
}

// Degrade makes a good endpoint the second choice for a short while.
func (r *Record) Degrade(now time.Time) {
	if r.health != Healthy {
		return
	}
	r.health = Degraded
	r.reviewAt = now.Add(degradedPeriod)
}

// RetractFailure takes a failure back that was the task's fault.
func (r *Record) RetractFailure(p *Peers) {
	r.failures = max(0, r.failures-smoothing)
	r.contribution.retractFailure()
	p.outcomes.retractFailure()
	if r.health == Degraded && !r.slow {
		r.health = Healthy
	}
}

func (r *Record) demote(now time.Time, health Health) {
	r.backoff = min(max(2*r.backoff, firstEjection), maxEjection)
	r.health = health
	r.reviewAt = now.Add(r.backoff)
}

// RemoveFrom takes the endpoint out of its peers' counts.
func (r *Record) RemoveFrom(p *Peers) {
	if r.health == Ejected || r.health == Probation {
		p.ejected--
	}
	if r.slow {
		p.slow--
	}
}
