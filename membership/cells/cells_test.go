package cells

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

const interval = 100 * time.Millisecond

func entry(name, domain string, id Incarnation) Entry {
	return Entry{Name: name, FailureDomain: domain, Incarnation: id, Weight: 0.4, Interval: interval}
}

// rosterOf returns the roster of self, which has received a heartbeat from each
// of the others.
func rosterOf(now time.Time, self Entry, others ...Entry) *Roster {
	r := New(self, now.Add(-time.Minute))
	for _, e := range others {
		r.ReceiveHeartbeat(now, e)
	}
	return r
}

func receiveAll(r *Roster, from, to time.Time, others ...Entry) {
	for now := from; !now.After(to); now = now.Add(interval) {
		for _, e := range others {
			r.ReceiveHeartbeat(now, e)
		}
	}
}

var (
	a1 = entry("a1", "a", 1)
	a2 = entry("a2", "a", 2)
	a3 = entry("a3", "a", 3)
	b1 = entry("b1", "b", 4)
	b2 = entry("b2", "b", 5)
)

func TestAllEntriesPickTheSameHolder(t *testing.T) {
	all := []Entry{a1, a2, a3, b1, b2}
	for i := range 20 {
		cell := Cell{"a", i, 16}
		want, _ := rosterOf(start, all[0], all...).View(start).Holder(cell)
		for _, self := range all[1:] {
			got, ok := rosterOf(start, self, all...).View(start).Holder(cell)
			if !ok || got.Incarnation != want.Incarnation {
				t.Errorf("%s picks %s for %s, %s picks %s", self.Name, got.Name, cell, all[0].Name, want.Name)
			}
			if got.FailureDomain != "a" {
				t.Errorf("%s is held from failure domain %s", cell, got.FailureDomain)
			}
		}
	}
}

func TestSilentHolderIsReplacedWithinSixHundredMilliseconds(t *testing.T) {
	r := rosterOf(start, a1, a2, a3, b1)
	later := start.Add(600 * time.Millisecond)
	receiveAll(r, start, later, a1, b1)
	for i := range 20 {
		e, ok := r.View(later).Holder(Cell{"a", i, 16})
		if !ok || e.Name != "a1" {
			t.Fatalf("cell %d is held by %q, want the only live entry", i, e.Name)
		}
	}
}

func TestBrokenConnectionMakesAnEntrySilentSooner(t *testing.T) {
	r := rosterOf(start, a1, a2)
	r.Suspect(a2.Incarnation)
	if live := r.View(start.Add(interval)).Live; len(live) != 1 {
		t.Errorf("live: %v, want a2: a broken connection does not prove that it has crashed", live)
	}
	later := start.Add(260 * time.Millisecond)
	if live := r.View(later).Live; len(live) != 0 {
		t.Errorf("live: %v, want none", live)
	}
	r.ReceiveHeartbeat(later, a2)
	if live := r.View(later.Add(interval)).Live; len(live) != 1 {
		t.Errorf("live: %v, want a2", live)
	}
}

func TestUnsuspectedEntryIsLiveForLonger(t *testing.T) {
	r := rosterOf(start, a1, a2)
	if live := r.View(start.Add(400 * time.Millisecond)).Live; len(live) != 1 {
		t.Errorf("live: %v, want a2", live)
	}
}

func TestIsolatedEntryDoesNotReclaim(t *testing.T) {
	r := rosterOf(start, a1, a2, a3, b1, b2)
	later := start.Add(2 * time.Second)
	v := r.View(later)
	if !v.Isolated || v.Reclaims(Cell{"a", 0, 16}) {
		t.Errorf("isolated %v, reclaims %v: want an isolated entry that does not reclaim", v.Isolated, v.Reclaims(Cell{"a", 0, 16}))
	}
}

func TestPartitionedFailureDomainHoldsItsOwnCells(t *testing.T) {
	r := rosterOf(start, a1, a2, a3, b1, b2)
	later := start.Add(2 * time.Second)
	receiveAll(r, start, later, a2, a3)
	v := r.View(later)
	if v.Isolated {
		t.Error("isolated, although all entries of the failure domain are live")
	}
	if e, ok := v.Holder(Cell{"a", 0, 16}); !ok || e.FailureDomain != "a" {
		t.Errorf("cell of the partitioned domain is held by %q, want an entry of it", e.Name)
	}
}

func TestEmptyFailureDomainIsHeldByOthers(t *testing.T) {
	r := rosterOf(start, a1, a2, a3, b1, b2)
	later := start.Add(2 * time.Second)
	receiveAll(r, start, later, a2, a3)
	if e, ok := r.View(later).Holder(Cell{"b", 0, 16}); !ok || e.FailureDomain != "a" {
		t.Errorf("the cell of the empty domain is held by %q (%v), want an entry of a", e.Name, ok)
	}
}

func TestMinorityDoesNotHoldOtherDomains(t *testing.T) {
	r := rosterOf(start, b1, b2, a1, a2, a3)
	later := start.Add(2 * time.Second)
	receiveAll(r, start, later, b2)
	if e, ok := r.View(later).Holder(Cell{"a", 0, 16}); ok {
		t.Errorf("in a minority, %s holds a cell of another domain", e.Name)
	}
}

func TestLeavingEntryHoldsNothing(t *testing.T) {
	r := rosterOf(start, a1, a2)
	r.Leave()
	for i := range 10 {
		if e, _ := r.View(start).Holder(Cell{"a", i, 16}); e.Name != "a2" {
			t.Errorf("cell %d is held by %q, want a2", i, e.Name)
		}
	}
}

func TestLastEntryOfADomainThatLeavesIsReplacedAtOnce(t *testing.T) {
	leaving := b1
	leaving.Leaving = true
	r := rosterOf(start, a1, a2, a3, leaving)
	if e, ok := r.View(start).Holder(Cell{"b", 0, 16}); !ok || e.FailureDomain != "a" {
		t.Errorf("held by %q (%v), want an entry of a", e.Name, ok)
	}
}

func TestNewEntryListensFirst(t *testing.T) {
	r := New(a1, start)
	if _, ok := r.View(start.Add(100 * time.Millisecond)).Holder(Cell{"a", 0, 16}); ok {
		t.Error("a new entry holds a cell before it has listened")
	}
	if !r.View(start.Add(time.Second)).Holds(Cell{"a", 0, 16}) {
		t.Error("the only entry does not hold its cell")
	}
}

// BenchmarkHoldersOfADomain looks up the holders of all cells of a domain with
// new candidates, as an entry does whenever another one comes or goes.
func BenchmarkHoldersOfADomain(b *testing.B) {
	const cellCount, entries = 64, 60
	var all []Entry
	for i := range entries {
		all = append(all, entry(fmt.Sprintf("a%d", i), "a", Incarnation(10+i)))
	}
	r := rosterOf(start, a1, all...)
	for b.Loop() {
		r.assigned = nil
		v := r.View(start)
		for _, c := range All("a", cellCount) {
			v.Holder(c)
		}
	}
}

// The time for which a new entry listens must not grow with the number of
// entries: until it ends, the endpoints of its cells get no tasks.
func TestListeningTimeDoesNotGrowWithTheNumberOfEntries(t *testing.T) {
	for _, others := range []int{1, 47, 1000} {
		r := New(a1, start)
		for i := range others {
			r.ReceiveHeartbeat(start.Add(100*time.Millisecond), entry(fmt.Sprintf("b%d", i), "b", Incarnation(100+i)))
		}
		if !r.View(start.Add(400 * time.Millisecond)).Holds(Cell{"a", 0, 1}) {
			t.Errorf("with %d other entries, the only entry of a domain does not hold its cell after 400 ms", others)
		}
	}
}

func TestNewIncarnationReplacesTheOld(t *testing.T) {
	r := rosterOf(start, a1, a2)
	restarted := a2
	restarted.Incarnation = 20
	r.ReceiveHeartbeat(start, restarted)
	r.ReceiveHeartbeat(start, a2)
	live := r.View(start).Live
	if len(live) != 1 || live[0].Incarnation != 20 {
		t.Errorf("live: %v, want only the new incarnation", live)
	}
}

func TestResumedEntryListensFirst(t *testing.T) {
	r := rosterOf(start, a1)
	r.Resumed(start)
	if r.View(start.Add(interval)).Holds(Cell{"a", 0, 16}) {
		t.Error("an entry that was frozen holds cells before it has listened")
	}
}

func TestSmallVMsHoldFewCells(t *testing.T) {
	small, large := a2, a3
	small.Weight, large.Weight = 0.2, 0.8
	v := rosterOf(start, a1, small, large).View(start)
	counts := make(map[string]int)
	for i := range 14 {
		e, _ := v.Holder(Cell{"a", i, 16})
		counts[e.Name]++
	}
	if counts["a2"] > 1 || counts["a1"] > 3 {
		t.Errorf("cells held: %v, want nearly all on the large VM", counts)
	}
}

func TestLossOfAnEntryMovesFewOtherCells(t *testing.T) {
	all := []Entry{a1, a2, a3, entry("a4", "a", 14), entry("a5", "a", 15), entry("a6", "a", 16)}
	before := rosterOf(start, all[0], all[1:]...).View(start)
	after := rosterOf(start, all[0], all[1:5]...).View(start)
	moved := 0
	for i := range 12 {
		was, _ := before.Holder(Cell{"a", i, 16})
		is, _ := after.Holder(Cell{"a", i, 16})
		if was.Name != "a6" && was.Name != is.Name {
			moved++
		}
	}
	if moved > 4 {
		t.Errorf("%d of 12 cells moved between entries that stayed", moved)
	}
}

func TestCellsOfDifferentDivisionsHaveDifferentNames(t *testing.T) {
	if a, b := ForEndpoint("a", "x", 2), ForEndpoint("a", "x", 4); a.String() == b.String() {
		t.Errorf("%s and %s: the same name for different sets of endpoints", a, b)
	}
	for endpoints, want := range map[int]int{0: 1, 20: 1, 32: 1, 33: 2, 88: 4, 117: 4} {
		if got := Count(endpoints, 32); got != want {
			t.Errorf("%d endpoints: %d cells, want %d", endpoints, got, want)
		}
	}
}

// Guards against leases that are extended by the heartbeats of another incarnation.
func TestLastContactIsThatOfTheIncarnation(t *testing.T) {
	r := rosterOf(start, a1, a2)
	later := start.Add(interval)
	r.ReceiveHeartbeat(later, a3)
	if at, ok := r.LastContact(a2.Incarnation); !ok || !at.Equal(start) {
		t.Errorf("last contact at %v, %v, want %v", at, ok, start)
	}
	next := a2
	next.Incarnation = 22
	r.ReceiveHeartbeat(later, next)
	if at, ok := r.LastContact(22); !ok || !at.Equal(later) {
		t.Errorf("last contact with the new incarnation at %v, %v, want %v", at, ok, later)
	}
	for _, id := range []Incarnation{a2.Incarnation, 99} {
		if at, ok := r.LastContact(id); ok {
			t.Errorf("last contact with incarnation %d at %v, want none", id, at)
		}
	}
}

// Guards against an entry that counts as lost because this process stood still, and
// against a heartbeat that counts as contact at the time at which it was read. A
// heartbeat that was overtaken makes the contact no older.
func TestDelayedHeartbeatIsOldContactOfALiveEntry(t *testing.T) {
	r := rosterOf(start, a1, a2)
	now := start.Add(2 * time.Second)
	const delay = 600 * time.Millisecond
	for _, d := range []time.Duration{delay, 2 * delay} {
		r.ReceiveDelayedHeartbeat(now, a2, d)
		if _, live := r.View(now).Find(a2.Incarnation); !live {
			t.Error("an entry whose heartbeat was just read is not live")
		}
		if at, ok := r.LastContact(a2.Incarnation); !ok || !at.Equal(now.Add(-delay)) {
			t.Errorf("last contact at %v, %v, want %v", at, ok, now.Add(-delay))
		}
	}
	if c := r.Contact(now, a2.Incarnation, delay); c != Heard {
		t.Errorf("contact %v within the delay, want %v", c, Heard)
	}
	if c := r.Contact(now, a2.Incarnation, delay-time.Millisecond); c != Silent {
		t.Errorf("contact %v within less than the delay, want %v", c, Silent)
	}
}
