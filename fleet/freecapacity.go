package fleet

import (
	"maps"
	"math/rand/v2"
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
	l.withdrawCalls(b)
	l.maxToken = max(l.maxToken, b.Token)
	isNew := l.roster.ReceiveDelayedHeartbeat(now, entryOf(b), l.delayOfHeartbeat(b.Incarnation, b.SentUs))
	l.roster.ReceiveLogContact(now, cells.Incarnation(b.Incarnation), logContactOf(b))
	l.submitUnheard(cells.Incarnation(b.Incarnation))
	l.heartbeats.addAddressesOf(b)
	l.receiveCapacity(now, b)
	if isNew || b.Leaving != leavingIn(l.view, b.Incarnation) {
		l.refresh(now)
		l.publish()
	}
	if b.Hello {
		l.sendHeartbeatTo(b.Beats, b.FailureDomain == l.view.Self.FailureDomain)
	}
	if b.ConfigurationVersion > l.directory.Version || l.hasNewerEvacuations(b) {
		l.peers.fetchSnapshot(b.Address)
	}
}

// hasNewerEvacuations reports whether the sender of a heartbeat knows requests of
// the operators that this entry does not know.
func (l *Loop) hasNewerEvacuations(b *fleetpb.Beat) bool {
	return l.settings.EvacuationBound > 0 && l.requests.OlderThan(b.EvacuationsRevision)
}

func leavingIn(v *cells.View, id uint64) bool {
	e, ok := v.Find(cells.Incarnation(id))
	return ok && e.Leaving
}

// Groups of holders to which free capacity is announced.
const (
	ownDomain    = iota // the holders of the own failure domain
	otherDomains        // the holders of all others
)

// refreshInterval is the longest time between announcements to the holders of
// cells, however many entries there are. It is less than half of the age up to
// which announcements are used.
const refreshInterval = 250 * time.Millisecond

// announceIntervals are the shortest times between announcements of changes.
// Holders of the own failure domain exchange most tasks. Those of other domains
// are many, and turn away the few tasks that no longer fit.
var announceIntervals = [...]time.Duration{
	ownDomain:    40 * time.Millisecond,
	otherDomains: 120 * time.Millisecond,
}

// announcement is the free capacity that a group of holders was last told.
type announcement struct {
	free map[cells.Cell][]int
	at   time.Time
}

func (a *announcement) record(now time.Time, free map[cells.Cell][]int) {
	a.free, a.at = free, now
}

// announceFreeCapacity sends a heartbeat to the holders whose last announcement
// differs from the current free capacity, or is too old.
func (l *Loop) announceFreeCapacity(now time.Time) {
	h := l.heartbeats
	if len(l.ownCapacity) == 0 && len(h.announced[ownDomain].free) == 0 {
		return // this entry holds no cell
	}
	for group := range h.announced {
		a := &h.announced[group]
		age := now.Sub(a.at)
		if age < announceIntervals[group] || age < refreshInterval && sameCapacity(l.ownCapacity, a.free) {
			continue
		}
		a.record(now, l.ownCapacity)
		local := group == ownDomain
		data := l.encodeHeartbeat(local, false)
		for _, e := range l.announceReceivers(local) {
			h.write(e.HeartbeatAddress, data)
		}
	}
}

// maxAnnounceReceivers bounds the holders that get one announcement, so that its
// cost does not grow with the number of cells. A task that finds no free endpoint
// at its own holder needs a few candidates, not all of them (power of d choices).
const maxAnnounceReceivers = 16

// announceReceivers returns the holders of the own failure domain, or of the
// others, that get the next announcement: a random sample if there are many.
func (l *Loop) announceReceivers(local bool) []cells.Entry {
	var list []cells.Entry
	for _, e := range l.holders() {
		if e.Incarnation != l.view.Self.Incarnation && l.isLocal(e) == local {
			list = append(list, e)
		}
	}
	if len(list) <= maxAnnounceReceivers {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:maxAnnounceReceivers]
}

// holders returns the entries that hold at least one cell.
func (l *Loop) holders() map[cells.Incarnation]cells.Entry {
	holders := make(map[cells.Incarnation]cells.Entry)
	for domain, n := range l.cellCounts {
		for _, cell := range cells.All(domain, n) {
			if e, ok := l.view.Holder(cell); ok {
				holders[e.Incarnation] = e
			}
		}
	}
	return holders
}

// freeCapacity returns the free millicores of each endpoint, for the cells that
// this entry holds.
func (l *Loop) freeCapacity() map[cells.Cell][]int {
	if l.stopping || l.core.HoldsNoCell() {
		return nil
	}
	free := make(map[cells.Cell][]int)
	for domain, n := range l.cellCounts {
		for _, cell := range cells.All(domain, n) {
			if l.view.Holds(cell) {
				free[cell] = l.core.FreeCapacity(cell.String(), minAnnouncedMilliCores)
			}
		}
	}
	return free
}

func sameCapacity(a, b map[cells.Cell][]int) bool {
	return maps.EqualFunc(a, b, slices.Equal)
}

// receiveCapacity records the free capacity that a holder has announced. The core
// learns of it at once if jobs wait for it, and at the next tick otherwise.
func (l *Loop) receiveCapacity(now time.Time, b *fleetpb.Beat) {
	if len(b.Rooms) == 0 {
		return
	}
	load, transfer := l.receiveLoad(now, b)
	shared := l.sharedLoadOf(b)
	for _, r := range b.Rooms {
		free := make([]int, len(r.Free))
		for i, f := range r.Free {
			free[i] = int(f)
		}
		cell := cells.Cell{FailureDomain: r.FailureDomain, Index: int(r.Cell), Total: int(r.Of)}
		next := announcedCapacity{holder: cells.Incarnation(b.Incarnation), receivedAt: now, free: free, load: load, shared: shared, transfer: transfer}
		if last := l.peerCapacity[cell]; next.shared == nil && !last.passedOn && last.holder == next.holder {
			next.shared = last.shared
		}
		l.peerCapacity[cell] = next
	}
	l.newCapacity = true
	if l.core.HasWaiting() {
		l.passCapacityOn(now)
	}
}

// passCapacityOn passes the announcements received since the last call to the
// core.
func (l *Loop) passCapacityOn(now time.Time) {
	if !l.newCapacity {
		return
	}
	l.newCapacity = false
	var list []leased.FreeCapacity
	for cell, a := range l.peerCapacity {
		if a.passedOn {
			continue
		}
		list = append(list, leased.FreeCapacity{
			Holder: uint64(a.holder), Cell: cell.String(), FailureDomain: cell.FailureDomain, Age: now.Sub(a.receivedAt),
			Free: slices.Clone(a.free), Load: a.load, Shared: a.shared, Transfer: a.transfer,
		})
		a.passedOn = true
		l.peerCapacity[cell] = a
	}
	l.step(&leased.AnnounceFreeCapacity{Announced: list})
}
