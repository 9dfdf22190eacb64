package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// usableAge is the age up to which an announced load is used. It exceeds two
	// intervals of the announcements to an entry that holds nothing (440 ms in a
	// fleet of 45 entries), so that one datagram may be lost.
	usableAge = time.Second
	// trendHorizon bounds the time by which a trend is extrapolated. Queues turn
	// within a few times the run time of a task.
	trendHorizon = 250 * time.Millisecond
)

// Table holds the loads that other holders have announced. The zero value is
// empty. It is not safe for concurrent use.
type Table struct {
	holders map[uint64]*record
}

// record is what is known about one holder.
type record struct {
	Load
	predictedAt time.Time
	transfer    time.Duration // that a job takes to reach the holder
	sent        float64       // core-seconds sent there since the announcement
	// observed is a wait that was observed at a time. It is used as long as it
	// exceeds the announced one, so that a holder that announces too short a wait
	// does not attract every job.
	observed   time.Duration
	observedAt time.Time
}

// Receive replaces the load of a holder. The transfer is the time that a job
// takes to reach it. Work sent before the announcement counts as included in it.
func (t *Table) Receive(now time.Time, holder uint64, l Load, transfer time.Duration) {
	if t.holders == nil {
		t.holders = make(map[uint64]*record)
	}
	r := t.holders[holder]
	if r == nil {
		r = &record{}
		t.holders[holder] = r
	}
	r.Load, r.predictedAt, r.transfer, r.sent = l, now.Add(-l.Age), transfer, 0
}

// Forget discards what is known about a holder.
func (t *Table) Forget(holder uint64) { delete(t.holders, holder) }

// Expire discards loads that are too old to be used.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.holders, func(_ uint64, r *record) bool { return now.Sub(r.predictedAt) > usableAge })
}

// Sent records that work, in core-seconds, was sent to a holder because of its
// short queue. Every other holder with a long queue has received the same
// announcement and is assumed to send as much.
func (t *Table) Sent(holder uint64, work float64) {
	r := t.holders[holder]
	if r == nil {
		return
	}
	senders := 1
	for id, other := range t.holders {
		if id != holder && other.Wait > Threshold {
			senders++
		}
	}
	r.sent += max(0, work) * float64(senders)
}

// Overloaded reports whether the mean wait of all queues exceeds Threshold. Then
// all holders together lack capacity, and a job that moves only makes another
// one late.
func (t *Table) Overloaded(now time.Time) bool {
	var sum time.Duration
	n := 0
	for _, r := range t.holders {
		if now.Sub(r.predictedAt) <= usableAge {
			sum += r.Wait
			n++
		}
	}
	return n > 0 && sum/time.Duration(n) > Threshold
}

// Observe records how long a job has waited at a holder.
func (t *Table) Observe(now time.Time, holder uint64, wait time.Duration) {
	if r := t.holders[holder]; r != nil {
		r.observed, r.observedAt = wait, now
	}
}

// Expected returns the expected wait of a job that is sent to a holder now,
// without the transfer, or false if no recent load of the holder is known.
func (t *Table) Expected(now time.Time, holder uint64) (time.Duration, bool) {
	r := t.holders[holder]
	if r == nil {
		return 0, false
	}
	age := now.Sub(r.predictedAt)
	if age > usableAge {
		return 0, false
	}
	drift := time.Duration(r.Trend * float64(max(0, min(age, trendHorizon))))
	added := time.Duration(r.sent / r.Cores * float64(time.Second))
	wait := max(0, r.Wait+drift) + added
	if !r.observedAt.IsZero() {
		wait = max(wait, r.observed-now.Sub(r.observedAt))
	}
	return wait, true
}

// Holders returns the holders with a recent load, in order.
func (t *Table) Holders(now time.Time) []uint64 {
	list := make([]uint64, 0, len(t.holders))
	for id, r := range t.holders {
		if now.Sub(r.predictedAt) <= usableAge {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, cmp.Compare)
	return list
}
