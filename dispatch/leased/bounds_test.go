package leased

import (
	"os"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased/boundstest"
)

// boundsPage is the page whose tables name the sums below.
const boundsPage = "../../docs/design/run-bounds.md"

func readBoundsPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(boundsPage)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// boundRows returns the sums that this package's constants make up.
func boundRows() []boundstest.Row {
	c := New(Options{MaxLease: boundstest.MaxLease, CallerRetry: boundstest.CallerRetry})
	claim := boundstest.Term{Name: "claimTime", Value: c.claimTime}
	lease := boundstest.Term{Name: "MaxLease", Value: c.opts.MaxLease}
	slow := boundstest.Term{Name: "slow clock", Value: boundstest.SlowClock}
	latency := boundstest.Term{Name: "latency", Value: boundstest.Latency}
	drift := boundstest.Term{Name: "drift", Value: boundstest.Drift}
	grace := boundstest.Term{Name: "contactGrace", Value: contactGrace}
	tick := boundstest.Term{Name: "TickInterval", Value: TickInterval}
	retry := boundstest.Term{Name: "CallerRetry", Value: boundstest.CallerRetry}
	remote := boundstest.Term{Name: "remoteRunTimeout", Value: c.remoteRunTimeout()}
	own := boundstest.Term{Name: "ownRunTimeout", Value: c.ownRunTimeout()}
	// From the sending of the last message that does not name a withdrawal.
	fromContact := []boundstest.Term{claim, slow, latency, drift}
	return []boundstest.Row{
		{Name: "E1 entry gone; run at another holder", Terms: fromContact, Limit: retry},
		{Name: "E2 entry gone; run at a delegate", Terms: fromContact, Limit: retry},
		{Name: "E3 entry gone; run on its own endpoints", Terms: []boundstest.Term{lease, slow}, Limit: retry},
		{Name: "E4 entry lives or has answered 504; nothing that it sends arrives; run at another holder or a delegate", Terms: fromContact, Limit: retry},
		{Name: "E5 the same, but the cancellation arrives, and all Stops are lost", Terms: []boundstest.Term{latency, lease, slow}, Limit: retry},
		{Name: "E6 entry lives; run on its own endpoints, all Stops are lost", Terms: []boundstest.Term{lease, slow}, Limit: retry},
		{Name: "E7 Start without a reply, executed late by the same incarnation", Terms: fromContact, Limit: retry},
		{Name: "E8 run taken over by a holder at which no job claims it", Terms: fromContact, Limit: retry},
		{Name: "I1 entry goes to another holder; run at the earlier one, or at its delegate that knows the call", Terms: fromContact, Limit: remote},
		{Name: "I2 the same; run at a delegate that does not know the call", Terms: []boundstest.Term{grace, tick, claim, slow, latency, drift, latency, drift}, Limit: remote},
		{Name: "I3 holder gives a delegated task up", Terms: fromContact, Limit: remote},
		{Name: "I4 holder is fenced off by another one", Terms: []boundstest.Term{lease, slow}, Limit: own},
		{Name: "I5 endpoint does not answer", Terms: []boundstest.Term{lease, slow}, Limit: own},
	}
}

// Guards against a constant that makes a run outlast the time after which its task is
// started again: by another entry, which knows nothing of it, or by this one.
func TestRunsEndWithinTheirBounds(t *testing.T) {
	for _, row := range boundRows() {
		row.Check(t)
	}
	if c := New(Options{MaxLease: boundstest.MaxLease, CallerRetry: boundstest.CallerRetry}); c.claimTime != boundstest.ClaimTime {
		t.Errorf("claim time %v, the sums of package fleet assume %v", c.claimTime, boundstest.ClaimTime)
	}
}

// Guards against a constant that changes without the page that derives the bounds.
func TestBoundsPageNamesTheSums(t *testing.T) {
	boundstest.CheckTable(t, readBoundsPage(t), "Sums of dispatch/leased", boundRows())
}

// Guards against bounds that depend on a shorter time than the protocol's: settings
// without one, or with a shorter one, must not lengthen the leases of runs.
func TestClaimTimeFitsTheCallerRetry(t *testing.T) {
	for _, retry := range []time.Duration{0, time.Second, boundstest.CallerRetry, 2 * time.Second, time.Minute} {
		claim := claimTime(retry, boundstest.MaxLease)
		limit := max(retry, boundstest.CallerRetry) - boundstest.SlowClock - boundstest.Latency - boundstest.Drift
		if claim > limit || claim <= contactGrace {
			t.Errorf("caller retry %v: claim time %v, want more than %v and at most %v", retry, claim, contactGrace, limit)
		}
	}
}
