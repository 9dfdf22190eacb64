package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// cellEndpoint returns an endpoint of a cell.
func cellEndpoint(id leased.EndpointID, cell string) leased.Endpoint {
	return leased.Endpoint{
		ID: id, Address: string(id), Service: "s", FailureDomain: "a", Cell: cell,
		Capacity: leased.Demand{MilliCores: 64_000, MemoryMiB: 128_000},
	}
}

// Guards against a holder's word that no run of a task is active in its cell, which counts
// for an endpoint that this holder does not know: the lists of endpoints of two entries
// differ, and a third entry has taken the endpoint over.
func TestWordOnACellProvesNoEndOnAnUnknownEndpoint(t *testing.T) {
	const asked, taker = 1, 2
	sim := newSimulation(t, 1, 3)
	sim.reclaimFenced = false
	sim.addEndpoint(0, cellEndpoint("e00", "c"))
	sim.addEndpoint(asked, cellEndpoint("e01", "c"))
	sim.announce()
	sim.runUntil(900 * time.Millisecond)
	sim.submit(0, "j", 1, 27_000, 3*time.Second, 20*time.Second)
	sim.runUntil(1200 * time.Millisecond)
	sim.addEndpoint(0, cellEndpoint("e02", "other")) // capacity for a second run
	sim.holderOf["e00"] = taker
	sim.announce()
	sim.every(leased.TickInterval, func() {
		sim.step(0, &leased.AnnounceFreeCapacity{Announced: []leased.FreeCapacity{{Holder: asked + 1, Cell: "c"}}})
	})
	sim.runUntil(9 * time.Second)
	sim.wantNoDoubleRuns()
	if a := sim.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed", a)
	}
}

// Guards against a rejection, which says that no task of the job has run, while a run is
// active that this holder is stopping: another entry has cancelled the job, and its caller
// has sent it to this entry.
func TestJobWithAnEarlierRunIsNotRejected(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(200 * time.Millisecond)
	ticket := sim.submitJob(0, singleTaskJob("j"), 900*time.Millisecond)
	sim.runUntil(260 * time.Millisecond)
	if n := sim.startCounts[leased.TaskID{Job: "j"}]; n != 1 {
		t.Fatalf("the task was started %d times, want once", n)
	}
	sim.step(0, &leased.Cancel{Ticket: ticket})
	again := singleTaskJob("j")
	again.CallerTimeout = 800 * time.Millisecond // too short for another run
	sim.submitJob(0, again, 900*time.Millisecond)
	sim.runUntil(3 * time.Second)
	if a := sim.answers["j"]; a.Verdict == leased.Rejected {
		t.Errorf("answer %+v, want no rejection", a)
	}
	sim.wantNoDoubleRuns()
}
