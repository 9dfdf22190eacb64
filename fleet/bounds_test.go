package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/boundstest"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// boundsPage is the page whose tables name the figures below.
const boundsPage = "../docs/design/run-bounds.md"

func readBoundsPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(boundsPage)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// loopAmong returns the loop of an entry of a large fleet, which holds an endpoint or none.
func loopAmong(t *testing.T, entries int, holds bool) *Loop {
	t.Helper()
	l := testLoop(t, freeEndpoint{})
	view := &cells.View{Self: l.view.Self}
	for i := 1; i < entries; i++ {
		peer := cells.Entry{Name: strconv.Itoa(i), Incarnation: cells.Incarnation(i + 1), FailureDomain: "another"}
		if i < boundstest.DomainPeers {
			peer.FailureDomain = view.Self.FailureDomain
		}
		view.Live = append(view.Live, peer)
	}
	l.view = view
	if holds {
		l.core.Step(time.Now(), &leased.SetEndpoints{Endpoints: []leased.Endpoint{{ID: "e1", Address: "e1", Service: "s", FailureDomain: "d0", Cell: "d0/0/1"}}})
	}
	l.updateMaxCheckGap()
	return l
}

// Rows that a test of their own checks, too, or whose sum exceeds its limit.
const (
	standstillOfAll  = "F5 entry without endpoints stands still unnoticed, of 41"
	standstillOfMany = "F6 the same, of 35"
	uncountedFreeze  = "F7 VM of a holder stands still unnoticed; its monotonic clock does not count that"
)

// boundRows returns the sums that this package's constants make up.
func boundRows(t *testing.T) []boundstest.Row {
	term := func(name string, value time.Duration) boundstest.Term {
		return boundstest.Term{Name: name, Value: value}
	}
	standstill := func(entries int, holds bool) boundstest.Term {
		return term("maxGap", loopAmong(t, entries, holds).freezeDetector.maxGap)
	}
	retry := term("CallerRetry", boundstest.CallerRetry)
	latency, drift := term("latency", boundstest.Latency), term("drift", boundstest.Drift)
	stop := term("stop", boundstest.StopTime)
	lease, slow := term("MaxLease", boundstest.MaxLease), term("slow clock", boundstest.SlowClock)
	claim := term("claimTime", boundstest.ClaimTime)
	beat, tick, idleTick := term("heartbeatInterval", heartbeatInterval), term("TickInterval", leased.TickInterval), term("idleTickInterval", idleTickInterval)
	backlog := term("backlogTime", backlogTime)
	named := term("minWithdrawnNamedFor", minWithdrawnNamedFor)
	settings := Settings{MaxLease: boundstest.MaxLease, CallerRetry: boundstest.CallerRetry}
	return []boundstest.Row{
		{Name: "F1 entry lives; the connection to the holder is silent, heartbeats and Stops arrive", Terms: []boundstest.Term{beat, idleTick, latency, latency, stop}, Limit: retry},
		{Name: "F2 the same, but all Stops are lost", Terms: []boundstest.Term{beat, idleTick, latency, lease, slow}, Limit: retry},
		{Name: "F3 the delegate is the caller's entry itself; all Stops are lost", Terms: []boundstest.Term{beat, tick, lease, slow}, Limit: retry},
		{Name: "F4 holder whose callers wait at it stands still unnoticed; Stops arrive", Terms: []boundstest.Term{standstill(boundstest.MostEntries, true), latency, stop}, Limit: retry},
		{Name: standstillOfAll, Terms: []boundstest.Term{standstill(boundstest.MostEntries, false)}, Limit: retry},
		{Name: standstillOfMany, Terms: []boundstest.Term{standstill(boundstest.Entries, false)}, Limit: retry},
		{Name: uncountedFreeze, Terms: []boundstest.Term{term("freezeThreshold", freezeThreshold), claim, slow, latency, drift}, Limit: retry, OwnTest: "TestUncountedFreezeKeepsRunsWithinTheirBound"},
		{Name: "F8 calls of a silent entry are cancelled before their leases end", Terms: []boundstest.Term{term("callerSilence", settings.callerSilence()), idleTick, backlog}, Limit: claim},
		{Name: "F9 late call that is let in is still named as withdrawn", Terms: []boundstest.Term{term("contactGrace", leased.ContactGrace), latency, drift}, Limit: named},
		{Name: "F10 holder that stood still cancels the calls of a silent entry while these are named", Terms: []boundstest.Term{standstill(boundstest.MostEntries, true), backlog, tick}, Limit: named},
		{Name: "F11 silent connection is dead before its calls are named no longer", Terms: []boundstest.Term{term("peerPingAfter", peerPingAfter), term("peerPingTimeout", peerPingTimeout)}, Limit: term("withdrawnNamedFor", withdrawnNamedFor)},
	}
}

// Guards against a constant, or an interval that grows with the fleet, that makes a run
// outlast the time after which its caller sends the job to another entry.
func TestRunsEndWithinTheirBounds(t *testing.T) {
	for _, row := range boundRows(t) {
		if row.OwnTest == "" {
			row.Check(t)
		}
	}
}

// Guards against a constant that changes without the page that derives the bounds.
func TestBoundsPageNamesTheSums(t *testing.T) {
	boundstest.CheckTable(t, readBoundsPage(t), "Sums of fleet", boundRows(t))
}

// Guards against an entry that stood still, finds its caller's request and the end of that
// connection in its sockets, and sends the job to a holder at once: the caller is back at
// another entry meanwhile. After a standstill that is noticed, it reads its sockets first.
func TestStandstillIsNoticedBeforeCallersReturn(t *testing.T) {
	rows := boundRows(t)
	for name, entries := range map[string]int{standstillOfAll: boundstest.MostEntries, standstillOfMany: boundstest.Entries} {
		boundstest.Find(t, rows, name).Check(t)
		l := loopAmong(t, entries, false)
		clocks := withFakeClocks(l)
		l.updateMaxCheckGap()
		clocks.advance(boundstest.CallerRetry)
		if l.freezeDetector.remainingPause() <= 0 {
			t.Errorf("%d entries: jobs go on at once after the process was stopped for %v", entries, boundstest.CallerRetry)
		}
	}
}

// Guards against leases that are extended by contacts that look newer than they are: the VM
// stood still for less than freezeThreshold, and its monotonic clock does not count that.
func TestUncountedFreezeKeepsRunsWithinTheirBound(t *testing.T) {
	boundstest.Find(t, boundRows(t), uncountedFreeze).Check(t)
}

// count is a figure of a large fleet.
type count struct {
	name  string
	value string
	limit string // empty: none
	over  bool
}

// counts returns the figures that depend on the number of entries or on the load.
func counts() []count {
	epochs := (boundstest.MostEntries - 1) * (1 + int(minWithdrawnNamedFor/boundstest.Downtime))
	size := withdrawnSize()
	return []count{
		{"epochs that can rise within `minWithdrawnNamedFor`, 40 other entries", strconv.Itoa(epochs), "`maxNewEpochs` " + strconv.Itoa(maxNewEpochs), epochs > maxNewEpochs},
		{"bytes of the calls that a large holder can withdraw within `minWithdrawnNamedFor`", strconv.Itoa(size), "`maxWithdrawnBytes` " + strconv.Itoa(maxWithdrawnBytes), size > maxWithdrawnBytes},
		{"probability that two of 35 entries share `tokenLowBits`", sharedTokenBits(boundstest.Entries), "", false},
		{"probability that two of 41 entries share `tokenLowBits`", sharedTokenBits(boundstest.MostEntries), "", false},
	}
}

// withdrawnSize returns the size in a heartbeat of all calls that are open at a holder with
// its share of the load, and all that it begins while they are named.
func withdrawnSize() int {
	calls := (boundstest.JobsPerS + boundstest.TasksPerS) / boundstest.LargeEntries * int((minWithdrawnNamedFor+boundstest.CallerTimeout)/time.Millisecond) / 1000
	w := newWithdrawnCalls()
	for i := range calls {
		to := incarnationOf(strconv.Itoa(i%(boundstest.MostEntries-1)), time.Unix(1_800_000_000, 0))
		w.add(time.Time{}, &call{entry: to, number: uint64(1_000_000 + i)})
	}
	list, _ := w.encode()
	return proto.Size(&fleetpb.Beat{WithdrawnCalls: list})
}

// sharedTokenBits returns the probability that the names of two of n entries give them the
// same low bits of tokens.
func sharedTokenBits(n int) string {
	distinct := 1.0
	for i := range n {
		distinct *= 1 - float64(i)/(1<<tokenLowBits)
	}
	return fmt.Sprintf("%.3f", 1-distinct)
}

// Guards against limits that were derived for a small fleet, and against a page that names
// other figures than the code has.
func TestCountsOfALargeFleet(t *testing.T) {
	table := boundstest.Table(t, readBoundsPage(t), "Counts of a large fleet")
	if len(table) != len(counts()) {
		t.Fatalf("%d rows, want %d", len(table), len(counts()))
	}
	for i, c := range counts() {
		if c.over {
			t.Errorf("%s: %s, over %s", c.name, c.value, c.limit)
		}
		if got, want := strings.Join(table[i][:3], "|"), strings.Join([]string{c.name, c.value, c.limit}, "|"); got != want {
			t.Errorf("row %q, want %q", got, want)
		}
	}
}

// Guards against the arithmetic of the page on tokens: the name of an entry decides the low
// bits, so that two entries that share them do so in all of their incarnations.
func TestNameDecidesTheLowBitsOfTokens(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	first, second := incarnationOf("edge-1", start), incarnationOf("edge-1", start.Add(time.Hour+time.Millisecond))
	const low = 1<<tokenLowBits - 1
	if first == second || first&low != second&low {
		t.Errorf("incarnations %x and %x, want the same low %d bits", first, second, tokenLowBits)
	}
}
