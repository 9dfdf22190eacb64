package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// setCapacity changes the capacity of an endpoint and announces it.
func (sim *simulation) setCapacity(id leased.EndpointID, milliCores int) {
	capacity := leased.Demand{MilliCores: milliCores, MemoryMiB: 128_000}
	sim.endpoints[id].Capacity = capacity
	for i := range sim.specs {
		if sim.specs[i].ID == id {
			sim.specs[i].Capacity = capacity
		}
	}
	sim.announce()
}

// Guards against a job that is rejected as too large because the endpoints of one
// holder have shrunk, though another holder can run it.
func TestJobLargerThanOneHoldersEndpointsRunsElsewhere(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 2)
	sim.addEndpoints(1, 2)
	sim.shareFreeCapacity()
	sim.runUntil(100 * time.Millisecond)
	sim.setCapacity("e00", 20_000)
	sim.setCapacity("e01", 20_000)
	sim.runUntil(200 * time.Millisecond)
	sim.submit(0, "j", 2, 27_000, 60*time.Millisecond, time.Second)
	sim.runUntil(time.Second)
	if a, ok := sim.answers["j"]; !ok || a.Verdict != leased.Completed || a.Took > 200*time.Millisecond {
		t.Errorf("answered %t: %+v, want completed within 200 ms", ok, a)
	}
}
