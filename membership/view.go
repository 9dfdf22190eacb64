package membership

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
)

// View is an immutable snapshot of the members.
type View struct {
	Self Entry
	// Listed reports whether a list of the platform has included this entry.
	Listed bool
	// Others are the other entries of which a heartbeat was received, including
	// gone ones, ordered by name and incarnation.
	Others []Entry
	// ListedOnly are the listed entries without a known incarnation that is not
	// gone, ordered by name.
	ListedOnly []Entry
	// Endpoints are the endpoints of this entry's failure domain, followed by
	// the others, both ordered by name. None of them is gone.
	Endpoints []Endpoint
	// Entries is the number of entries that share the slots of this entry's
	// failure domain. Rank is the position of this entry among them, from 0.
	Rank    int
	Entries int
	// Successor is the entry that would take over the ledger of this one. Its
	// incarnation is 0 if there is no such entry.
	Successor Entry
}

func (t *Tracker) buildView() View {
	v := View{Self: t.self, Listed: t.selfListed, Others: t.others(), ListedOnly: t.listedOnly(), Endpoints: t.sortedEndpoints()}
	v.Rank, v.Entries = t.slotShare(v.Others)
	v.Successor = t.successor(v.Others)
	return v
}

func (t *Tracker) others() []Entry {
	list := lo.MapToSlice(t.entries, func(_ Incarnation, e *Entry) Entry { return *e })
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

func (t *Tracker) listedOnly() []Entry {
	confirmed := make(map[string]bool, len(t.entries))
	for _, e := range t.entries {
		if e.State != Gone {
			confirmed[e.Name] = true
		}
	}
	list := lo.Filter(lo.Values(t.listedEntries), func(e Entry, _ int) bool { return !confirmed[e.Name] })
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (t *Tracker) sortedEndpoints() []Endpoint {
	list := lo.MapToSlice(t.endpoints, func(_ string, e *endpoint) Endpoint { return e.Endpoint })
	slices.SortFunc(list, func(a, b Endpoint) int {
		return cmp.Or(t.distance(a)-t.distance(b), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func (t *Tracker) distance(e Endpoint) int {
	if e.FailureDomain == t.self.FailureDomain {
		return 0
	}
	return 1
}

// slotShare counts the entries that hold slots of this entry's failure domain,
// and returns the rank of this entry among them. A suspect or leaving entry
// still holds its slots. An entry that has handed over its jobs holds its slots
// until its heartbeats stop, which happens when its tasks have ended.
func (t *Tracker) slotShare(others []Entry) (rank, entries int) {
	entries = 1
	for _, e := range others {
		exited := e.Successor != 0 && e.State == Suspect
		if e.State == Gone || exited || e.FailureDomain != t.self.FailureDomain {
			continue
		}
		entries++
		if e.Name < t.self.Name {
			rank++
		}
	}
	return rank, entries
}

// successor returns the live entry that follows this one by name, preferring
// entries of the same failure domain.
func (t *Tracker) successor(others []Entry) Entry {
	live := lo.Filter(others, func(e Entry, _ int) bool { return e.State == Live })
	local := lo.Filter(live, func(e Entry, _ int) bool { return e.FailureDomain == t.self.FailureDomain })
	if len(local) > 0 {
		return nextByName(local, t.self.Name)
	}
	return nextByName(live, t.self.Name)
}

// nextByName returns the first entry after name. After the last entry it
// continues with the first one.
func nextByName(sorted []Entry, name string) Entry {
	for _, e := range sorted {
		if e.Name > name {
			return e
		}
	}
	if len(sorted) == 0 {
		return Entry{}
	}
	return sorted[0]
}

// maxHandoverChain is the maximum length of a chain of successors that Owner
// follows.
const maxHandoverChain = 16

// Owner returns the entry that is responsible for an incarnation: the entry
// itself, or the one that took over its ledger. It returns false if no such
// entry is known.
func (v *View) Owner(id Incarnation) (Entry, bool) {
	for range maxHandoverChain {
		if id == v.Self.Incarnation && v.Self.Successor == 0 {
			return v.Self, true
		}
		if id == v.Self.Incarnation {
			id = v.Self.Successor
		}
		e, ok := lo.Find(v.Others, func(e Entry) bool { return e.Incarnation == id })
		if !ok || e.Successor == 0 {
			return e, ok
		}
		id = e.Successor
	}
	return Entry{}, false
}
