package admission

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share is the share of a queue's jobs that is admitted.
type Share struct {
	Queue    string
	Admitted float64
}

// Rejection states why a job is not admitted.
type Rejection struct {
	Job        string
	Shortage   float64       // demand ÷ capacity
	Threshold  float64       // price below which jobs are rejected
	Price      float64       // of the job
	Excess     bool          // the job was admitted before, but too much work waits
	Instead    []Share       // what is admitted instead
	RetryAfter time.Duration // until the caller may submit the job again
}

// Error returns the reason that callers and logs get.
func (r *Rejection) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "capacity is short: demand %.2f of capacity, threshold %.3f, price %.3f", r.Shortage, r.Threshold, r.Price)
	if r.Excess {
		b.WriteString(", the queue has grown too long")
	}
	if len(r.Instead) > 0 {
		b.WriteString("; admitted instead:")
	}
	for _, s := range r.Instead {
		fmt.Fprintf(&b, " %s %.0f%%", s.Queue, 100*s.Admitted)
	}
	return b.String()
}

// Bounds of the time after which a rejected caller may retry.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// retrySpread is the range of the times per unit of missing capacity: twice the
	// demand that can be served spreads callers over 4 s.
	retrySpread = 4 * time.Second
	// minRetrySpread keeps callers apart in a slight shortage.
	minRetrySpread = 500 * time.Millisecond
)

// retryAfter spreads callers evenly over a range that grows with the shortage.
func retryAfter(j *Job, shortage float64) time.Duration {
	spread := max(minRetrySpread, time.Duration((shortage-1)*float64(retrySpread)))
	wait := minRetryAfter + time.Duration(draw(j, "retry")*float64(spread))
	return min(wait, maxRetryAfter).Round(time.Millisecond)
}

// draw returns a number in [0, 1) that is fixed for a job, the second of its
// arrival and a purpose.
func draw(j *Job, purpose string) float64 {
	var second [8]byte
	binary.LittleEndian.PutUint64(second[:], uint64(j.Arrived.Unix()))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(j.ID) // writing to a digest cannot fail
	_, _ = d.Write(second[:])
	_, _ = d.WriteString(purpose)
	return float64(d.Sum64()>>11) / (1 << 53)
}
