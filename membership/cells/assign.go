package cells

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/samber/lo"
)

// assignments are the holders of cells and the owners of shards among a set of
// candidates. They are computed on request and kept while the set stays the
// same, because views are made far more often than entries come and go. They are
// safe for concurrent use.
type assignments struct {
	candidates   []Entry // by name
	majority     bool
	emptyDomains map[string]bool
	ownDomain    string
	selfLeaving  bool

	mu          sync.Mutex
	holders     map[string][]Entry // of the cells of a domain, as far as computed
	shardOwners []Entry            // of the shards of stored jobs
}

func newAssignments(v *View) *assignments {
	return &assignments{
		candidates: v.candidates(), majority: v.Majority, emptyDomains: v.emptyDomains,
		ownDomain: v.Self.FailureDomain, selfLeaving: v.Self.Leaving, holders: make(map[string][]Entry),
	}
}

// validFor reports whether the assignments hold for a view as well.
func (a *assignments) validFor(v *View) bool {
	return a != nil && a.majority == v.Majority && a.selfLeaving == v.Self.Leaving &&
		maps.Equal(a.emptyDomains, v.emptyDomains) && slices.Equal(a.candidates, v.candidates())
}

// Holder returns the entry that holds a cell. It returns false if there is none.
func (v *View) Holder(c Cell) (Entry, bool) {
	a := v.assigned
	a.mu.Lock()
	defer a.mu.Unlock()
	holders := a.holders[c.FailureDomain]
	if c.Index >= len(holders) {
		// All cells at once: each further one depends on those before it.
		holders = assignCells(c.FailureDomain, max(c.Index+1, c.Total), a.eligible(c.FailureDomain))
		a.holders[c.FailureDomain] = holders
	}
	if len(holders) == 0 {
		return Entry{}, false
	}
	return holders[c.Index], true
}

// eligible returns the entries among which the cells of a domain are divided.
func (a *assignments) eligible(domain string) []Entry {
	local := lo.Filter(a.candidates, func(e Entry, _ int) bool { return e.FailureDomain == domain })
	if len(local) > 0 {
		return local
	}
	if !a.majority || !a.isEmpty(domain) {
		return nil
	}
	return a.candidates
}

// isEmpty reports whether a domain has had no live entry for long enough. A
// domain without any known entry becomes empty some time after the start.
func (a *assignments) isEmpty(domain string) bool {
	if domain == a.ownDomain && !a.selfLeaving {
		return false
	}
	empty, known := a.emptyDomains[domain]
	if !known {
		return a.emptyDomains[""]
	}
	return empty
}

// candidates returns the entries that may hold cells, by name.
func (v *View) candidates() []Entry {
	list := lo.Filter(v.Live, func(e Entry, _ int) bool { return !e.Leaving })
	if !v.Self.Leaving && v.Settled {
		list = append(list, v.Self)
	}
	return list
}

// loadFactor limits the number of cells of an entry to this multiple of its
// share.
const loadFactor = 1.25

// assignCells assigns the first n cells of a domain. Each cell goes to the entry
// with the highest score among those that have not reached their limit.
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

// minWeight is the lower bound of weights, so that an entry without a weight
// can still hold cells.
const minWeight = 0.01

// hashWeight returns the weight of an entry in rendezvous hashing. A cell takes
// as much work on a small VM as on a large one, so small VMs hold far fewer
// cells than their share of processors.
func hashWeight(e Entry) float64 {
	w := max(e.Weight, minWeight)
	return w * w * w
}

// score returns the weighted rendezvous hash of an entry for a cell.
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
