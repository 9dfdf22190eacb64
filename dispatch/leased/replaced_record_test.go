package leased_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// In these tests another writer replaces the record of a sound endpoint, which writes
// its own again after rewriteTime. The records are read each pollTime.
const (
	rewriteTime = 1500 * time.Millisecond
	pollTime    = 500 * time.Millisecond
)

// replaceRecord announces changed records of the first endpoint for rewriteTime.
func (sim *simulation) replaceRecord(change func(*leased.Endpoint)) {
	sound := sim.specs[0]
	for at := time.Duration(0); at < rewriteTime; at += pollTime {
		sim.after(at, func() { sim.specs[0] = sound; change(&sim.specs[0]); sim.announce() })
	}
	sim.after(rewriteTime, func() { sim.specs[0] = sound; sim.announce() })
}

// replacedRecords are valid records with another endpoint's content.
func replacedRecords() map[string]func(*leased.Endpoint) {
	return map[string]func(*leased.Endpoint){
		"later start":                         func(e *leased.Endpoint) { e.Born = 1 << 50 },
		"last start":                          func(e *leased.Endpoint) { e.Born = math.MaxInt64 },
		"address of none":                     func(e *leased.Endpoint) { e.Address = "nobody" },
		"address of other":                    func(e *leased.Endpoint) { e.Address = "e01" },
		"later start at the address of none":  func(e *leased.Endpoint) { e.Born, e.Address = 1<<50, "nobody" },
		"later start at the address of other": func(e *leased.Endpoint) { e.Born, e.Address = 1<<50, "e01" },
		"service":                             func(e *leased.Endpoint) { e.Service = "other" },
		"capacity":                            func(e *leased.Endpoint) { e.Capacity = leased.Demand{MilliCores: 1, MemoryMiB: 1} },
	}
}

// Guards against a record of another writer that makes a holder start a task again whose
// run is active, and against an endpoint that is not used again after its own record has
// returned. Requests may be executed without an answer at the same time.
func TestReplacedRecordCausesNoSecondRun(t *testing.T) {
	for name, change := range replacedRecords() {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				sim := newSimulation(t, seed, 1)
				sim.addEndpoints(0, 3)
				sim.specs[0].Born = 1
				sim.announce()
				sim.runUntil(200 * time.Millisecond)
				sim.lossRate = 0.1
				if seed == 0 {
					sim.lossRate = 0
				}
				for i := range 60 {
					sim.at(200*time.Millisecond+time.Duration(i)*50*time.Millisecond, func() {
						sim.submit(0, leased.JobID(fmt.Sprint("j", i)), 4, 8000, 400*time.Millisecond, 20*time.Second)
					})
				}
				sim.at(500*time.Millisecond, func() { sim.replaceRecord(change) })
				sim.runUntil(4 * time.Second)
				sim.lossRate = 0
				sim.runUntil(25 * time.Second)
				sim.wantNoDoubleRuns()
				if n := sim.countVerdicts()[leased.Completed]; n != 60 {
					t.Errorf("%d of 60 jobs are completed: %v", n, sim.countVerdicts())
				}
				if n := len(sim.crashes); n > 0 {
					t.Errorf("%d runs are said to have crashed their endpoint, which has not crashed", n)
				}
				before := sim.endpoints["e00"].StartCount()
				sim.submit(0, "all", 24, 8000, 200*time.Millisecond, 5*time.Second)
				sim.runUntil(27 * time.Second)
				if sim.endpoints["e00"].StartCount() == before {
					t.Error("the endpoint is not used again")
				}
			})
		}
	}
}

// Guards against an endpoint that is released, and runs there that are not renewed, only
// because a record says that it has started again.
func TestAnnouncedStartAloneProvesNoRestart(t *testing.T) {
	for _, born := range []int64{2, 1 << 50, math.MaxInt64} {
		sim := newSimulation(t, 1, 1)
		sim.addEndpoints(0, 1)
		sim.specs[0].Born = 1
		sim.announce()
		sim.runUntil(200 * time.Millisecond)
		sim.submit(0, "a", 4, 8000, 3*time.Second, 10*time.Second)
		sim.runUntil(400 * time.Millisecond)
		token := sim.lastToken
		sim.specs[0].Born = born // and it stays
		for range 20 {
			sim.announce()
			sim.runUntil(sim.now + pollTime)
		}
		if n := sim.endpointEventCounts["endpoint_restarted"]; n != 0 || sim.lastToken != token {
			t.Errorf("start %d: taken for restarted %d times, want never", born, n)
		}
		if a := sim.answers["a"]; a.Verdict != leased.Completed || sim.startCounts[leased.TaskID{Job: "a"}] != 1 {
			t.Errorf("start %d: answer %+v after %d starts, want completed after one", born, a, sim.startCounts[leased.TaskID{Job: "a"}])
		}
	}
}

// Guards against a Start that was executed without an answer and counts as refused,
// because the endpoint at the address of another writer's record refuses its repeat.
func TestRefusalAtAnotherAddressProvesNoEnd(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 3)
	sim.specs[0].Born = 1
	sim.announce()
	sim.runUntil(200 * time.Millisecond)
	var first *leased.Start
	sim.stepped = func(_ int, _ leased.Input, out *leased.Actions) {
		for _, s := range out.Starts {
			if first == nil && s.Endpoint == "e00" {
				first = &s
			}
		}
	}
	sim.unreachable["e00"] = true // the Start is executed, and its answer is lost
	sim.submit(0, "a", 12, 8000, 900*time.Millisecond, 10*time.Second)
	if first == nil {
		t.Fatal("no task was started on e00")
	}
	sim.stepped = nil
	sim.endpoints["e00"].Start(sim.now, first)
	sim.unreachable["e00"] = false
	sim.specs[0].Address = "e01"
	sim.announce()
	sim.runUntil(sim.now + 2*time.Second)
	sim.wantNoDoubleRuns()
}

// Guards against counts of the endpoints of a service that include those of another one.
func TestServiceOfEndpointChanges(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.specs[0].Service = "other"
	sim.announce()
	if s, other := sim.cores[0].PeersOf("s"), sim.cores[0].PeersOf("other"); s != 1 || other != 1 {
		t.Errorf("%d and %d endpoints of the services, want 1 and 1", s, other)
	}
	sim.specs = sim.specs[1:]
	sim.announce()
	if s, other := sim.cores[0].PeersOf("s"), sim.cores[0].PeersOf("other"); s != 1 || other != 0 {
		t.Errorf("%d and %d endpoints of the services, want 1 and 0", s, other)
	}
}
