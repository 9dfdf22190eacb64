package heartbeat

import (
	"strings"
	"testing"

	"github.com/samber/lo"

	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

func entryOf(name, domain string, incarnation uint64) membership.Entry {
	return membership.Entry{
		Name: name, FailureDomain: domain, Address: name + ":1",
		Incarnation: membership.Incarnation(incarnation), Sequence: 1,
	}
}

// viewFrom returns the view of an entry of failure domain a.
func viewFrom(self string, others ...membership.Entry) *membership.View {
	return &membership.View{Self: entryOf(self, "a", 99), Others: others}
}

func names(list []target) string {
	return strings.Join(lo.Map(list, func(t target, _ int) string { return t.name }), " ")
}

func TestTargets(t *testing.T) {
	a1, a3, b1, b2 := entryOf("a1", "a", 1), entryOf("a3", "a", 3), entryOf("b1", "b", 11), entryOf("b2", "b", 12)
	suspect := b1
	suspect.State = membership.Suspect
	gone := a1
	gone.State = membership.Gone
	for _, c := range []struct {
		name string
		view *membership.View
		down string
		want string
	}{
		{"the representative exchanges with one entry of each other failure domain", viewFrom("a0", a1, a3, b1, b2), "", "a1 a3 b1"},
		{"other entries exchange only within their failure domain", viewFrom("a2", a1, a3, b1, b2), "", "a1 a3"},
		{"the next entry replaces a representative that is gone", viewFrom("a2", gone, a3, b1, b2), "", "a3 b1"},
		{"a live entry is preferred to a suspect one", viewFrom("a0", suspect, b2), "", "b2"},
		{"an entry that failed to answer is skipped", viewFrom("a0", b1, b2), "b1", "b2"},
	} {
		got := names(targets(c.view, func(name string) bool { return name == c.down }))
		if got != c.want {
			t.Errorf("%s: targets %q, want %q", c.name, got, c.want)
		}
	}
}

func namesIn(list []*peerpb.Entry) string {
	return strings.Join(lo.Map(list, func(e *peerpb.Entry, _ int) string { return e.GetName() }), " ")
}

func TestUpdatesAreSentOnceToEachReceiver(t *testing.T) {
	g := gossip{sent: make(map[string]map[membership.Incarnation]sentState)}
	view := viewFrom("a2", entryOf("a1", "a", 1), entryOf("b1", "b", 11))
	if !g.hasUpdates(view, "a1", "a") {
		t.Error("no update about an entry of another failure domain")
	}
	if got := namesIn(g.pick(view, "a1", "a")); got != "b1" {
		t.Errorf("sent %q within the failure domain", got)
	}
	if got := namesIn(g.pick(view, "b1", "b")); got != "a1" {
		t.Errorf("sent %q to another failure domain", got)
	}
	if g.hasUpdates(view, "a1", "a") || len(g.pick(view, "a1", "a")) != 0 {
		t.Error("the same state was sent twice")
	}
	view.Others[1].Sequence = 2
	if g.hasUpdates(view, "a1", "a") {
		t.Error("a new sequence number alone counts as an update")
	}
	if got := namesIn(g.pick(view, "a1", "a")); got != "b1" {
		t.Errorf("sent %q, want the refreshed entry b1", got)
	}
	view.Others[1].State = membership.Leaving
	view.Others[1].Successor = 12
	if !g.hasUpdates(view, "a1", "a") {
		t.Error("a handover does not count as an update")
	}
	g.forget("a1")
	if got := namesIn(g.pick(view, "a1", "a")); got != "b1" {
		t.Errorf("sent %q after a lost message", got)
	}
}

func TestIntervalGrowsWithTheNumberOfEntries(t *testing.T) {
	previous := 0.0
	for _, n := range []int{1, 3, 10, 50} {
		factor := intervalFactor(n)
		if factor < 1 || factor < previous {
			t.Errorf("factor %g for %d entries after %g", factor, n, previous)
		}
		previous = factor
	}
	if previous <= 1 {
		t.Error("50 entries do not lengthen the interval")
	}
}
