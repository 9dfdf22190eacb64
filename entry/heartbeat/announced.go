package heartbeat

import (
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/membership"
)

// Times after the start of an entry.
const (
	propagationTime = 500 * time.Millisecond // for the news of this entry to reach all others
	maxAnnounceTime = 5 * time.Second        // then the others cannot be reached
)

// announcement tells when the other entries know this one, so that they can
// forward to it the job IDs that it issues.
type announcement struct {
	at atomic.Int64 // Unix nanoseconds; 0: not begun
}

// begin sets the latest time.
func (s *announcement) begin(now time.Time) { s.at.Store(now.Add(maxAnnounceTime).UnixNano()) }

// advance sets an earlier time.
func (s *announcement) advance(at time.Time) {
	if at.UnixNano() < s.at.Load() {
		s.at.Store(at.UnixNano())
	}
}

func (s *announcement) done(now time.Time) bool {
	at := s.at.Load()
	return at != 0 && now.UnixNano() >= at
}

// Announced reports whether the other entries know this one, or cannot be
// reached.
func (h *Heartbeater) Announced() bool { return h.announced.done(time.Now()) }

// checkAnnounced notes when every entry that this one exchanges with has answered.
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
