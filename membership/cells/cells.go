// Package cells decides which entry holds the endpoints of which cell, from
// heartbeats alone. It does no I/O and reads no clock.
//
// A cell is a share of the endpoints of a failure domain. Rendezvous hashing
// over incarnations picks the holder among the live entries of the domain, and
// picks a large VM far more often than a small one. If the domain has no live
// entry, entries of other domains hold the cell, provided they receive
// heartbeats from a majority of all known entries.
//
// The two sides of a network partition may pick different holders. The fencing
// tokens of the endpoints keep that safe. View.Reclaims decides which side
// yields: an entry that receives heartbeats from too few entries of its own
// domain does not reclaim endpoints after it has been fenced off.
package cells

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Limits of failure detection.
const (
	// missedHeartbeats is the number of missed heartbeats after which an entry
	// is no longer live.
	missedHeartbeats = 5
	// minSilence is the lower bound of that time, because a busy entry may send
	// its heartbeats late.
	minSilence = 450 * time.Millisecond
	// suspectMissedHeartbeats and minSuspectSilence are the same limits for an
	// entry whose connection broke.
	suspectMissedHeartbeats = 2
	minSuspectSilence       = 250 * time.Millisecond
	// settleTime is how long a new entry listens before it holds any cell. It
	// does not grow with the number of entries: a new entry asks each address
	// that it learns of for a heartbeat, and does not wait for the next one.
	settleTime = 350 * time.Millisecond
	// forgetAfter is how long an entry stays known after its last heartbeat.
	forgetAfter = 30 * time.Second
	// emptyAfter is how long a failure domain must be without a live entry
	// before entries of other domains hold its cells.
	emptyAfter = 800 * time.Millisecond
)

// Incarnation identifies one run of an entry process. Later runs have higher
// values.
type Incarnation uint64

// Entry is what an entry reports about itself in its heartbeats.
type Entry struct {
	Name             string
	Address          string // of its peer server, host:port
	HeartbeatAddress string // where it receives heartbeats, host:port
	FailureDomain    string
	Incarnation      Incarnation
	Weight           float64       // share of a processor
	Interval         time.Duration // between its heartbeats
	Leaving          bool          // it is stopping and takes no new cells
	// YieldsShards reports that the log of stored jobs turns the entry away while it
	// serves others, so that the entry should own no shard.
	YieldsShards bool
}

// Cell is a share of the endpoints of a failure domain.
type Cell struct {
	FailureDomain string
	Index         int
	// Total is the number of cells into which the domain is divided. It is part
	// of the cell's name, so that cells of different divisions are never taken
	// for each other.
	Total int
}

// String returns the name of the cell in logs and messages.
func (c Cell) String() string { return fmt.Sprintf("%s/%d/%d", c.FailureDomain, c.Index, c.Total) }

// All returns the cells of a failure domain.
func All(domain string, total int) []Cell {
	list := make([]Cell, total)
	for i := range list {
		list[i] = Cell{FailureDomain: domain, Index: i, Total: total}
	}
	return list
}

// Roster tracks the entries by their heartbeats. It is not safe for concurrent
// use.
type Roster struct {
	self           Entry
	listeningSince time.Time
	members        map[string]*member // by name: the newest incarnation of each entry
	assigned       *assignments       // of the latest view
	yield          shardYield
}

type member struct {
	Entry
	lastHeartbeat time.Time   // when its latest heartbeat was read
	lastContact   time.Time   // when its newest heartbeat was sent, as far as is known
	logAnsweredAt time.Time   // about when it sent its latest call that the log has answered
	logFails      bool        // the log has not answered its latest call
	suspect       bool        // its connection broke, and no heartbeat has arrived since
	replaced      Incarnation // the one before; 0: none is known
}

// New returns a roster that knows no entry other than self.
func New(self Entry, now time.Time) *Roster {
	return &Roster{self: self, listeningSince: now, members: make(map[string]*member)}
}

// ReceiveHeartbeat records a heartbeat that was sent just now. It returns true if the
// entry was not live before.
func (r *Roster) ReceiveHeartbeat(now time.Time, e Entry) bool {
	return r.ReceiveDelayedHeartbeat(now, e, 0)
}

// ReceiveDelayedHeartbeat records a heartbeat that was on its way, or waited to be read,
// for a time. It returns true if the entry was not live before. Whether an entry is live
// depends on when its heartbeats are read, so that none looks lost because this process
// stood still; LastContact and Contact depend on when they were sent.
func (r *Roster) ReceiveDelayedHeartbeat(now time.Time, e Entry, delay time.Duration) bool {
	if e.Incarnation == r.self.Incarnation || e.Incarnation == 0 {
		return false
	}
	m := r.members[e.Name]
	if m != nil && m.Incarnation > e.Incarnation {
		return false
	}
	isNew := m == nil || m.Incarnation < e.Incarnation || !r.live(now, m)
	if m == nil {
		m = &member{}
		r.members[e.Name] = m
	}
	if m.Incarnation < e.Incarnation {
		m.replaced = m.Incarnation
		m.lastContact = time.Time{}
		m.logAnsweredAt, m.logFails = time.Time{}, false
	}
	m.Entry = e
	m.lastHeartbeat = now
	if sentAt := now.Add(-delay); sentAt.After(m.lastContact) {
		m.lastContact = sentAt
	}
	m.suspect = false
	return isNew
}

// Contact tells what is known of an incarnation from its heartbeats.
type Contact uint8

// Contacts with an incarnation.
const (
	Unknown  Contact = iota // no heartbeat has arrived, or none for forgetAfter
	Heard                   // a heartbeat was sent recently
	Silent                  // none that has arrived was sent recently
	Replaced                // a newer incarnation of the entry has sent one
)

// Contact returns what is known of an incarnation. A heartbeat is recent if it
// was sent within the given time.
func (r *Roster) Contact(now time.Time, id Incarnation, within time.Duration) Contact {
	for _, m := range r.members {
		switch {
		case m.replaced == id:
			return Replaced
		case m.Incarnation != id:
		case now.Sub(m.lastContact) <= within:
			return Heard
		default:
			return Silent
		}
	}
	return Unknown
}

// LastContact returns when the newest heartbeat of an incarnation was sent. It returns
// false if none has arrived, none for forgetAfter, or if a newer incarnation of the entry
// has sent one.
func (r *Roster) LastContact(id Incarnation) (time.Time, bool) {
	for _, m := range r.members {
		if m.Incarnation == id {
			return m.lastContact, true
		}
	}
	return time.Time{}, false
}

// Suspect records that the connection to an entry broke. A shorter silence
// limit applies to the entry until its next heartbeat.
func (r *Roster) Suspect(id Incarnation) {
	for _, m := range r.members {
		if m.Incarnation == id {
			m.suspect = true
		}
	}
}

// Leave marks this entry as leaving.
func (r *Roster) Leave() { r.self.Leaving = true }

// Resumed records that this process was frozen until now, so that its
// knowledge of other entries is out of date.
func (r *Roster) Resumed(now time.Time) { r.listeningSince = now }

func (r *Roster) live(now time.Time, m *member) bool {
	limit := SilenceTimeout(m.Interval)
	if m.suspect {
		limit = max(minSuspectSilence, suspectMissedHeartbeats*m.Interval)
	}
	return now.Sub(m.lastHeartbeat) <= limit
}

// SilenceTimeout returns the time without a heartbeat after which an entry with
// the given heartbeat interval is no longer live.
func SilenceTimeout(interval time.Duration) time.Duration {
	return max(minSilence, missedHeartbeats*interval)
}

// View is an immutable snapshot of the entries. It is safe for concurrent use.
type View struct {
	Self    Entry
	Live    []Entry // the other live entries, by name; includes leaving ones
	Settled bool    // this entry has listened for long enough to hold cells
	// Isolated reports that too few of the known entries of the own failure
	// domain are live for this entry to reclaim endpoints.
	Isolated bool
	// Majority reports that more than half of all known entries are live.
	Majority bool
	// SomeUnreachable reports that heartbeats of an entry stopped although it
	// has not announced that it is leaving.
	SomeUnreachable bool
	emptyDomains    map[string]bool // whether a domain has had no live entry for long enough
	assigned        *assignments
}

// View returns the state of the entries at a time. It deletes entries that have
// been silent for longer than forgetAfter, and leaving ones that are no longer
// live.
func (r *Roster) View(now time.Time) *View {
	v := &View{Self: r.self, emptyDomains: make(map[string]bool)}
	lastHeartbeats := make(map[string]time.Time)
	known, local, localLive, remoteLive := 1, 1, 1, 0
	for name, m := range r.members {
		if now.Sub(m.lastHeartbeat) > forgetAfter || m.Leaving && !r.live(now, m) {
			delete(r.members, name)
			continue
		}
		known++
		isLocal := m.FailureDomain == r.self.FailureDomain
		if isLocal {
			local++
		}
		last := lastHeartbeats[m.FailureDomain]
		if !m.Leaving && m.lastHeartbeat.After(last) {
			last = m.lastHeartbeat
		}
		lastHeartbeats[m.FailureDomain] = last
		if !r.live(now, m) {
			v.SomeUnreachable = true
			continue
		}
		v.Live = append(v.Live, m.Entry)
		if isLocal {
			localLive++
		} else {
			remoteLive++
		}
	}
	v.Settled = now.Sub(r.listeningSince) >= settleTime
	slices.SortFunc(v.Live, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	v.Isolated = 2*localLive < local || 2*localLive == local && remoteLive == 0 && known > 1
	v.Majority = 2*(localLive+remoteLive) > known
	v.findEmptyDomains(now, r.listeningSince, lastHeartbeats)
	if !r.assigned.validFor(v) {
		r.assigned = newAssignments(v)
	}
	v.assigned = r.assigned
	return v
}

// findEmptyDomains finds the domains that have had no live entry for long
// enough.
func (v *View) findEmptyDomains(now, listeningSince time.Time, lastHeartbeats map[string]time.Time) {
	for domain, last := range lastHeartbeats {
		v.emptyDomains[domain] = now.Sub(last) > emptyAfter+minSilence
	}
	for _, e := range v.Live {
		if !e.Leaving {
			v.emptyDomains[e.FailureDomain] = false
		}
	}
	v.emptyDomains[v.Self.FailureDomain] = v.Self.Leaving && v.emptyDomains[v.Self.FailureDomain]
	v.emptyDomains[""] = now.Sub(listeningSince) > emptyAfter+minSilence
}

// Holds reports whether this entry holds a cell.
func (v *View) Holds(c Cell) bool {
	e, ok := v.Holder(c)
	return ok && e.Incarnation == v.Self.Incarnation
}

// Reclaims reports whether this entry takes an endpoint of a cell back after
// another holder has fenced it off.
func (v *View) Reclaims(c Cell) bool {
	return v.Holds(c) && !v.Isolated && c.FailureDomain == v.Self.FailureDomain
}

// Find returns the live entry with an incarnation. This entry is always found.
func (v *View) Find(id Incarnation) (Entry, bool) {
	if id == v.Self.Incarnation {
		return v.Self, true
	}
	return lo.Find(v.Live, func(e Entry) bool { return e.Incarnation == id })
}

// ForEndpoint returns the cell of an endpoint in a failure domain that is
// divided into the given number of cells.
func ForEndpoint(domain, endpoint string, cells int) Cell {
	h := fnv.New32a()
	h.Write([]byte(endpoint))
	return Cell{FailureDomain: domain, Index: int(h.Sum32() % uint32(cells)), Total: cells}
}

// Count returns the number of cells for a failure domain with a number of
// endpoints. It is a power of two, so that the number changes rarely, and cells
// are split in two or merged in pairs when it does.
func Count(endpoints, perCell int) int {
	n := 1
	for n*perCell < endpoints {
		n *= 2
	}
	return n
}
