package heartbeat

import (
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/membership"
)

// Times after the start of an entry.
const (
	spreadTime  = 500 * time.Millisecond // for the news of this entry to reach all others
	maxSettling = 5 * time.Second        // then the others cannot be reached
)

// settling tells when the other entries know this one, so that they can
// forward to it the job IDs that it issues.
type settling struct {
	at atomic.Int64 // Unix nanoseconds; 0: not begun
}

// begin sets the latest time.
func (s *settling) begin(now time.Time) { s.at.Store(now.Add(maxSettling).UnixNano()) }

// advance sets an earlier time.
func (s *settling) advance(at time.Time) {
	if at.UnixNano() < s.at.Load() {
		s.at.Store(at.UnixNano())
	}
}

func (s *settling) over(now time.Time) bool {
	at := s.at.Load()
	return at != 0 && now.UnixNano() >= at
}

// Announced reports whether the other entries know this one, or cannot be
// reached.
func (h *Heartbeater) Announced() bool { return h.settled.over(time.Now()) }

// settle notes when every entry that this one exchanges with has answered.
func (h *Heartbeater) settle(view *membership.View, list []target) {
	if !view.Listed {
		return
	}
	if len(list) == 0 {
		h.settled.advance(time.Now())
		return
	}
	if h.allMet(list) {
		h.settled.advance(time.Now().Add(spreadTime))
	}
}

func (h *Heartbeater) allMet(list []target) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return lo.EveryBy(list, func(t target) bool { return h.met[t.name] })
}
