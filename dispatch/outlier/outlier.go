// Package outlier detects endpoints that fail more often or run tasks more
// slowly than the other endpoints of their service.
package outlier

import (
	"math"
	"time"
)

// Health tells how many tasks an endpoint may get.
type Health uint8

// Health values, from best to worst.
const (
	Healthy   Health = iota
	Degraded         // gets tasks only if no healthy endpoint has a free slot
	Probation        // gets one task at a time, to test whether it has recovered
	Ejected          // gets no task
)

// Parameters of the detection.
const (
	smoothing       = 0.2  // weight of the newest outcome in the failure rate
	minFailureRate  = 0.5  // failure rate from which on an endpoint may be ejected
	peersFactor     = 3    // factor by which an outlier's failure rate exceeds that of its peers
	minOutcomes     = 3    // outcomes needed before an endpoint is ejected
	slowFactor      = 2.5  // factor by which a slow endpoint's run time ÷ expected run time exceeds that of its peers
	minRuns         = 5    // run times needed before an endpoint is considered slow
	slowSmoothing   = 0.15 // weight of the newest run time in the endpoint's average
	maxRunTimeRatio = 10.0 // bound on run time ÷ expected run time and its inverse
	firstEjection   = 5 * time.Second
	maxEjection     = 60 * time.Second
	degradedPeriod  = time.Second // after a failure or an overdue task
	probationRuns   = 3           // successful tasks that end the probation
	ejectableShare  = 0.2         // share of a service's endpoints that may be ejected, on probation or slow
)

// Peers holds the state that is shared by the endpoints of one service.
type Peers struct {
	Endpoints int
	ejected   int // endpoints that are ejected or on probation
	slow      int // endpoints that are degraded because they are slow
	outcomes  decayingCounts
	ratio     float64 // moving average of the logarithm of run time ÷ expected run time
}

// peersSmoothing is the weight of the newest outcome or run time in the averages
// over all peers.
const peersSmoothing = 0.01

// decayingCounts counts outcomes with exponentially decreasing weights. Its clock
// is the number of outcomes of all peers.
type decayingCounts struct {
	failures float64
	outcomes float64
	clock    int
}

func (d *decayingCounts) add(failure float64, clock int) {
	decay := math.Pow(1-peersSmoothing, float64(clock-d.clock))
	d.failures = d.failures*decay + failure
	d.outcomes = d.outcomes*decay + 1
	d.clock = clock
}

// retractFailure removes one failure from the counts.
func (d *decayingCounts) retractFailure() { d.failures = max(0, d.failures-1) }

func (p *Peers) observe(r *Record, failure float64) {
	clock := p.outcomes.clock + 1
	p.outcomes.add(failure, clock)
	r.contribution.add(failure, clock)
}

// failureRateWithout returns the failure rate of all peers except the given one,
// which must have had the latest outcome. Without outcomes of others the rate is
// 0, so that an endpoint that fails all its tasks before other endpoints have
// completed any is still an outlier.
func (p *Peers) failureRateWithout(r *Record) float64 {
	outcomes := p.outcomes.outcomes - r.contribution.outcomes
	if outcomes < 0.5 {
		return 0
	}
	return max(0, p.outcomes.failures-r.contribution.failures) / outcomes
}

// correctBias corrects a moving average of n values for its initial value of 0.
func correctBias(average, smoothing float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return average / (1 - math.Pow(1-smoothing, float64(n)))
}

// mayDemote reports whether another endpoint may be ejected or marked slow.
func (p *Peers) mayDemote() bool {
	limit := max(1, int(ejectableShare*float64(p.Endpoints)))
	return p.Endpoints > 1 && p.ejected+p.slow < limit
}

// Record holds the history of one endpoint. The zero Record is healthy.
type Record struct {
	health             Health
	reviewAt           time.Time // time from which on Review may change the health
	backoff            time.Duration
	failures           float64
	outcomes           int
	contribution       decayingCounts // the endpoint's part of the peers' outcomes
	ratio              float64
	runs               int
	probationSuccesses int // tasks that succeeded during probation
	slow               bool
}

// Health returns the current health.
func (r *Record) Health() Health { return r.health }

// Slow reports whether the endpoint is degraded because of its run times.
func (r *Record) Slow() bool { return r.slow }

// Failing reports whether the endpoint fails many of its tasks.
func (r *Record) Failing() bool {
	return r.health >= Probation || r.failureRate() >= minFailureRate
}

// failureRate returns the endpoint's failure rate. The first outcomes weigh more,
// so that an endpoint that has failed all of its few tasks is detected at once.
func (r *Record) failureRate() float64 { return correctBias(r.failures, smoothing, r.outcomes) }

// ReviewDue reports whether Review would change the health.
func (r *Record) ReviewDue(now time.Time) bool {
	return r.health != Healthy && r.health != Probation && !now.Before(r.reviewAt)
}

// Review changes the health of an endpoint whose review is due: ejected and slow
// endpoints go on probation, other degraded endpoints become healthy.
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

// Succeeded records a completed task. The ratio run ÷ expected is compared with
// that of the peers.
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

// Failed records a task that started but returned no result, or a connection on
// which no reply arrived.
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

// isOutlier compares the failure rate with that of the other endpoints.
func (r *Record) isOutlier(p *Peers) bool {
	rate := r.failureRate()
	return r.outcomes >= minOutcomes && rate >= minFailureRate && rate >= peersFactor*p.failureRateWithout(r)
}

// Degrade marks a healthy endpoint as degraded for degradedPeriod.
func (r *Record) Degrade(now time.Time) {
	if r.health != Healthy {
		return
	}
	r.health = Degraded
	r.reviewAt = now.Add(degradedPeriod)
}

// RetractFailure removes a recorded failure that was caused by the task, not by
// the endpoint.
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

// RemoveFrom removes the endpoint from the counts of its peers.
func (r *Record) RemoveFrom(p *Peers) {
	if r.health == Ejected || r.health == Probation {
		p.ejected--
	}
	if r.slow {
		p.slow--
	}
}
