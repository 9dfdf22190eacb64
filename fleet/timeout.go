package fleet

import (
	"sync"
	"time"
)

// Limits of the timeout of a Start.
const (
	// minStartTimeout covers the pauses of a process that shares its processor.
	minStartTimeout = 30 * time.Millisecond
	// minLossyStartTimeout replaces it while replies are lost by chance: one more
	// request costs less than waiting for a reply that does not come.
	minLossyStartTimeout = 10 * time.Millisecond
	// maxStartTimeout is also the timeout while no reply has been measured.
	maxStartTimeout = 120 * time.Millisecond
)

// timeoutEstimator estimates after what time a reply is no longer to be expected,
// from the smoothed round-trip time and its mean deviation, like the
// retransmission timeout of TCP (Jacobson and Karels; RFC 6298). It is safe for
// concurrent use.
type timeoutEstimator struct {
	mu        sync.Mutex
	smoothed  time.Duration // 0: nothing measured yet
	deviation time.Duration
}

// Divisors of the weights of the newest measurement, and the number of mean
// deviations that the timeout adds, as in RFC 6298.
const (
	smoothedDivisor   = 8
	deviationDivisor  = 4
	deviationsAllowed = 4
)

// observe records the time that a reply took.
func (t *timeoutEstimator) observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.smoothed == 0 {
		t.smoothed, t.deviation = took, took/2
		return
	}
	t.deviation += ((took - t.smoothed).Abs() - t.deviation) / deviationDivisor
	t.smoothed += (took - t.smoothed) / smoothedDivisor
}

// timeout returns the timeout of an attempt, from 1. Each attempt gets twice the
// time of the one before, in case all replies have become slow. While replies are lost
// by chance (lossy), all attempts get the same time.
func (t *timeoutEstimator) timeout(attempt int, lossy bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.smoothed == 0 {
		return maxStartTimeout
	}
	if lossy {
		return min(max(minLossyStartTimeout, t.smoothed+deviationsAllowed*t.deviation), maxStartTimeout)
	}
	timeout := max(minStartTimeout, t.smoothed+deviationsAllowed*t.deviation)
	for range attempt - 1 {
		timeout *= 2
	}
	return min(timeout, maxStartTimeout)
}
