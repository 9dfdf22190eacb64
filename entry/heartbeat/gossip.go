package heartbeat

import (
	"github.com/samber/lo"

	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

// Limits of the entries that one message relays.
const (
	maxUpdates   = 16 // entries whose current state was not sent to the receiver
	maxRefreshes = 4  // entries of which only the sequence number has increased
)

// sentState is the state of an entry that was last sent to one receiver.
type sentState struct {
	sequence  uint64
	leaving   bool
	successor membership.Incarnation
}

// gossip records what was sent to each other entry. The announcer's mutex guards
// it.
type gossip struct {
	sent map[string]map[membership.Incarnation]sentState // by name of the receiver
	next int                                             // position of the rotation over refreshed entries
}

// relayed returns the entries to send to a receiver. A receiver in this entry's
// failure domain gets the entries of other failure domains, as it receives the
// heartbeats of the rest directly. A receiver in another failure domain gets the
// entries of this one. An entry that has a successor is sent to all receivers,
// including those that started after it stopped.
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

// hasUpdates reports whether the current state of some entry was not sent to the
// receiver.
func (g *gossip) hasUpdates(v *membership.View, receiver, domain string) bool {
	sent := g.sent[receiver]
	return lo.SomeBy(relayed(v, receiver, domain), func(e membership.Entry) bool { return isUpdate(sent, e) })
}

func isUpdate(sent map[membership.Incarnation]sentState, e membership.Entry) bool {
	last, ok := sent[e.Incarnation]
	return !ok || last.leaving != (e.State == membership.Leaving) || last.successor != e.Successor
}

// pick returns the entries to send to the receiver and records them as sent.
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
// sequence number has increased since.
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

// forget deletes the record of what was sent to a receiver.
func (g *gossip) forget(receiver string) { delete(g.sent, receiver) }
