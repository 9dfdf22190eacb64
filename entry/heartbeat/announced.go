package heartbeat

import (
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/membership"
)

// Times until an entry counts as announced.
const (
	propagationTime = 500 * time.Millisecond // for the gossip about this entry to reach all others
	maxAnnounceTime = 5 * time.Second        // after which the others count as unreachable
)

// announcement is the time from which the other entries know this one, so that
// they can forward requests about the job IDs that it issues.
type announcement struct {
	at atomic.Int64 // Unix nanoseconds; 0: not started
}

// begin sets the latest possible time.
func (a *announcement) begin(now time.Time) { a.at.Store(now.Add(maxAnnounceTime).UnixNano()) }

// advance sets the time to at if that is earlier.
func (a *announcement) advance(at time.Time) {
	if at.UnixNano() < a.at.Load() {
		a.at.Store(at.UnixNano())
	}
}

func (a *announcement) done(now time.Time) bool {
	at := a.at.Load()
	return at != 0 && now.UnixNano() >= at
}

// Announced reports whether the other entries know this one, or cannot be
// reached.
func (h *Heartbeater) Announced() bool { return h.announced.done(time.Now()) }

// checkAnnounced advances the announcement once every heartbeat target has
// answered.
func (h *Heartbeater) checkAnnounced(view *membership.View, list []target) {
	if !view.Listed {
		return
	}
	if len(list) == 0 {
		h.announced.advance(time.Now())
		return
	}
	if h.allAnswered(list) {
		h.announced.advance(time.Now().Add(propagationTime))
	}
}

func (h *Heartbeater) allAnswered(list []target) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return lo.EveryBy(list, func(t target) bool { return h.answered[t.name] })
}
