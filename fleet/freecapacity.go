package fleet

import (
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// peerHeartbeat is a message with a heartbeat of another entry.
type peerHeartbeat struct{ heartbeat *fleetpb.Beat }

func (m peerHeartbeat) handle(l *Loop) {
	now := time.Now()
	b := m.heartbeat
	l.maxToken = max(l.maxToken, b.Token)
	isNew := l.roster.ReceiveHeartbeat(now, entryOf(b))
	l.heartbeats.addAddressesOf(b)
	if len(b.Rooms) > 0 {
		l.receiveCapacity(now, b)
	}
	if isNew || b.Leaving != leavingIn(l.view, b.Incarnation) {
		l.refresh(now)
		l.publish()
	}
	if b.Hello {
		l.sendHeartbeatTo(now, b.Beats, false)
	}
	if b.ConfigurationVersion > l.directory.Version {
		l.peers.fetchSnapshot(b.Address)
	}
}

func leavingIn(v *cells.View, id uint64) bool {
	e, ok := v.Find(cells.Incarnation(id))
	return ok && e.Leaving
}

func (l *Loop) receiveCapacity(now time.Time, b *fleetpb.Beat) {
	for _, r := range b.Rooms {
		free := make([]int, len(r.Free))
		for i, f := range r.Free {
			free[i] = int(f)
		}
		cell := cells.Cell{FailureDomain: r.FailureDomain, Index: int(r.Cell), Total: int(r.Of)}
		l.peerCapacity[cell] = announcedCapacity{holder: cells.Incarnation(b.Incarnation), receivedAt: now, free: free}
	}
	l.updateCapacity(now)
}

func (l *Loop) updateCapacity(now time.Time) {
	capacity := make([]leased.FreeCapacity, 0, len(l.peerCapacity))
	for cell, a := range l.peerCapacity {
		capacity = append(capacity, leased.FreeCapacity{Holder: uint64(a.holder), Cell: cell.String(), Age: now.Sub(a.receivedAt), Free: slices.Clone(a.free)})
	}
	slices.SortFunc(capacity, func(a, b leased.FreeCapacity) int { return len(a.Cell) - len(b.Cell) })
	l.step(&leased.SetFreeCapacity{Announced: capacity})
}
