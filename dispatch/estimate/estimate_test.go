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

// TestWrongDeclarationsDoNotSkewEstimates runs tasks of 300 ms for which one
// team declares 1 ms or 60 ms, while another team declares its run times of
// 300 ms and 60 ms correctly. The wrong declarations must not lower the
// estimates of the first team's tasks or raise those of the other team's.
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
	checkWithinFactor(t, "estimate for the underdeclaring team's 1 ms", s.ExpectedRunTime(underdeclaringTeam, time.Millisecond), long, 1.3)
	checkWithinFactor(t, "estimate for the underdeclaring team's 60 ms", s.ExpectedRunTime(underdeclaringTeam, short), long, 1.5)
	checkWithinFactor(t, "estimate for the accurate team's 60 ms", s.ExpectedRunTime(accurateTeam, short), short, 1.5)
	checkWithinFactor(t, "estimate for the accurate team's 300 ms", s.ExpectedRunTime(accurateTeam, long), long, 1.3)
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
			t.Fatalf("quantile available after %d runs", i)
		}
		s.Observe(accurateTeam, 0, 10*time.Millisecond, time.Duration(1+i/sampleInterval%100)*time.Millisecond)
	}
	if got := s.HighRatio(); math.Abs(got-9.9) > 9.9*2*accuracy {
		t.Errorf("99th percentile of 0.1 to 10 is %v, want about 9.9", got)
	}
}

func TestCallerTimeoutIsLowQuantileOfDisconnects(t *testing.T) {
	var timeout CallerTimeout
	for i := range 2 * minDisconnects {
		if i < minDisconnects && timeout.Estimate() != 0 {
			t.Fatalf("estimate available after %d disconnects", i)
		}
		timeout.Observe(time.Duration(1+i) * time.Second)
	}
	checkWithinFactor(t, "caller timeout", timeout.Estimate(), 5*time.Second, 1.2)
}
