package leased

import (
	"testing"
	"time"
)

// Guards against a run time projected from a clock that has jumped by years: it would
// overflow, and be negative on one architecture and 292 years on another.
func TestAgeOfARunIsBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, clock := range []time.Duration{time.Second, 10 * 365 * 24 * time.Hour, 1<<63 - 1} {
		e := &endpoint{listedClock: clock}
		r := &run{beganClock: time.Millisecond, began: now.Add(-time.Second), percent: 1}
		r.age = e.age(r, now)
		if r.age != min(clock-time.Millisecond, maxRunAge) {
			t.Errorf("clock %v: age %v", clock, r.age)
		}
		for percent := 1; percent <= 100; percent++ {
			r.percent = percent
			if took := projectedRunTime(r, r.age); took < r.age {
				t.Errorf("clock %v: a run of %v at %d%% is expected to take %v", clock, r.age, percent, took)
			}
		}
	}
}
