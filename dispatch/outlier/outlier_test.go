package outlier

import (
	"testing"
	"time"
)

var now = time.Unix(1_700_000_000, 0)

const typicalRunTime = 100 * time.Millisecond

func newPeers(n int) ([]Record, *Peers) {
	return make([]Record, n), &Peers{Endpoints: n}
}

func TestShareOfEjectedEndpointsIsBounded(t *testing.T) {
	records, peers := newPeers(20)
	for range 200 {
		for i := range records {
			if i < 10 {
				records[i].Failed(now, peers)
			} else {
				records[i].Succeeded(now, peers, typicalRunTime, typicalRunTime)
			}
		}
	}
	ejected := 0
	for i := range records {
		if records[i].Health() == Ejected {
			ejected++
		}
	}
	if ejected > 4 {
		t.Fatalf("%d of 20 endpoints ejected, want at most a fifth", ejected)
	}
}

func TestNoEndpointIsEjectedWhenAllFailEqually(t *testing.T) {
	records, peers := newPeers(10)
	for round := range 300 {
		for i := range records {
			if round%2 == 0 {
				records[i].Failed(now, peers)
			} else {
				records[i].Succeeded(now, peers, typicalRunTime, typicalRunTime)
			}
		}
	}
	for i := range records {
		if records[i].Health() == Ejected {
			t.Fatalf("endpoint %d is ejected", i)
		}
	}
}

func TestStragglerIsDegradedAndThenGoesOnProbation(t *testing.T) {
	records, peers := newPeers(10)
	for range 20 {
		for i := range records {
			run := typicalRunTime
			if i == 0 {
				run = 5 * typicalRunTime
			}
			records[i].Succeeded(now, peers, run, typicalRunTime)
		}
	}
	for i := range records {
		want := Healthy
		if i == 0 {
			want = Degraded
		}
		if got := records[i].Health(); got != want {
			t.Errorf("endpoint %d has health %d, want %d", i, got, want)
		}
	}
	if !records[0].ReviewDue(now.Add(maxEjection)) {
		t.Fatal("no review due after the longest ejection")
	}
	records[0].Review(peers)
	records[0].Succeeded(now, peers, 5*typicalRunTime, typicalRunTime)
	if records[0].Health() != Degraded {
		t.Fatalf("health %d after a slow task on probation, want degraded", records[0].Health())
	}
	records[0].Review(peers)
	for range probationRuns {
		records[0].Succeeded(now, peers, typicalRunTime, typicalRunTime)
	}
	if records[0].Health() != Healthy || peers.slow != 0 || peers.ejected != 0 {
		t.Fatalf("health %d, %d slow, %d ejected; want healthy and none", records[0].Health(), peers.slow, peers.ejected)
	}
}

func TestProbation(t *testing.T) {
	records, peers := newPeers(10)
	for i := range records {
		for range 5 {
			records[i].Succeeded(now, peers, typicalRunTime, typicalRunTime)
		}
	}
	r := &records[0]
	for range 5 {
		r.Failed(now, peers)
	}
	if r.Health() != Ejected {
		t.Fatalf("health %d after 5 failures, want ejected", r.Health())
	}
	r.Review(peers)
	r.Failed(now, peers)
	if r.Health() != Ejected {
		t.Fatal("endpoint is not ejected after a failure on probation")
	}
	r.Review(peers)
	for range probationRuns {
		r.Succeeded(now, peers, typicalRunTime, typicalRunTime)
	}
	if r.Health() != Healthy || peers.ejected != 0 {
		t.Fatalf("health %d, %d ejected; want healthy and none", r.Health(), peers.ejected)
	}
}

func TestEndpointThatFailsBeforeOthersCompleteATaskIsEjected(t *testing.T) {
	records, peers := newPeers(3)
	for range minOutcomes {
		records[0].Failed(now, peers)
	}
	if records[0].Health() != Ejected {
		t.Fatalf("health %d after %d failures, want ejected", records[0].Health(), minOutcomes)
	}
}
