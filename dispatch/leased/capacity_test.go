package leased_test

import (
	"fmt"
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

// capacityGrace is how long starts within an earlier, larger capacity are
// allowed: until holders must have learned of the change.
const capacityGrace = 4500 * time.Millisecond

// capacityHistory records the capacities of endpoints that do not guard them, and
// the starts that exceed them.
type capacityHistory struct {
	changes map[leased.EndpointID][]capacityChange
	exceeds []string
	starts  int
}

type capacityChange struct {
	at         time.Duration
	milliCores int
}

// check records a start that exceeds every capacity within capacityGrace.
func (h *capacityHistory) check(sim *simulation, id leased.EndpointID, task leased.TaskID) {
	if h == nil {
		return
	}
	h.starts++
	used := sim.work[task.Job].Demand.MilliCores
	for _, r := range sim.endpoints[id].Running() {
		used += r.Demand.MilliCores
	}
	if allowed := h.largest(id, sim.now-capacityGrace); used > allowed {
		h.exceeds = append(h.exceeds, fmt.Sprintf("%v: %v on %s uses %d of %d", sim.now, task, id, used, allowed))
	}
}

// largest returns the largest capacity of an endpoint since a time.
func (h *capacityHistory) largest(id leased.EndpointID, since time.Duration) int {
	most := 0
	list := h.changes[id]
	for i, c := range list {
		inForceUntil := time.Duration(1<<63 - 1)
		if i+1 < len(list) {
			inForceUntil = list[i+1].at
		}
		if inForceUntil >= since {
			most = max(most, c.milliCores)
		}
	}
	return most
}

// varyCapacity changes the capacity of a random endpoint again and again. Holders
// learn of it up to a second later.
func (sim *simulation) varyCapacity(interval time.Duration, until time.Duration) {
	sim.every(interval, func() {
		if sim.now > until {
			return
		}
		spec := &sim.specs[sim.rng.IntN(len(sim.specs))]
		milliCores := 10_000 + sim.rng.IntN(54_001)
		sim.endpoints[spec.ID].Capacity.MilliCores = milliCores
		h := sim.capacities
		h.changes[spec.ID] = append(h.changes[spec.ID], capacityChange{sim.now, milliCores})
		id := spec.ID
		sim.after(time.Duration(sim.rng.IntN(1000))*time.Millisecond, func() { sim.setCapacity(id, sim.endpoints[id].Capacity.MilliCores) })
	})
}

// Endpoints that do not guard their capacity rely on their holder. The capacity
// shrinks and grows while tasks are delegated, calls are lost, callers disconnect
// and a holder is replaced.
func TestStartsStayWithinCapacityThatChanges(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 3)
			sim.lossRate = 0.03
			for core := range sim.cores {
				sim.addEndpoints(core, 4)
			}
			sim.capacities = &capacityHistory{changes: make(map[leased.EndpointID][]capacityChange)}
			for id, e := range sim.endpoints {
				e.Unguarded = true
				sim.capacities.changes[id] = []capacityChange{{0, e.Capacity.MilliCores}}
			}
			sim.shareFreeCapacity()
			sim.runUntil(100 * time.Millisecond)
			const load = 15 * time.Second
			sim.varyCapacity(150*time.Millisecond, load)
			for core, name := range []string{"a", "b", "c"} {
				sim.submitSteadily(core, name, time.Duration(60+sim.rng.IntN(60))*time.Millisecond, load, 1+sim.rng.IntN(4), 200*time.Millisecond, 3*time.Second)
			}
			sim.at(time.Duration(3000+sim.rng.IntN(6000))*time.Millisecond, func() { sim.crash(2, 0, 1200*time.Millisecond) })
			for range 60 {
				sim.at(time.Duration(sim.rng.Int64N(int64(load))), func() { sim.step(0, &leased.Cancel{Ticket: leased.Ticket(sim.rng.IntN(int(sim.lastTicket) + 1))}) })
			}
			sim.runUntil(load + 15*time.Second)
			if len(sim.capacities.exceeds) > 0 {
				t.Errorf("%d of %d starts exceed the capacity, the first: %s", len(sim.capacities.exceeds), sim.capacities.starts, sim.capacities.exceeds[0])
			}
			if sim.capacities.starts < 300 {
				t.Errorf("%d starts, want at least 300", sim.capacities.starts)
			}
			sim.wantNoDoubleRuns()
		})
	}
}
