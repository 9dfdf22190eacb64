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
		if turn := c.Advance(now, 200*time.Millisecond, 2, 0); turn.After(now) {
			t.Fatalf("turn %v late", turn.Sub(now))
		}
	}
}

func TestExcessLoadIsDelayedUpToMaxAhead(t *testing.T) {
	var c Clock
	var turn time.Time
	for range 1000 {
		turn = c.Advance(start, 100*time.Millisecond, 1, time.Second)
	}
	if late := turn.Sub(start); late != maxAhead-time.Second {
		t.Fatalf("turn is %v late, want %v", late, maxAhead-time.Second)
	}
	later := start.Add(maxAhead)
	if turn := c.Advance(later, time.Millisecond, 1, time.Second); turn.After(later) {
		t.Fatalf("still %v late", turn.Sub(later))
	}
}

func TestBucketAllowsBurstThenSustainedRate(t *testing.T) {
	var b Bucket
	if _, ok := b.Take(start, 5, 10, 5); !ok {
		t.Fatal("the burst was refused")
	}
	if wait, ok := b.Take(start, 1, 10, 5); ok || wait != 100*time.Millisecond {
		t.Fatalf("got wait %v, %v", wait, ok)
	}
	if _, ok := b.Take(start.Add(100*time.Millisecond), 1, 10, 5); !ok {
		t.Fatal("refused after the wait that was told")
	}
}

func TestJobLargerThanBurstLeavesDebt(t *testing.T) {
	var b Bucket
	if _, ok := b.Take(start, 20, 10, 5); !ok {
		t.Fatal("refused for good")
	}
	if wait, ok := b.Take(start, 1, 10, 5); ok || wait != 1600*time.Millisecond {
		t.Fatalf("got wait %v, %v", wait, ok)
	}
}
