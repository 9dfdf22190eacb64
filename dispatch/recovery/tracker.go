package recovery

import (
	"time"
)

// Parameters of a Tracker.
const (
	// SettleTime is how long all announced capacity must answer, and the queue be
	// short, before the recovery has ended. Endpoints still move between
	// holders for about a second after the last entry has returned.
	SettleTime = 1500 * time.Millisecond
	// missingShare is the share of the announced capacity that may be missing. A
	// single endpoint of a cell of 32 that is restarted is no reason to act.
	missingShare = 0.1
	// shortQueue is the time to serve the queue below which it counts as short.
	shortQueue = 60 * time.Millisecond
	// maxTime bounds a recovery that is kept up by the queue alone. A shortage
	// that lasts longer has another cause.
	maxTime = 8 * time.Second
)

// Sample is what a holder observes about its endpoints and its queue.
type Sample struct {
	Announced int           // millicores of the endpoints that the platform announces
	Answering int           // millicores of the endpoints that are held and answer
	Backlog   time.Duration // time to serve the queue
}

// Tracker tracks whether a holder recovers its capacity. The zero value is ready
// to use. It is not safe for concurrent use.
type Tracker struct {
	active       bool
	startedAt    time.Time
	missingAt    time.Time // when capacity was last missing
	unsettledAt  time.Time // when capacity last was missing or changed, or the queue was long
	lastAnswered int       // millicores that answered in the newest sample
}

// Active reports whether the holder recovers.
func (t *Tracker) Active() bool { return t.active }

// Since returns when the current recovery has begun.
func (t *Tracker) Since() time.Time { return t.startedAt }

// Observe records a sample. It returns true if it starts or ends a recovery.
func (t *Tracker) Observe(now time.Time, s Sample) bool {
	if s.Announced <= 0 && t.lastAnswered <= 0 { // nothing to recover
		ended := t.active
		*t = Tracker{}
		return ended
	}
	// Endpoints that are no longer announced are lost as well, and those that were
	// just taken over may move to another holder again.
	lost := float64(t.lastAnswered-s.Answering) > missingShare*float64(t.lastAnswered)
	gained := float64(s.Answering-t.lastAnswered) > missingShare*float64(s.Answering)
	missing := float64(s.Announced-s.Answering) > missingShare*float64(s.Announced)
	t.lastAnswered = s.Answering
	if missing || lost {
		t.missingAt = now
	}
	// The queue counts only if capacity was missing: a queue that is caused by
	// overload alone does not prolong the recovery.
	longQueue := t.active && s.Backlog > shortQueue && !t.missingAt.IsZero() && now.Sub(t.missingAt) < maxTime
	if missing || lost || gained || longQueue {
		t.unsettledAt = now
	}
	before := t.active
	t.active = !t.unsettledAt.IsZero() && now.Sub(t.unsettledAt) < SettleTime
	if t.active && !before {
		t.startedAt = now
	}
	return t.active != before
}
