package heartbeat

import (
	"github.com/samber/lo"

	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

// Bounds of what one message passes on.
const (
	maxNews    = 16 // entries that the other has not heard of in this state
	maxRefresh = 4  // entries whose sequence alone has risen
)

// passed is what one other entry was last told of an entry.
type passed struct {
	sequence  uint64
	leaving   bool
	successor membership.Incarnation
}

// gossip remembers what each other entry was told. The announcer guards it.
type gossip struct {
	told map[string]map[membership.Incarnation]passed // by name of the receiver
	next int                                          // rotates over the refreshed
}

// carried are the entries worth telling a receiver: within the failure domain
// those of others, as the rest is heard directly; across, those of the own. An
// entry that has a successor is told to all, also to those that started after
// it stopped.
func carried(v *membership.View, receiver, domain string) []membership.Entry {
	return lo.Filter(v.Others, func(e membership.Entry, _ int) bool {
		if e.Successor != 0 {
			return true
		}
		if e.State == membership.Gone || e.Name == receiver {
			return false
		}
		near := e.FailureDomain == v.Self.FailureDomain
		return near != (domain == v.Self.FailureDomain)
	})
}

// hasNews reports whether the receiver has not heard of some entry in its
// present state.
func (g *gossip) hasNews(v *membership.View, receiver, domain string) bool {
	told := g.told[receiver]
	return lo.SomeBy(carried(v, receiver, domain), func(e membership.Entry) bool { return isNews(told, e) })
}

func isNews(told map[membership.Incarnation]passed, e membership.Entry) bool {
	last, ok := told[e.Incarnation]
	return !ok || last.leaving != (e.State == membership.Leaving) || last.successor != e.Successor
}

// pick returns what to pass on to the receiver and notes it as told.
func (g *gossip) pick(v *membership.View, receiver, domain string) []*peerpb.Entry {
	told := g.told[receiver]
	if told == nil {
		told = make(map[membership.Incarnation]passed)
		g.told[receiver] = told
	}
	list := carried(v, receiver, domain)
	news := lo.Filter(list, func(e membership.Entry, _ int) bool { return isNews(told, e) })
	chosen := append(news[:min(len(news), maxNews)], g.refreshed(told, list)...)
	for _, e := range chosen {
		told[e.Incarnation] = passed{e.Sequence, e.State == membership.Leaving, e.Successor}
	}
	return lo.Map(chosen, func(e membership.Entry, _ int) *peerpb.Entry { return toProto(e) })
}

// refreshed picks, in rotation, entries that the receiver knows and whose
// sequence has risen since.
func (g *gossip) refreshed(told map[membership.Incarnation]passed, list []membership.Entry) []membership.Entry {
	var picked []membership.Entry
	for range list {
		g.next = (g.next + 1) % len(list)
		e := list[g.next]
		if !isNews(told, e) && e.Sequence > told[e.Incarnation].sequence {
			picked = append(picked, e)
		}
		if len(picked) == maxRefresh {
			break
		}
	}
	return picked
}

// forget drops what was told to entries that are gone.
func (g *gossip) forget(receiver string) { delete(g.told, receiver) }
