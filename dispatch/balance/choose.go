package balance

import "time"

const (
	// Threshold is the predicted wait above which capacity counts as short. No
	// job leaves a queue below it, and none is sent to a queue above it. Jobs of
	// 60 ms can wait for about twice as long and be answered in time.
	Threshold = 50 * time.Millisecond
	// Hysteresis is by how much another holder must be better before a job is
	// sent there instead. With 100 ms, the gain in jobs answered in time is lost.
	Hysteresis = 40 * time.Millisecond
)

// Better reports whether a new job should go to the second holder instead of the
// first, which the failure domain and the free capacity prefer. It is false
// unless recent loads of both are known.
func (t *Table) Better(now time.Time, first, second uint64) bool {
	if wait, known := t.Expected(now, first); !known || wait <= Threshold {
		return false
	}
	here, _ := t.arrival(now, first)
	there, known := t.arrival(now, second)
	return known && t.accepts(now, second) && there+Hysteresis < here && !t.Overloaded(now)
}

// Waiting is a job that waits in a queue and may move.
type Waiting struct {
	Wait  time.Duration // expected in this queue from now
	Spare time.Duration // how long it can wait and still be answered in time
	Work  float64       // core-seconds
	// Draw selects the two holders that are compared, so that jobs spread. It is
	// a uniformly distributed number, for example a hash of the job's ID.
	Draw uint64
}

// Target returns the holder that a waiting job should move to, and counts its
// work there, or returns false if it should stay. The holders are those of
// Holders, without the caller.
func (t *Table) Target(now time.Time, holders []uint64, w Waiting) (uint64, bool) {
	if len(holders) == 0 || w.Wait <= Threshold || w.Spare <= 0 {
		return 0, false
	}
	n := uint64(len(holders))
	first := w.Draw % n
	second := (first + 1 + w.Draw/n%max(1, n-1)) % n
	best, wait, known := holders[first], time.Duration(0), false
	for _, i := range []uint64{first, second} {
		if arrival, ok := t.arrival(now, holders[i]); ok && (!known || arrival < wait) {
			best, wait, known = holders[i], arrival, true
		}
	}
	if !known || !t.accepts(now, best) || wait+Hysteresis >= w.Wait || wait > w.Spare {
		return 0, false
	}
	t.Sent(best, w.Work)
	return best, true
}

// accepts reports whether the queue of a holder is short enough to be sent jobs
// of other holders.
func (t *Table) accepts(now time.Time, holder uint64) bool {
	wait, known := t.Expected(now, holder)
	return known && wait <= Threshold
}

// arrival returns the expected time until a job that is sent to a holder now starts,
// including the transfer.
func (t *Table) arrival(now time.Time, holder uint64) (time.Duration, bool) {
	wait, known := t.Expected(now, holder)
	if !known {
		return 0, false
	}
	return wait + t.holders[holder].transfer, true
}
