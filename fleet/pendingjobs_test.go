package fleet

import (
	"testing"
	"time"
)

// Guards against a count that leaves out the jobs of an owner that does not answer
// for a moment, because the store turns it away.
func TestCountOfPendingJobsOutlivesASilentOwner(t *testing.T) {
	var counts latestCounts[string]
	start := time.Unix(1_800_000_000, 0)
	ask := func(after time.Duration, jobs int, answered bool) int {
		now := start.Add(after)
		if answered {
			counts.answered("owner", map[string]int{"q": jobs}, now)
		}
		return counts.latest("owner", now)["q"]
	}
	if n := ask(0, 0, false); n != 0 {
		t.Errorf("an owner that never answered counts %d jobs", n)
	}
	for _, step := range []struct {
		after    time.Duration
		jobs     int
		answered bool
		want     int
	}{
		{0, 26, true, 26},
		{time.Second, 0, false, 26},
		{9 * time.Second, 0, false, 26},
		{11 * time.Second, 0, false, 0},
		{12 * time.Second, 3, true, 3},
	} {
		if n := ask(step.after, step.jobs, step.answered); n != step.want {
			t.Errorf("after %v: %d jobs, want %d", step.after, n, step.want)
		}
	}
}
