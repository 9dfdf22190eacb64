package quota

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func TestTeamWithinItsShareIsNotDelayed(t *testing.T) {
	var c Clock
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if virtualStart := c.Advance(now, 200*time.Millisecond, 2, 0); virtualStart.After(now) {
			t.Fatalf("job is delayed by %v", virtualStart.Sub(now))
		}
	}
}

func TestExcessLoadIsDelayedUpToMaxAhead(t *testing.T) {
	var c Clock
	var virtualStart time.Time
	for range 1000 {
		virtualStart = c.Advance(start, 100*time.Millisecond, 1, time.Second)
	}
	if delay := virtualStart.Sub(start); delay != maxAhead-time.Second {
		t.Fatalf("job is delayed by %v, want %v", delay, maxAhead-time.Second)
	}
	later := start.Add(maxAhead)
	if virtualStart := c.Advance(later, time.Millisecond, 1, time.Second); virtualStart.After(later) {
		t.Fatalf("job is delayed by %v after the burst of load, want no delay", virtualStart.Sub(later))
	}
}

func TestBucketAllowsBurstThenSustainedRate(t *testing.T) {
	var b Bucket
	if _, ok := b.Take(start, 5, 10, 5); !ok {
		t.Fatal("burst was refused")
	}
	if wait, ok := b.Take(start, 1, 10, 5); ok || wait != 100*time.Millisecond {
		t.Fatalf("got wait %v, %v, want 100ms, false", wait, ok)
	}
	if _, ok := b.Take(start.Add(100*time.Millisecond), 1, 10, 5); !ok {
		t.Fatal("refused after the returned wait")
	}
}

func TestJobLargerThanBurstLeavesDebt(t *testing.T) {
	var b Bucket
	if _, ok := b.Take(start, 20, 10, 5); !ok {
		t.Fatal("job larger than the burst was refused although the bucket is full")
	}
	if wait, ok := b.Take(start, 1, 10, 5); ok || wait != 1600*time.Millisecond {
		t.Fatalf("got wait %v, %v, want 1.6s, false", wait, ok)
	}
}
