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
	gain           = 0.2  // weight of the newest outcome
	failureRate    = 0.5  // ejects
	peersFactor    = 3    // an outlier fails this many times as often as its peers
	minOutcomes    = 3    // before a verdict
	slowFactor     = 2.5  // run time against expectation that makes a straggler
	minRuns        = 5    // before a verdict on run times
	slowGain       = 0.15 // weight of the newest run time
	maxRatio       = 10.0
	firstEjection  = 5 * time.Second
	longestAway    = 60 * time.Second
	doubtFor       = time.Second
	probationRuns  = 3
	ejectableShare = 0.2 // of the endpoints of a service
)

// Peers is what the endpoints of one service have in common.
type Peers struct {
	Endpoints int
	away      int // ejected or on probation
	slow      int // doubtful for being slow
	tally     tally
	ratio     float64 // moving average of the logarithm of run ÷ expected
}

const peersGain = 0.01

// tally counts outcomes of which older ones weigh less and less. Its clock is
// the number of outcomes of all peers.
type tally struct {
	failures float64
	outcomes float64
	clock    int
}

func (t *tally) add(failure float64, clock int) {
	fade := math.Pow(1-peersGain, float64(clock-t.clock))
	t.failures = t.failures*fade + failure
	t.outcomes = t.outcomes*fade + 1
	t.clock = clock
}

// forgive takes a failure back.
func (t *tally) forgive() { t.failures = max(0, t.failures-1) }

func (p *Peers) observe(r *Record, failure float64) {
	clock := p.tally.clock + 1
	p.tally.add(failure, clock)
	r.part.add(failure, clock)
}

// rateWithout returns the failure rate of all peers but one, just after an
// outcome of that one. Without outcomes of others it is 0: an endpoint that
// fails everything before others have ended a task is still an outlier.
func (p *Peers) rateWithout(r *Record) float64 {
	outcomes := p.tally.outcomes - r.part.outcomes
	if outcomes < 0.5 {
		return 0
	}
	return max(0, p.tally.failures-r.part.failures) / outcomes
}

// unbiased corrects a moving average for having started at 0.
func unbiased(average, gain float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return average / (1 - math.Pow(1-gain, float64(n)))
}

// mayLose reports whether one more endpoint may be set back.
func (p *Peers) mayLose() bool {
	allowed := max(1, int(ejectableShare*float64(p.Endpoints)))
	return p.Endpoints > 1 && p.away+p.slow < allowed
}

// Record is what is known of one endpoint. The zero record is good.
type Record struct {
	standing Health
	until    time.Time // the standing is looked at again
	backoff  time.Duration
	failures float64
	outcomes int
	part     tally // of the peers' outcomes
	ratio    float64
	runs     int
	passed   int // tasks passed on probation
	slow     bool
}

// Health returns the current standing.
func (r *Record) Health() Health { return r.standing }

// Slow reports whether the endpoint was set back for its run times.
func (r *Record) Slow() bool { return r.slow }

// Failing reports whether the endpoint fails many of its tasks.
func (r *Record) Failing() bool {
	return r.standing >= Probation || r.rate() >= failureRate
}

// rate returns the failure rate. The first outcomes count for more, so that
// an endpoint that has failed all of few tasks is seen at once.
func (r *Record) rate() float64 { return unbiased(r.failures, gain, r.outcomes) }

// ReviewDue reports whether Review would change the standing.
func (r *Record) ReviewDue(now time.Time) bool {
	return r.standing != Healthy && r.standing != Probation && !now.Before(r.until)
}

// Review moves an endpoint on when its time is up.
func (r *Record) Review(p *Peers) {
	switch r.standing {
	case Ejected:
		r.standing = Probation
		r.passed = 0
	case Degraded:
		if !r.slow {
			r.standing = Healthy
			return
		}
		r.slow = false
		p.slow--
		p.away++
		r.standing = Probation
		r.passed = 0
	}
}

// Succeeded learns from a task that ran to its end. run ÷ expected is compared
// with the peers'.
func (r *Record) Succeeded(now time.Time, p *Peers, run, expected time.Duration) {
	r.outcomes++
	r.failures -= gain * r.failures
	p.observe(r, 0)
	ratio := r.observeRatio(p, run, expected)
	switch r.standing {
	case Probation:
		if ratio-p.ratio >= math.Log(slowFactor) {
			p.away--
			r.slowDown(now, p)
			return
		}
		r.passed++
		if r.passed >= probationRuns {
			r.recover(p)
		}
	case Degraded:
		if !r.slow {
			r.standing = Healthy
		}
	case Healthy:
		r.judgeSpeed(now, p)
	}
}

func (r *Record) recover(p *Peers) {
	p.away--
	*r = Record{backoff: r.backoff, part: r.part}
}

// observeRatio returns the logarithm of run ÷ expected.
func (r *Record) observeRatio(p *Peers, run, expected time.Duration) float64 {
	if run <= 0 || expected <= 0 {
		return p.ratio
	}
	ratio := math.Log(min(max(float64(run)/float64(expected), 1/maxRatio), maxRatio))
	r.runs++
	r.ratio += (ratio - r.ratio) * max(slowGain, 1/float64(r.runs))
	p.ratio += (ratio - p.ratio) * peersGain
	return ratio
}

func (r *Record) judgeSpeed(now time.Time, p *Peers) {
	if r.runs < minRuns || r.ratio-p.ratio < math.Log(slowFactor) || !p.mayLose() {
		return
	}
	r.slowDown(now, p)
}

func (r *Record) slowDown(now time.Time, p *Peers) {
	r.slow = true
	p.slow++
	r.setBack(now, Degraded)
}

// Failed learns from a task that started and gave no result, or from a
// connection that gave no answer.
func (r *Record) Failed(now time.Time, p *Peers) {
	r.outcomes++
	r.failures += gain * (1 - r.failures)
	p.observe(r, 1)
	switch {
	case r.standing == Probation:
		r.setBack(now, Ejected)
	case r.standing == Ejected:
	case r.isOutlier(p) && p.mayLose():
		if r.slow {
			p.slow--
			r.slow = false
		}
		p.away++
		r.setBack(now, Ejected)
	case r.standing == Healthy:
		r.Degrade(now)
	}
}

// isOutlier compares the failure rate with that of the others.
func (r *Record) isOutlier(p *Peers) bool {
	rate := r.rate()
	return r.outcomes >= minOutcomes && rate >= failureRate && rate >= peersFactor*p.rateWithout(r)
}

// Degrade makes a good endpoint the second choice for a short while.
func (r *Record) Degrade(now time.Time) {
	if r.standing != Healthy {
		return
	}
	r.standing = Degraded
	r.until = now.Add(doubtFor)
}

// RetractFailure takes a failure back that was the task's fault.
func (r *Record) RetractFailure(p *Peers) {
	r.failures = max(0, r.failures-gain)
	r.part.forgive()
	p.tally.forgive()
	if r.standing == Degraded && !r.slow {
		r.standing = Healthy
	}
}

func (r *Record) setBack(now time.Time, standing Health) {
	r.backoff = min(max(2*r.backoff, firstEjection), longestAway)
	r.standing = standing
	r.until = now.Add(r.backoff)
}

// RemoveFrom takes the endpoint out of its peers' counts.
func (r *Record) RemoveFrom(p *Peers) {
	if r.standing == Ejected || r.standing == Probation {
		p.away--
	}
	if r.slow {
		p.slow--
	}
}
