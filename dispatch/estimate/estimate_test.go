package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	honest = iota
	liar
)

func within(t *testing.T, what string, got, want time.Duration, factor float64) {
	t.Helper()
	if ratio := math.Abs(math.Log(float64(got) / float64(want))); ratio > math.Log(factor) {
		t.Errorf("%s: %v, want %v within a factor of %v", what, got, want, factor)
	}
}

// TestWrongDeclarationsGainNothingLasting lets one team declare 1 ms for
// tasks of 300 ms, and then also what another team declares truthfully.
func TestWrongDeclarationsGainNothingLasting(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := New(200*time.Millisecond, true)
	noise := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * math.Exp(0.2*rng.NormFloat64()))
	}
	const long, short = 300 * time.Millisecond, 60 * time.Millisecond
	for range 200 {
		s.Observe(honest, ClassOf(long), 0, noise(long))
		s.Observe(honest, ClassOf(short), 0, noise(short))
		s.Observe(liar, ClassOf(time.Millisecond), 0, noise(long))
		s.Observe(liar, ClassOf(short), 0, noise(long))
	}
	within(t, "what the liar's 1 ms is taken for", s.ExpectedRunTime(liar, time.Millisecond), long, 1.3)
	within(t, "what the liar's 60 ms is taken for", s.ExpectedRunTime(liar, short), long, 1.5)
	within(t, "what the honest team's 60 ms is taken for", s.ExpectedRunTime(honest, short), short, 1.5)
	within(t, "what the honest team's 300 ms is taken for", s.ExpectedRunTime(honest, long), long, 1.3)
}

func TestUnknownDeclarationMovesTheExpectationABoundedStep(t *testing.T) {
	s := New(200*time.Millisecond, true)
	for range 100 {
		s.Observe(honest, 0, 0, 200*time.Millisecond)
	}
	for _, declared := range []time.Duration{time.Microsecond, time.Hour} {
		within(t, declared.String(), s.ExpectedRunTime(liar, declared), 200*time.Millisecond, maxHint*1.01)
	}
}

func TestHighRatioIsKnownOnlyAfterEnoughRuns(t *testing.T) {
	s := New(0, true)
	for i := range sampleEvery * (minQuantile + refresh) {
		if i < sampleEvery*minQuantile && s.HighRatio() != 0 {
			t.Fatalf("a quantile after %d runs", i)
		}
		s.Observe(honest, 0, 10*time.Millisecond, time.Duration(1+i/sampleEvery%100)*time.Millisecond)
	}
	if got := s.HighRatio(); math.Abs(got-9.9) > 9.9*2*accuracy {
		t.Errorf("99th percentile of 0.1 to 10 is %v", got)
	}
}

func TestPatienceIsALowQuantileOfHangUps(t *testing.T) {
	var p CallerTimeout
	for i := range 2 * minHangUps {
		if i < minHangUps && p.Estimate() != 0 {
			t.Fatalf("known after %d hang-ups", i)
		}
		p.Observe(time.Duration(1+i) * time.Second)
	}
	within(t, "patience", p.Estimate(), 5*time.Second, 1.2)
}
