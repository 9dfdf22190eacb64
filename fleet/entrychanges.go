package fleet

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

func sameEntries(a, b *cells.View) bool {
	return slices.EqualFunc(a.Live, b.Live, func(x, y cells.Entry) bool {
		return x.Incarnation == y.Incarnation && x.Leaving == y.Leaving
	})
}

// entriesChanged logs which entries are new or gone, and gives up the calls to
// those that are gone.
func (l *Loop) entriesChanged(before, after *cells.View) {
	for _, e := range before.Live {
		if _, ok := after.Find(e.Incarnation); !ok {
			l.log.Warn("entry_gone", zap.String("entry", e.Name), zap.Uint64("incarnation", uint64(e.Incarnation)))
			l.giveUpCalls(e)
			l.peers.requests.cancelAll(e.Incarnation)
			l.dropCapacity(e.Incarnation)
		}
	}
	for _, e := range after.Live {
		if old, ok := before.Find(e.Incarnation); !ok || old.Leaving != e.Leaving {
			l.log.Info("entry_seen", zap.String("entry", e.Name), zap.String("failure_domain", e.FailureDomain),
				zap.Uint64("incarnation", uint64(e.Incarnation)), zap.Bool("leaving", e.Leaving))
		}
	}
}

// callerSilence returns how long an entry may send no heartbeat before the calls
// from it are cancelled, which stops the runs of its jobs. It is longer than the time
// after which another entry takes over its cells, because an entry that is only slow
// still has callers who wait for those runs.
func (s Settings) callerSilence() time.Duration {
	return leased.CallerSilence(s.CallerRetry, s.MaxLease)
}

// detectStall allows time for reading queued heartbeats if this process has stood still
// since the last tick.
func (l *Loop) detectStall(now time.Time) {
	if !l.tickedAt.IsZero() && now.Sub(l.tickedAt) > stallThreshold {
		l.backlogUntil = now.Add(backlogTime)
	}
	l.tickedAt = now
}

// cancelCallsOfLostEntries cancels the calls from entries that have been silent
// for callerSilence, or have been replaced by a new incarnation. An entry that has
// just started may call before its first heartbeat arrives. Entries whose heartbeats may
// be unread are not silent. Leases are not extended for them meanwhile.
func (l *Loop) cancelCallsOfLostEntries(now time.Time) {
	silence := l.settings.callerSilence()
	for _, id := range l.peers.inbound.entries() {
		before, age := now, time.Duration(0)
		if heardAt, heard := l.roster.LastContact(id); heard {
			age = now.Sub(heardAt)
		}
		switch l.roster.Contact(now, id, silence) {
		case cells.Heard:
			continue
		case cells.Unknown:
			before = now.Add(-silence)
		case cells.Silent:
			if now.Before(l.backlogUntil) {
				continue
			}
		case cells.Replaced:
		}
		if n := l.peers.inbound.cancelBefore(id, before); n > 0 {
			l.log.Warn("caller_entry_lost", zap.Uint64("incarnation", uint64(id)), zap.Int("calls", n), zap.Duration("contact_age_ms", age))
		}
	}
}

func (l *Loop) dropCapacity(holder cells.Incarnation) {
	maps.DeleteFunc(l.peerCapacity, func(_ cells.Cell, a announcedCapacity) bool { return a.holder == holder })
	l.balancer.receive(time.Time{}, holder, nil, 0)
}

// suspectEntry is a message that reports a broken call to an entry.
type suspectEntry struct{ id cells.Incarnation }

func (m suspectEntry) handle(l *Loop) {
	l.roster.Suspect(m.id)
	l.refresh(time.Now())
	l.publish()
}
