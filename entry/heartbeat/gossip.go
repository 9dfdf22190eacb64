package heartbeat

import (
	"github.com/samber/lo"

	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

// Bounds of what one message passes on.
const (
	maxUpdates   = 16 // entries that the other has not heard of in this state
	maxRefreshes = 4  // entries whose sequence alone has risen
)

// sentState is what one other entry was last told of an entry.
type sentState struct {
	sequence  uint64
	leaving   bool
	successor membership.Incarnation
}

// gossip remembers what each other entry was told. The announcer guards it.
type gossip struct {
	sent map[string]map[membership.Incarnation]sentState // by name of the receiver
	next int                                             // rotates over the refreshed
}

// relayed are the entries worth telling a receiver: within the failure domain
// those of others, as the rest is heard directly; across, those of the own. An
// entry that has a successor is told to all, also to those that started after
// it stopped.
func relayed(v *membership.View, receiver, domain string) []membership.Entry {
	return lo.Filter(v.Others, func(e membership.Entry, _ int) bool {
		if e.Successor != 0 {
			return true
		}
		if e.State == membership.Gone || e.Name == receiver {
			return false
		}
		sameDomain := e.FailureDomain == v.Self.FailureDomain
		return sameDomain != (domain == v.Self.FailureDomain)
	})
}

// hasUpdates reports whether the receiver has not heard of some entry in its
// present state.
func (g *gossip) hasUpdates(v *membership.View, receiver, domain string) bool {
	sent := g.sent[receiver]
	return lo.SomeBy(relayed(v, receiver, domain), func(e membership.Entry) bool { return isUpdate(sent, e) })
}

func isUpdate(sent map[membership.Incarnation]sentState, e membership.Entry) bool {
	last, ok := sent[e.Incarnation]
	return !ok || last.leaving != (e.State == membership.Leaving) || last.successor != e.Successor
}

// pick returns what to pass on to the receiver and notes it as told.
func (g *gossip) pick(v *membership.View, receiver, domain string) []*peerpb.Entry {
	sent := g.sent[receiver]
	if sent == nil {
		sent = make(map[membership.Incarnation]sentState)
		g.sent[receiver] = sent
	}
	list := relayed(v, receiver, domain)
	updates := lo.Filter(list, func(e membership.Entry, _ int) bool { return isUpdate(sent, e) })
	chosen := append(updates[:min(len(updates), maxUpdates)], g.refreshed(sent, list)...)
	for _, e := range chosen {
		sent[e.Incarnation] = sentState{e.Sequence, e.State == membership.Leaving, e.Successor}
	}
	return lo.Map(chosen, func(e membership.Entry, _ int) *peerpb.Entry { return toProto(e) })
}

// refreshed picks, in rotation, entries that the receiver knows and whose
// sequence has risen since.
func (g *gossip) refreshed(sent map[membership.Incarnation]sentState, list []membership.Entry) []membership.Entry {
	var picked []membership.Entry
	for range list {
		g.next = (g.next + 1) % len(list)
		e := list[g.next]
		if !isUpdate(sent, e) && e.Sequence > sent[e.Incarnation].sequence {
			picked = append(picked, e)
		}
		if len(picked) == maxRefreshes {
			break
		}
	}
	return picked
}

// forget drops what was told to entries that are gone.
func (g *gossip) forget(receiver string) { delete(g.sent, receiver) }
