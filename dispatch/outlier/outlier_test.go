package outlier

import (
	"testing"
	"time"
)

var now = time.Unix(1_700_000_000, 0)

const usual = 100 * time.Millisecond

func peersOf(n int) ([]Record, *Peers) {
	return make([]Record, n), &Peers{Endpoints: n}
}

func TestShareOfEjectedEndpointsIsBounded(t *testing.T) {
	records, peers := peersOf(20)
	for range 200 {
		for i := range records {
			if i < 10 {
				records[i].Failed(now, peers)
			} else {
				records[i].Passed(now, peers, usual, usual)
			}
		}
	}
	ejected := 0
	for i := range records {
		if records[i].Standing() == Ejected {
			ejected++
		}
	}
	if ejected > 4 {
		t.Fatalf("%d of 20 ejected, bound is a fifth", ejected)
	}
}

func TestNobodyIsEjectedWhenAllFailAlike(t *testing.T) {
	records, peers := peersOf(10)
	for round := range 300 {
		for i := range records {
			if round%2 == 0 {
				records[i].Failed(now, peers)
			} else {
				records[i].Passed(now, peers, usual, usual)
			}
		}
	}
	for i := range records {
		if records[i].Standing() == Ejected {
			t.Fatalf("endpoint %d ejected", i)
		}
	}
}

func TestStragglerBecomesSecondChoiceAndGetsAnotherTry(t *testing.T) {
	records, peers := peersOf(10)
	for range 20 {
		for i := range records {
			run := usual
			if i == 0 {
				run = 5 * usual
			}
			records[i].Passed(now, peers, run, usual)
		}
	}
	for i := range records {
		want := Good
		if i == 0 {
			want = Doubtful
		}
		if got := records[i].Standing(); got != want {
			t.Errorf("endpoint %d has standing %d, want %d", i, got, want)
		}
	}
	if !records[0].Due(now.Add(longestAway)) {
		t.Fatal("never reviewed")
	}
	records[0].Review(peers)
	records[0].Passed(now, peers, 5*usual, usual)
	if records[0].Standing() != Doubtful {
		t.Fatalf("standing %d after a slow task on probation", records[0].Standing())
	}
	records[0].Review(peers)
	for range probationRuns {
		records[0].Passed(now, peers, usual, usual)
	}
	if records[0].Standing() != Good || peers.slow != 0 || peers.away != 0 {
		t.Fatalf("standing %d, %d slow, %d away", records[0].Standing(), peers.slow, peers.away)
	}
}

func TestProbation(t *testing.T) {
	records, peers := peersOf(10)
	for i := range records {
		for range 5 {
			records[i].Passed(now, peers, usual, usual)
		}
	}
	r := &records[0]
	for range 5 {
		r.Failed(now, peers)
	}
	if r.Standing() != Ejected {
		t.Fatalf("standing %d", r.Standing())
	}
	r.Review(peers)
	r.Failed(now, peers)
	if r.Standing() != Ejected {
		t.Fatal("a failure on probation did not eject")
	}
	r.Review(peers)
	for range probationRuns {
		r.Passed(now, peers, usual, usual)
	}
	if r.Standing() != Good || peers.away != 0 {
		t.Fatalf("standing %d, %d away", r.Standing(), peers.away)
	}
}

func TestEndpointThatFailsBeforeOthersEndATaskIsEjected(t *testing.T) {
	records, peers := peersOf(3)
	for range minOutcomes {
		records[0].Failed(now, peers)
	}
	if records[0].Standing() != Ejected {
		t.Fatalf("standing %d after %d failures", records[0].Standing(), minOutcomes)
	}
}
