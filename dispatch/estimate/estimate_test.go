package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	accurateTeam = iota
	underdeclaringTeam
)

func checkWithinFactor(t *testing.T, what string, got, want time.Duration, factor float64) {
	t.Helper()
	if ratio := math.Abs(math.Log(float64(got) / float64(want))); ratio > math.Log(factor) {
		t.Errorf("%s: %v, want %v within a factor of %v", what, got, want, factor)
	}
}

// TestWrongDeclarationsDoNotSkewEstimates lets one team declare 1 ms for
// tasks of 300 ms, and then also what another team declares truthfully.
func TestWrongDeclarationsDoNotSkewEstimates(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := New(200*time.Millisecond, true)
	noise := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * math.Exp(0.2*rng.NormFloat64()))
	}
	const long, short = 300 * time.Millisecond, 60 * time.Millisecond
	for range 200 {
		s.Observe(accurateTeam, ClassOf(long), 0, noise(long))
		s.Observe(accurateTeam, ClassOf(short), 0, noise(short))
		s.Observe(underdeclaringTeam, ClassOf(time.Millisecond), 0, noise(long))
		s.Observe(underdeclaringTeam, ClassOf(short), 0, noise(long))
	}
	checkWithinFactor(t, "what the liar's 1 ms is taken for", s.ExpectedRunTime(underdeclaringTeam, time.Millisecond), long, 1.3)
	checkWithinFactor(t, "what the liar's 60 ms is taken for", s.ExpectedRunTime(underdeclaringTeam, short), long, 1.5)
	checkWithinFactor(t, "what the honest team's 60 ms is taken for", s.ExpectedRunTime(accurateTeam, short), short, 1.5)
	checkWithinFactor(t, "what the honest team's 300 ms is taken for", s.ExpectedRunTime(accurateTeam, long), long, 1.3)
}

func TestFirstDeclarationMovesEstimateByBoundedFactor(t *testing.T) {
	s := New(200*time.Millisecond, true)
	for range 100 {
		s.Observe(accurateTeam, 0, 0, 200*time.Millisecond)
	}
	for _, declared := range []time.Duration{time.Microsecond, time.Hour} {
		checkWithinFactor(t, declared.String(), s.ExpectedRunTime(underdeclaringTeam, declared), 200*time.Millisecond, maxDeclaredFactor*1.01)
	}
}

func TestHighRatioNeedsEnoughRuns(t *testing.T) {
	s := New(0, true)
	for i := range sampleInterval * (minSketchValues + refreshInterval) {
		if i < sampleInterval*minSketchValues && s.HighRatio() != 0 {
			t.Fatalf("a quantile after %d runs", i)
		}
		s.Observe(accurateTeam, 0, 10*time.Millisecond, time.Duration(1+i/sampleInterval%100)*time.Millisecond)
	}
	if got := s.HighRatio(); math.Abs(got-9.9) > 9.9*2*accuracy {
		t.Errorf("99th percentile of 0.1 to 10 is %v", got)
	}
}

func TestCallerTimeoutIsLowQuantileOfDisconnects(t *testing.T) {
	var p CallerTimeout
	for i := range 2 * minDisconnects {
		if i < minDisconnects && p.Estimate() != 0 {
			t.Fatalf("known after %d hang-ups", i)
		}
		p.Observe(time.Duration(1+i) * time.Second)
	}
	checkWithinFactor(t, "patience", p.Estimate(), 5*time.Second, 1.2)
}
