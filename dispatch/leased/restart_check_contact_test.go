package leased_test

import (
	"maps"
	"slices"
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
	path := contactPath{caller, h}
	if w.now < w.silentUntil[path] {
		return
	}
	w.heardAt[path] = w.now
	if caller == entryID {
		for _, ticket := range slices.Sorted(maps.Keys(w.tickets)) {
			t := w.tickets[ticket]
			if t.delegation != nil && t.holder == h && t.arrivesAt <= w.now && w.knowsGivenUp(h, t.delegation.cause) {
				w.withdrawCaused(t.delegation)
			}
		}
	}
	w.step(h, &leased.CallerContact{Caller: caller, HeardAt: simStart.Add(w.now)})
}

// knowsGivenUp reports whether a holder has heard the entry since that has given up a
// call. Its heartbeats name the call.
func (w *restartWorld) knowsGivenUp(h int, call leased.CallID) bool {
	at, givenUp := w.givenUpAt[call]
	return givenUp && w.heardAt[contactPath{entryID, h}] > at
}

// withdrawCaused ends a delegated task at the delegate, which has heard that the call was
// given up by which its job was submitted to the delegator. It tells the delegator so.
func (w *restartWorld) withdrawCaused(d *restartDelegation) {
	w.tracef("h%d: has heard that the cause of %v is withdrawn", d.to, d)
	w.cancel(d.ticket, 0)
	w.after(networkDelay, func() {
		if w.delegations[d.key] == d {
			w.endDelegation(d, leased.EndUnknown)
			w.cancel(leased.Ticket(d.cause.Number), networkDelay)
		}
	})
}
