package leased

import "time"

// lossEstimate estimates how many calls to endpoints get no reply. While calls
// are lost, the end of a run must not depend on a single Hold: it is expected
// soon after the run should have ended, and asked for again soon after that.
type lossEstimate struct {
	rate    float64
	proven  float64 // the same, of calls to endpoints that have answered soon after
	ignored bool    // for tests that compare with a core that does not adapt
}

// Parameters of the estimate.
const (
	lossGain  = 0.02 // weight of the newest call in the moving average
	lossyRate = 0.02 // share of lost calls from which on Holds are shorter
)

func (l *lossEstimate) lost()       { l.rate += (1 - l.rate) * lossGain }
func (l *lossEstimate) lossy() bool { return l.rate >= lossyRate && !l.ignored }

// answered counts an answered call, and the calls to the same endpoint that were not
// answered before. If the first of them is recent, the endpoint was there, so that they
// were lost by chance; otherwise it may have been away.
func (l *lossEstimate) answered(unanswered int, since time.Duration) {
	l.rate -= l.rate * lossGain
	l.proven -= l.proven * lossGain
	if since > maxSilenceByChance {
		return
	}
	for range unanswered {
		l.proven += (1 - l.proven) * lossGain
	}
}

// Limits of the calls to an endpoint that stay unanswered in a row by chance.
const (
	// chanceOfSilence is the accepted probability that an endpoint that answers counts
	// as silent, because as many calls in a row were lost.
	chanceOfSilence = 0.01
	maxTolerated    = 5 // calls; a dead endpoint is noticed after this number
	// maxSilenceByChance is how long an endpoint that answers seems silent at most.
	maxSilenceByChance = 500 * time.Millisecond
)

// tolerated returns how many calls in a row an endpoint may leave unanswered and still
// get tasks. It is 0 unless calls are lost at endpoints that are there.
func (l *lossEstimate) tolerated() int {
	if l.proven < lossyRate || l.ignored {
		return 0
	}
	n, chance := 0, l.proven
	for chance > chanceOfSilence && n < maxTolerated {
		chance *= l.proven
		n++
	}
	return n
}

// dueAfter returns the time after its Start at which the end of a run is asked
// for if no Hold has reported it.
func (l *lossEstimate) dueAfter(expected time.Duration) time.Duration {
	if l.lossy() {
		return expected + expected/10 + lateMargin/2
	}
	return expected + expected/2 + lateMargin
}

// replyMargin returns how long after its wait a Hold may stay unanswered. Then
// another one is sent, because a lost reply leaves ended runs unseen.
func (l *lossEstimate) replyMargin() time.Duration {
	if l.lossy() {
		return lossyReplyMargin
	}
	return usualReplyMargin
}

// Margins for the reply to a Hold. The usual one is longer, because an endpoint
// whose reply is overdue gets no new tasks until it replies.
const (
	usualReplyMargin = 40 * time.Millisecond
	lossyReplyMargin = 12 * time.Millisecond
)
