package load_test

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/experiment/load"
)

var services = []catalog.Service{
	{Name: "book", RunTime: 100 * time.Millisecond, Timeout: 10 * time.Second},
	{Name: "look", RunTime: 50 * time.Millisecond, Timeout: 10 * time.Second, Idempotent: true},
	{Name: "none", RunTime: 50 * time.Millisecond, Timeout: 10 * time.Second},
}

func options(seed uint64) load.GeneratorOptions {
	return load.GeneratorOptions{
		Run: "r", Seed: seed, Services: services, Load: 0.5,
		Slots: map[string]int{"book": 100, "look": 100},
	}
}

// drawRequests returns the requests that are due in the first 20 s.
func drawRequests(t *testing.T, seed uint64) []*load.Request {
	t.Helper()
	g, err := load.NewGenerator(options(seed))
	if err != nil {
		t.Fatal(err)
	}
	var all []*load.Request
	for {
		r, err := g.Next()
		if err != nil {
			t.Fatal(err)
		}
		if r.Due >= 20*time.Second {
			return all
		}
		all = append(all, r)
	}
}

func TestSameSeedGivesSameRequests(t *testing.T) {
	a, b, other := drawRequests(t, 7), drawRequests(t, 7), drawRequests(t, 8)
	if !reflect.DeepEqual(a, b) {
		t.Error("the same seed gave different requests")
	}
	if reflect.DeepEqual(a, other) {
		t.Error("different seeds gave the same requests")
	}
}

func TestOfferedWorkMatchesLoad(t *testing.T) {
	const (
		slots     = 100
		offered   = 0.5
		tolerance = 0.1 // of the offered work
	)
	work := make(map[string]float64) // slot-seconds
	for _, r := range drawRequests(t, 7) {
		work[r.Job.Service] += runSeconds(t, r)
	}
	for _, name := range []string{"book", "look"} {
		got := work[name] / (slots * 20)
		if got < offered*(1-tolerance) || got > offered*(1+tolerance) {
			t.Errorf("service %s is offered %.3f of its slots, want %.2f", name, got, offered)
		}
	}
	if work["none"] != 0 {
		t.Error("a service without slots was offered work")
	}
}

func TestRequestsAreOrderedByDueTime(t *testing.T) {
	last := time.Duration(0)
	for _, r := range drawRequests(t, 7) {
		if r.Due < last {
			t.Fatalf("%s is due at %v, after one at %v", r.Name, r.Due, last)
		}
		last = r.Due
	}
}

func TestNewGeneratorWithoutSlots(t *testing.T) {
	opts := options(1)
	opts.Slots = nil
	_, err := load.NewGenerator(opts)
	var none *load.NoServiceError
	if !errors.As(err, &none) {
		t.Errorf("error %v, want *NoServiceError", err)
	}
}
