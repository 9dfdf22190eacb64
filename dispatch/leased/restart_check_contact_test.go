package leased_test

import (
	"time"

	"lovagespread.example/dispatch/leased"
)

// restartHeartbeat is the interval of the heartbeats that holders hear.
const restartHeartbeat = 110 * time.Millisecond

// entryID identifies the entry that submits jobs in CallerContact. Holders have lower
// numbers.
const entryID = 100

func holderID(h int) uint64 { return uint64(h + 1) }

// contactPath is the path from a caller to a holder.
type contactPath struct {
	caller uint64
	holder int
}

// silence makes a holder hear nothing of a caller for a time. Heartbeats name the calls
// that their sender has given up, so a holder that hears one cancels these calls: a
// cancellation that takes long implies silence.
func (w *restartWorld) silence(caller uint64, h int, length time.Duration) {
	path := contactPath{caller, h}
	w.someUnheard = w.someUnheard || length >= longDelay
	w.silentUntil[path] = max(w.silentUntil[path], w.now+length)
}

// silenceFor does so if a cancellation takes longer than a heartbeat interval.
func (w *restartWorld) silenceFor(caller uint64, h int, cancelDelay time.Duration) {
	if cancelDelay > restartHeartbeat {
		w.silence(caller, h, cancelDelay)
	}
}

// sendHeartbeats tells each holder which callers it hears.
func (w *restartWorld) sendHeartbeats() {
	for h := range w.holders {
		w.hear(entryID, h)
		for other := range w.holders {
			if other != h && w.responds(w.holders[other]) {
				w.hear(holderID(other), h)
			}
		}
	}
}

func (w *restartWorld) hear(caller uint64, h int) {
	if w.now >= w.silentUntil[contactPath{caller, h}] {
		w.step(h, &leased.CallerContact{Caller: caller, HeardAt: simStart.Add(w.now)})
	}
}
