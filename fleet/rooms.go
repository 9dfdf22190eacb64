package fleet

import (
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// rosterBeat takes a heartbeat of another entry.
type rosterBeat struct{ beat *fleetpb.Beat }

func (m rosterBeat) handle(l *Loop) {
	now := time.Now()
	b := m.beat
	l.maxToken = max(l.maxToken, b.Token)
	isNew := l.roster.Hear(now, entryOf(b))
	l.beats.learn(b)
	if len(b.Rooms) > 0 {
		l.takeRooms(now, b)
	}
	if isNew || b.Leaving != leavingIn(l.view, b.Incarnation) {
		l.refresh(now)
		l.publish()
	}
	if b.Hello {
		l.sendBeatTo(now, b.Beats, false)
	}
	if b.ConfigurationVersion > l.directory.Version {
		l.peers.fetchFrom(b.Address)
	}
}

func leavingIn(v *cells.View, id uint64) bool {
	e, ok := v.Find(cells.Incarnation(id))
	return ok && e.Leaving
}

func (l *Loop) takeRooms(now time.Time, b *fleetpb.Beat) {
	for _, r := range b.Rooms {
		free := make([]int, len(r.Free))
		for i, f := range r.Free {
			free[i] = int(f)
		}
		cell := cells.Cell{FailureDomain: r.FailureDomain, Index: int(r.Cell), Of: int(r.Of)}
		l.rooms[cell] = announced{holder: cells.Incarnation(b.Incarnation), at: now, free: free}
	}
	l.setRooms(now)
}

func (l *Loop) setRooms(now time.Time) {
	rooms := make([]leased.FreeCapacity, 0, len(l.rooms))
	for cell, a := range l.rooms {
		rooms = append(rooms, leased.FreeCapacity{Holder: uint64(a.holder), Cell: cell.String(), Age: now.Sub(a.at), Free: slices.Clone(a.free)})
	}
	slices.SortFunc(rooms, func(a, b leased.FreeCapacity) int { return len(a.Cell) - len(b.Cell) })
	l.step(&leased.SetFreeCapacity{Announced: rooms})
}
