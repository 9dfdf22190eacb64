// Package cells decides which entry holds the endpoints of which cell, from
// heartbeats alone. It does no I/O and reads no clock.
//
// A cell is a share of the endpoints of a failure domain. Among the live
// entries of the domain, rendezvous hashing over incarnations picks the
// holder, far more often a large VM than a small one. If none is left, the other
// domains' entries hold the cell, provided they hear most of all known
// entries.
//
// Two sides of a partition may pick different holders. The endpoints' fencing
// tokens keep that safe; Standing says which side gives way: an entry that
// hears too little of its own domain does not take endpoints back once it has
// been fenced off.
package cells

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

// Times of judging silence.
const (
	// missedHeartbeats is the number of missed heartbeats after which an entry
	// counts as silent.
	missedHeartbeats = 5
	// minSilence bounds that from below: a busy entry may be late.
	minSilence = 450 * time.Millisecond
	// suspectMissedHeartbeats and suspectSilence are the same for an entry to which a
	// connection broke.
	suspectMissedHeartbeats = 2
	minSuspectSilence       = 250 * time.Millisecond
	// settleTime is how long a new entry listens before it holds anything, for
	// each settleEntries entries that it hears: more come more slowly.
	settleTime           = 350 * time.Millisecond
	entriesPerSettleTime = 12
	// forgetAfter is how long a silent entry counts among the known ones.
	forgetAfter = 30 * time.Second
	// emptyAfter is how long a failure domain must be without a live entry
	// before others hold its cells.
	emptyAfter = 800 * time.Millisecond
)

// Incarnation identifies one run of an entry process.
type Incarnation uint64

// Entry is what an entry says of itself.
type Entry struct {
	Name             string
	Address          string // of its peer server, host:port
	HeartbeatAddress string // where it takes heartbeats, host:port
	FailureDomain    string
	Incarnation      Incarnation
	Weight           float64       // share of a processor
	Interval         time.Duration // between its heartbeats
	Leaving          bool          // it stops: it holds nothing new
}

// Cell is a share of the endpoints of a failure domain.
type Cell struct {
	FailureDomain string
	Index         int
	// Total is the number of cells that the domain is divided into. Cells of
	// different divisions share no endpoints by name.
	Total int
}

// String returns the cell as logs and messages write it.
func (c Cell) String() string { return fmt.Sprintf("%s/%d/%d", c.FailureDomain, c.Index, c.Total) }

// All returns the cells of a failure domain.
func All(domain string, total int) []Cell {
	list := make([]Cell, total)
	for i := range list {
		list[i] = Cell{FailureDomain: domain, Index: i, Total: total}
	}
	return list
}

// Roster keeps the entries. It is not safe for concurrent use.
type Roster struct {
	self           Entry
	listeningSince time.Time
	members        map[Incarnation]*member
}

type member struct {
	Entry
	lastHeartbeat time.Time
	suspect       bool // its connection broke, and no heartbeat has come since
}

// New returns a roster that knows only its own entry.
func New(self Entry, now time.Time) *Roster {
	return &Roster{self: self, listeningSince: now, members: make(map[Incarnation]*member)}
}

// ReceiveHeartbeat takes a heartbeat. It returns true if the entry was not known as live.
func (r *Roster) ReceiveHeartbeat(now time.Time, e Entry) bool {
	if e.Incarnation == r.self.Incarnation || e.Incarnation == 0 {
		return false
	}
	for id, m := range r.members {
		if m.Name == e.Name && id < e.Incarnation {
			delete(r.members, id)
		}
		if m.Name == e.Name && id > e.Incarnation {
			return false
		}
	}
	m := r.members[e.Incarnation]
	isNew := m == nil || !r.live(now, m)
	if m == nil {
		m = &member{}
		r.members[e.Incarnation] = m
	}
	m.Entry = e
	m.lastHeartbeat = now
	m.suspect = false
	return isNew
}

// Suspect notes that the connection to an entry broke. It counts as silent
// sooner, until its next heartbeat.
func (r *Roster) Suspect(id Incarnation) {
	if m := r.members[id]; m != nil {
		m.suspect = true
	}
}

// Leave notes that this entry stops.
func (r *Roster) Leave() { r.self.Leaving = true }

// Resumed notes that this process stood still: what it knows of others is old.
func (r *Roster) Resumed(now time.Time) { r.listeningSince = now }

func (r *Roster) live(now time.Time, m *member) bool {
	limit := SilenceTimeout(m.Interval)
	if m.suspect {
		limit = max(minSuspectSilence, suspectMissedHeartbeats*m.Interval)
	}
	return now.Sub(m.lastHeartbeat) <= limit
}

// SilenceTimeout returns how long an entry that sends heartbeats in an interval may be
// silent before others take it for gone.
func SilenceTimeout(interval time.Duration) time.Duration {
	return max(minSilence, missedHeartbeats*interval)
}

// View is an immutable picture of the entries.
type View struct {
	Self    Entry
	Live    []Entry // others that are heard, by name; leaving ones included
	Settled bool    // this entry has listened for long enough to hold cells
	// Isolated says that this entry hears too few of the entries of its own
	// failure domain to insist on holding its cells.
	Isolated bool
	// Majority says that it hears most of all known entries.
	Majority bool
	// SomeUnreachable says that an entry is silent that has not said that it stops.
	SomeUnreachable bool
	emptyDomains    map[string]bool // domains without a live entry for long enough

	mu          sync.Mutex
	holders     map[string][]Entry // of the cells of a domain, as far as asked for
	shardOwners []Entry            // of the shards of kept jobs, as far as asked for
}

// View returns the picture at a time, and forgets entries silent for long.
func (r *Roster) View(now time.Time) *View {
	v := &View{Self: r.self, emptyDomains: make(map[string]bool), holders: make(map[string][]Entry)}
	lastHeartbeats := make(map[string]time.Time)
	known, local, localLive, remoteLive := 1, 1, 1, 0
	for id, m := range r.members {
		if now.Sub(m.lastHeartbeat) > forgetAfter || m.Leaving && !r.live(now, m) {
			delete(r.members, id)
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
	v.Settled = now.Sub(r.listeningSince) >= settleTime*time.Duration(1+len(v.Live)/entriesPerSettleTime)
	slices.SortFunc(v.Live, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	v.Isolated = 2*localLive < local || 2*localLive == local && remoteLive == 0 && known > 1
	v.Majority = 2*(localLive+remoteLive) > known
	v.findEmptyDomains(now, r.listeningSince, lastHeartbeats)
	return v
}

// findEmptyDomains finds the domains whose entries have all been silent for long.
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

// isEmpty reports whether a domain has no live entry. A domain of which no
// entry was ever heard counts as empty some time after the start.
func (v *View) isEmpty(domain string) bool {
	if domain == v.Self.FailureDomain && !v.Self.Leaving {
		return false
	}
	empty, known := v.emptyDomains[domain]
	if !known {
		return v.emptyDomains[""]
	}
	return empty
}

// Holder returns the entry that holds a cell, and whether there is one.
func (v *View) Holder(c Cell) (Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	holders := v.holders[c.FailureDomain]
	if c.Index >= len(holders) {
		holders = assignCells(c.FailureDomain, c.Index+1, v.eligible(c.FailureDomain))
		v.holders[c.FailureDomain] = holders
	}
	if len(holders) == 0 {
		return Entry{}, false
	}
	return holders[c.Index], true
}

// Owner returns the entry that is to own a shard of kept jobs, of any failure
// domain, and whether there is one.
func (v *View) Owner(shard, total int) (Entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.shardOwners) != total {
		v.shardOwners = assignCells(shardsHashKey, total, v.candidates())
	}
	if shard >= len(v.shardOwners) {
		return Entry{}, false
	}
	return v.shardOwners[shard], true
}

// shardsHashKey names what is spread by Owner in place of a failure domain.
const shardsHashKey = "shards of kept jobs"

// eligible returns the entries among which the cells of a domain are shared.
func (v *View) eligible(domain string) []Entry {
	all := v.candidates()
	local := lo.Filter(all, func(e Entry, _ int) bool { return e.FailureDomain == domain })
	if len(local) > 0 {
		return local
	}
	if !v.Majority || !v.isEmpty(domain) {
		return nil
	}
	return all
}

// candidates are the entries that may hold cells.
func (v *View) candidates() []Entry {
	list := lo.Filter(v.Live, func(e Entry, _ int) bool { return !e.Leaving })
	if !v.Self.Leaving && v.Settled {
		list = append(list, v.Self)
	}
	return list
}

// Holds reports whether this entry holds a cell.
func (v *View) Holds(c Cell) bool {
	e, ok := v.Holder(c)
	return ok && e.Incarnation == v.Self.Incarnation
}

// Reclaims reports whether this entry takes an endpoint back after another
// holder has fenced it off.
func (v *View) Reclaims(c Cell) bool {
	return v.Holds(c) && !v.Isolated && c.FailureDomain == v.Self.FailureDomain
}

// Find returns a live entry, or this one.
func (v *View) Find(id Incarnation) (Entry, bool) {
	if id == v.Self.Incarnation {
		return v.Self, true
	}
	return lo.Find(v.Live, func(e Entry) bool { return e.Incarnation == id })
}

// loadFactor bounds the cells of an entry to this many times its share.
const loadFactor = 1.25

// assignCells shares the first n cells of a domain among entries: each cell goes to
// the entry with the highest score that is not full yet.
func assignCells(domain string, n int, entries []Entry) []Entry {
	if len(entries) == 0 {
		return nil
	}
	total := lo.SumBy(entries, hashWeight)
	held := make(map[Incarnation]int)
	holders := make([]Entry, n)
	for i := range n {
		cell := Cell{FailureDomain: domain, Index: i}
		free := lo.Filter(entries, func(e Entry, _ int) bool {
			share := hashWeight(e) / total * float64(i+1)
			return held[e.Incarnation] < int(math.Ceil(loadFactor*share))
		})
		holders[i] = lo.MaxBy(free, func(a, b Entry) bool { return score(cell, a) > score(cell, b) })
		held[holders[i].Incarnation]++
	}
	return holders
}

// minWeight keeps an entry without a weight in the game.
const minWeight = 0.01

// hashWeight tells how well an entry suits as a holder. A cell is as much work on
// a small VM as on a large one, so small ones hold far less than their share.
func hashWeight(e Entry) float64 {
	w := max(e.Weight, minWeight)
	return w * w * w
}

func score(c Cell, e Entry) float64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", c.FailureDomain, c.Index, e.Incarnation)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	u := (float64(x>>11) + 0.5) / (1 << 53)
	return -hashWeight(e) / math.Log(u)
}

// ForEndpoint returns the cell of an endpoint in a failure domain that is divided into
// a number of cells.
func ForEndpoint(domain, endpoint string, cells int) Cell {
	h := fnv.New32a()
	h.Write([]byte(endpoint))
	return Cell{FailureDomain: domain, Index: int(h.Sum32() % uint32(cells)), Total: cells}
}

// Count returns into how many cells a failure domain with some endpoints is
// divided: a power of two, so that the number seldom changes and cells are
// halved or joined when it does.
func Count(endpoints, perCell int) int {
	n := 1
	for n*perCell < endpoints {
		n *= 2
	}
	return n
}
