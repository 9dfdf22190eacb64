package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// The end of a connection may reach only one of its sides. An entry that gives up
// its calls to another one therefore raises the epoch of these calls, and its
// heartbeats name the new epoch. The other entry cancels calls of lower epochs.
// Without this it would go on starting runs of jobs that are submitted again
// elsewhere, as long as heartbeats arrive. Single calls that end without an answer are
// named by their numbers (withdrawncalls.go). So an entry that hears a heartbeat knows
// all withdrawals that were made before it was sent.

// callsGivenUp is a message that reports that a call to an entry broke and its
// calls were given up.
type callsGivenUp struct {
	to    cells.Entry
	epoch uint64
	calls int
}

func (m callsGivenUp) handle(l *Loop) { l.announceGivenUp(m.to, m.epoch, m.calls) }

// giveUpCalls gives up the calls to an entry that is gone.
func (l *Loop) giveUpCalls(e cells.Entry) {
	if epoch, calls := l.peers.outbound.giveUp(e.Incarnation, errEntryGone); calls > 0 {
		l.announceGivenUp(e, epoch, calls)
	}
}

// announceGivenUp notifies an entry that the calls to it were given up. The entry
// may be active although it is not live here.
func (l *Loop) announceGivenUp(to cells.Entry, epoch uint64, calls int) {
	l.log.Warn("calls_given_up", zap.String("entry", to.Name), zap.Uint64("incarnation", uint64(to.Incarnation)),
		zap.Uint64("epoch", epoch), zap.Int("calls", calls))
	data := l.encodeHeartbeat(l.isLocal(to), false)
	for range 2 { // a datagram may be lost
		l.heartbeats.write(to.HeartbeatAddress, data)
	}
}

// announceWithdrawn notifies entries of the calls to them that were withdrawn since the
// last time. A wave of them takes one heartbeat for each entry. Under a steady stream,
// such heartbeats are as frequent as the usual ones.
func (l *Loop) announceWithdrawn(now time.Time) {
	if now.Sub(l.withdrawalsSentAt) < heartbeatInterval {
		return
	}
	for _, id := range l.peers.outbound.takeUnannounced(now) {
		to, live := l.view.Find(id)
		if !live {
			continue // hellos name the calls
		}
		l.withdrawalsSentAt = now
		data := l.encodeHeartbeat(l.isLocal(to), false)
		for range 2 { // a datagram may be lost
			l.heartbeats.write(to.HeartbeatAddress, data)
		}
	}
}

// logOverflow logs the calls that were given up because too many others were withdrawn
// to be named one by one.
func (l *Loop) logOverflow(list []overflow) {
	for _, o := range list {
		l.log.Warn("calls_given_up", zap.Uint64("incarnation", uint64(o.to)), zap.Uint64("epoch", o.epoch), zap.Int("calls", o.calls),
			zap.String("reason", "too many calls were withdrawn to name them one by one"))
	}
}

// withdrawCalls cancels the calls that the sender of a heartbeat has given up, and lets
// them in no more if they arrive later.
func (l *Loop) withdrawCalls(b *fleetpb.Beat) {
	self, from := uint64(l.view.Self.Incarnation), cells.Incarnation(b.Incarnation)
	for _, e := range b.CallEpochs {
		if e.Incarnation == self {
			l.callsWithdrawn(b, l.peers.inbound.withdraw(from, e.Epoch), zap.Uint64("epoch", e.Epoch))
		}
	}
	for _, w := range b.WithdrawnCalls {
		if w.Incarnation == self {
			l.callsWithdrawn(b, l.peers.inbound.withdrawNumbers(time.Now(), from, decodeNumbers(w.Calls)), zap.Bool("single", true))
		}
	}
	l.withdrawCaused(b)
	if len(b.CallEpochs)+len(b.WithdrawnCalls) > 0 {
		l.cancelEnded() // also calls that had ended by themselves, which are not counted
	}
}

// withdrawCaused cancels the delegated tasks of jobs that the sender of a heartbeat has
// given up.
func (l *Loop) withdrawCaused(b *fleetpb.Beat) {
	l.callsWithdrawn(b, l.peers.inbound.withdrawCaused(time.Now(), b), zap.Bool("delegated", true))
}

// callsWithdrawn logs and counts calls that were cancelled because the sender of a
// heartbeat has withdrawn them.
func (l *Loop) callsWithdrawn(b *fleetpb.Beat, n int, how zap.Field) {
	if n == 0 {
		return
	}
	l.metrics.withdrawnCalls.WithLabelValues("cancelled").Add(float64(n))
	l.log.Warn("calls_withdrawn", zap.String("entry", b.Name), zap.Uint64("incarnation", b.Incarnation),
		how, zap.Int("calls", n))
}

// callerContacts returns when each entry with open calls was last heard, by incarnation:
// when its newest heartbeat was sent. It also returns when the origins of delegated tasks
// were last heard. The core extends the leases of their runs no further than that allows.
// A call is no contact: it may have been held up on its way. Those of entries that were
// not heard are not passed to the core (latecalls.go).
func (l *Loop) callerContacts() []leased.CallerContact {
	var contacts []leased.CallerContact
	ids := l.peers.inbound.entries()
	for _, id := range l.core.Origins() {
		ids = append(ids, cells.Incarnation(id))
	}
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		if heardAt, heard := l.roster.LastContact(id); heard {
			contacts = append(contacts, leased.CallerContact{Caller: uint64(id), HeardAt: heardAt})
		}
	}
	return contacts
}

// originInterval is how old the contact with the origin of a delegated task may be before
// it is asked for a heartbeat. If the first answer is lost, the second one arrives within
// leased.ContactGrace.
const originInterval = 3 * heartbeatInterval

// askOrigins sends hellos to the origins of delegated tasks whose heartbeats are too rare
// to bound leases: in a large fleet, entries of different failure domains hear each other
// rarely. The answers name withdrawn calls, as every heartbeat does.
func (l *Loop) askOrigins(now time.Time) {
	var data []byte
	origins := l.core.Origins()
	for id := range l.originAskedAt {
		if !slices.Contains(origins, uint64(id)) {
			delete(l.originAskedAt, id)
		}
	}
	for _, origin := range origins {
		id := cells.Incarnation(origin)
		e, live := l.view.Find(id)
		if !live || e.Interval <= maxLocalInterval {
			continue
		}
		heardAt, _ := l.roster.LastContact(id)
		if now.Sub(heardAt) < originInterval || now.Sub(l.originAskedAt[id]) < originInterval {
			continue
		}
		if data == nil {
			data = l.encodeHeartbeat(false, true)
		}
		l.originAskedAt[id] = now
		l.heartbeats.write(e.HeartbeatAddress, data)
	}
}

// boundByOrigin lets the leases of a delegated task end with the contacts of the entry
// that waits for its job, unless that is this one. The delegator has sent its call callAge
// before it was last heard.
func (l *Loop) boundByOrigin(t *leased.DelegatedTask, callAge time.Duration) {
	if t.Origin == uint64(l.view.Self.Incarnation) {
		t.Origin = 0
	}
	t.OriginAge += max(0, callAge)
}

// heardAt returns when the entry whose call has arrived was last heard, by a heartbeat or
// by the call itself; zero for this entry.
func (l *Loop) heardAt(from origin) time.Time {
	if from.caller == 0 {
		return time.Time{}
	}
	heardAt, heard := l.roster.LastContact(from.caller)
	if from.sentUs == 0 && heard && from.arrivedAt.Sub(heardAt) > leased.ContactGrace {
		return heardAt // of an earlier version: the call may have been held up since
	}
	if sentAt := l.sentAt(from); sentAt.After(heardAt) {
		return sentAt
	}
	return heardAt
}

// sentAt returns when a call was sent, as far as is known. It is not later than its arrival.
func (l *Loop) sentAt(from origin) time.Time {
	if from.sentUs == 0 {
		return from.arrivedAt
	}
	sentAt := time.Now().Add(-l.delayOfCall(uint64(from.caller), from.sentUs))
	if sentAt.After(from.arrivedAt) {
		return from.arrivedAt
	}
	return sentAt
}
