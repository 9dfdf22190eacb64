package fleet

import (
	"cmp"
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
// elsewhere, as long as heartbeats arrive.

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

// withdrawCalls cancels the calls that the sender of a heartbeat has given up.
func (l *Loop) withdrawCalls(b *fleetpb.Beat) {
	for _, e := range b.CallEpochs {
		if cells.Incarnation(e.Incarnation) != l.view.Self.Incarnation {
			continue
		}
		n := l.peers.inbound.withdraw(cells.Incarnation(b.Incarnation), e.Epoch)
		if n == 0 {
			continue
		}
		l.metrics.withdrawnCalls.WithLabelValues("cancelled").Add(float64(n))
		l.log.Warn("calls_withdrawn", zap.String("entry", b.Name), zap.Uint64("incarnation", b.Incarnation),
			zap.Uint64("epoch", e.Epoch), zap.Int("calls", n))
	}
}

// callerContacts returns when each entry with open calls was last heard, by
// incarnation: its last heartbeat or, if none has arrived, the beginning of its earliest
// call. The core extends the leases of their runs no further than that allows.
func (l *Loop) callerContacts() []leased.CallerContact {
	var contacts []leased.CallerContact
	for id, began := range l.peers.inbound.earliest() {
		heardAt, heard := l.roster.LastHeartbeat(id)
		if !heard {
			heardAt = began
		}
		contacts = append(contacts, leased.CallerContact{Caller: uint64(id), HeardAt: heardAt})
	}
	slices.SortFunc(contacts, func(a, b leased.CallerContact) int { return cmp.Compare(a.Caller, b.Caller) })
	return contacts
}

// heardAt returns when the entry whose call has arrived was last heard, or zero if no
// heartbeat of it is known. The call may have been held up since.
func (l *Loop) heardAt(caller cells.Incarnation) time.Time {
	heardAt, _ := l.roster.LastHeartbeat(caller)
	return heardAt
}
