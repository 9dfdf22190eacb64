package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Limits of the log lines about refused records of one kind. Any client of the store can
// write records, and change them as often as it likes.
const (
	maxRefusalLines  = 20 // in each refusalPeriod
	refusalPeriod    = time.Minute
	maxRefusalReason = 800 // bytes of the error in a log line
)

// refusals counts the records of one kind that this entry cannot use, and bounds the log
// lines about them. It is not safe for concurrent use.
type refusals struct {
	counter   prometheus.Counter
	since     time.Time // begin of the period
	lines     int       // in this period
	notLogged int       // since the last line
}

func newRefusals(m *metrics, kind string) *refusals {
	return &refusals{counter: m.recordsRefused.WithLabelValues(kind)}
}

func (r *refusals) add(n int) { r.counter.Add(float64(n)) }

// mayLog reports whether a refusal may be logged, and how many were not logged since
// the last one that was.
func (r *refusals) mayLog(now time.Time) (notLogged int, ok bool) {
	if now.Sub(r.since) >= refusalPeriod || now.Before(r.since) {
		r.since, r.lines = now, 0
	}
	if r.lines >= maxRefusalLines {
		r.notLogged++
		return 0, false
	}
	r.lines++
	notLogged, r.notLogged = r.notLogged, 0
	return notLogged, true
}
