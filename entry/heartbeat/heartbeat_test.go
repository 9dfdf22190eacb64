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

// viewFrom is what an entry of failure domain a knows of others.
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
		{"the delegate speaks to one entry of each other failure domain", viewFrom("a0", a1, a3, b1, b2), "", "a1 a3 b1"},
		{"the others stay within theirs", viewFrom("a2", a1, a3, b1, b2), "", "a1 a3"},
		{"the next takes the place of a delegate that is gone", viewFrom("a2", gone, a3, b1, b2), "", "a3 b1"},
		{"a live entry goes before a suspect one", viewFrom("a0", suspect, b2), "", "b2"},
		{"an entry that failed to answer is passed over", viewFrom("a0", b1, b2), "b1", "b2"},
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
		t.Error("no news of an entry of another failure domain")
	}
	if got := namesIn(g.pick(view, "a1", "a")); got != "b1" {
		t.Errorf("within the failure domain %q was told", got)
	}
	if got := namesIn(g.pick(view, "b1", "b")); got != "a1" {
		t.Errorf("across failure domains %q was told", got)
	}
	if g.hasUpdates(view, "a1", "a") || len(g.pick(view, "a1", "a")) != 0 {
		t.Error("the same was told again")
	}
	view.Others[1].Sequence = 2
	if g.hasUpdates(view, "a1", "a") {
		t.Error("a heartbeat alone is no news")
	}
	if got := namesIn(g.pick(view, "a1", "a")); got != "b1" {
		t.Errorf("a refreshed entry was not passed on: %q", got)
	}
	view.Others[1].State = membership.Leaving
	view.Others[1].Successor = 12
	if !g.hasUpdates(view, "a1", "a") {
		t.Error("a hand-over is no news")
	}
	g.forget("a1")
	if got := namesIn(g.pick(view, "a1", "a")); got != "b1" {
		t.Errorf("after a lost message %q was told", got)
	}
}

func TestIntervalGrowsWithTheNumberOfEntries(t *testing.T) {
	previous := 0.0
	for _, n := range []int{1, 3, 10, 50} {
		factor := intervalFactor(n)
		if factor < 1 || factor < previous {
			t.Errorf("stretch %g for %d entries after %g", factor, n, previous)
		}
		previous = factor
	}
	if previous <= 1 {
		t.Error("50 entries do not stretch the spacing")
	}
}
