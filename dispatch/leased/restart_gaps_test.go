package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// Guards against a task of an unheard entry that is started on an endpoint whose lease
// is longer already than its job allows: leases are never shortened.
func TestStartForUnheardEntryGetsNoLongerLease(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	sim.runUntil(200 * time.Millisecond)
	other, blocker, job := singleTaskJob("other"), singleTaskJob("blocker"), singleTaskJob("j")
	other.Steps[0].Demand.MilliCores = 8000
	blocker.Steps[0].Demand.MilliCores = 50_000
	job.Steps[0].Demand.MilliCores = 27_000
	sim.submitJob(0, other, longRun)
	sim.submitJob(0, blocker, 960*time.Millisecond)
	sim.caller = 7
	sim.step(0, &leased.CallerContact{Caller: 7, HeardAt: simStart.Add(sim.now)})
	sim.submitJob(0, job, longRun)
	sim.caller = 0
	sim.runUntil(sim.now + 20*time.Millisecond)
	sim.submitJob(1, resubmitted(job), longRun) // the call to core 0 broke, which it does not notice
	sim.runUntil(5 * time.Second)
	sim.wantNoDoubleRuns()
}

// Guards against a new holder's word that there is no such run, although the endpoint
// of the run was no longer announced before it got the cell.
func TestUnannouncedEndpointProvesNoEnd(t *testing.T) {
	for offset := time.Duration(0); offset < 300*time.Millisecond; offset += 20 * time.Millisecond {
		unannounced(t, offset)
	}
}

func spareIn(sim *simulation, cell string) leased.Endpoint {
	spare := sim.specs[1]
	spare.ID, spare.Address, spare.Cell = "spare", "spare", cell
	return spare
}

func unannounced(t *testing.T, offset time.Duration) {
	sim := newSimulation(t, 1, 3)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 2) // e01 and e02 in cell c1
	sim.shareFreeCapacity()
	sim.runUntil(200 * time.Millisecond)
	other := singleTaskJob("other")
	other.Steps[0].Demand.MilliCores = 60_000
	sim.submitJob(0, other, 2*longRun)
	sim.submitJob(0, singleTaskJob("j"), longRun)
	sim.runUntil(300 * time.Millisecond)
	for id, e := range sim.endpoints {
		for _, r := range e.Running() {
			if r.Task.Job == "j" {
				if sim.holderOf[id] != 1 {
					t.Fatalf("runs on %s of core %d", id, sim.holderOf[id])
				}
				sim.holderOf[id] = -1 // its registration expires
			}
		}
	}
	sim.announce()
	sim.addEndpoint(1, spareIn(sim, "c1"))
	sim.announce()
	sim.runUntil(1000*time.Millisecond + offset)
	sim.crash(1, 2, 150*time.Millisecond)
	sim.runUntil(4 * time.Second)
	sim.wantNoDoubleRuns()
}

// The same with an earlier holder that lives: the connection to the delegate breaks, and
// the delegate notices it 20 ms after the delegator.
func TestUnannouncedEndpointOfLiveHolderProvesNoEnd(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 2)
	sim.shareFreeCapacity()
	sim.runUntil(200 * time.Millisecond)
	other := singleTaskJob("other")
	other.Steps[0].Demand.MilliCores = 60_000
	sim.submitJob(0, other, 2*longRun)
	sim.submitJob(0, singleTaskJob("j"), longRun)
	sim.runUntil(300 * time.Millisecond)
	for id, e := range sim.endpoints {
		for _, r := range e.Running() {
			if r.Task.Job == "j" {
				sim.holderOf[id] = -1
			}
		}
	}
	for id, h := range sim.holderOf {
		if h == 1 {
			sim.holderOf[id] = 2 // the cell goes to another holder
		}
	}
	sim.announce()
	sim.runUntil(2000 * time.Millisecond)
	task := leased.TaskID{Job: "j"}
	d := sim.delegations[task]
	sim.endDelegation(0, task, leased.EndUnknown, false)
	sim.after(20*time.Millisecond, func() { sim.step(d.to, &leased.Cancel{Ticket: d.ticket}) })
	sim.stopsLost = true
	sim.runUntil(6 * time.Second)
	sim.wantNoDoubleRuns()
}

// Guards against a delegated run that is withdrawn because one heartbeat of its caller's
// entry, of those sent every 440 ms, was lost.
func TestOneLostHeartbeatKeepsDelegatedRuns(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	sim.shareFreeCapacity()
	n := 0
	sim.every(440*time.Millisecond, func() {
		if n++; n != 4 {
			sim.step(0, &leased.CallerContact{Caller: 7, HeardAt: simStart.Add(sim.now)})
		}
	})
	sim.runUntil(500 * time.Millisecond)
	other := singleTaskJob("other")
	other.Steps[0].Demand.MilliCores = 60_000
	sim.submitJob(0, other, 2*longRun)
	sim.caller = 7
	sim.submitJob(0, singleTaskJob("j"), 3*time.Second)
	sim.runUntil(8 * time.Second)
	if s := sim.startCounts[leased.TaskID{Job: "j"}]; s != 1 {
		t.Errorf("%d starts, answered at %v, want one start", s, sim.answeredAt["j"])
	}
}

// Guards against a task that is started on an endpoint whose lease lasts longer than its
// job allows: its caller's entry is lost, and its caller submits the job to another entry.
// The lease was extended by a Hold, by a Start, or by an earlier holder, possibly before a
// shorter extension.
func TestNoStartWithinALongerLease(t *testing.T) {
	for name, prepare := range map[string]func(sim *simulation, lostAt time.Duration){
		"Hold": func(sim *simulation, lostAt time.Duration) {
			sim.submitJob(0, sizedJob("small", 1000), longRun)
			sim.at(lostAt, func() { sim.submitJob(0, sizedJob("blocker", 50_000), 700*time.Millisecond) })
		},
		"Start": func(sim *simulation, lostAt time.Duration) {
			sim.submitJob(0, sizedJob("small", 1000), longRun)
			sim.at(lostAt, func() { sim.submitJob(0, sizedJob("blocker", 50_000), 450*time.Millisecond) })
			sim.at(lostAt+440*time.Millisecond, func() { sim.submitJob(0, sizedJob("another", 1000), longRun) })
		},
		"earlier holder": func(sim *simulation, lostAt time.Duration) {
			sim.submitJob(0, sizedJob("blocker", 60_000), longRun)
			sim.submitJob(1, singleTaskJob("k"), lostAt+680*time.Millisecond-sim.now)
			sim.at(lostAt+700*time.Millisecond, func() { sim.holderOf["e01"] = 0; sim.announce() })
		},
		"earlier holder, then a shorter one": func(sim *simulation, lostAt time.Duration) {
			sim.submitJob(0, sizedJob("blocker", 60_000), longRun)
			sim.submitJob(1, sizedJob("k", 1000), longRun)
			sim.at(lostAt-200*time.Millisecond, func() { sim.submitFrom(0, remoteCaller+1, resubmitted(sizedJob("k", 1000))) })
			sim.at(lostAt+500*time.Millisecond, func() { sim.crash(1, 0, 150*time.Millisecond) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			for offset := time.Duration(0); offset < 300*time.Millisecond; offset += 20 * time.Millisecond {
				sim := newSimulation(t, 1, 3)
				for core := range sim.cores {
					sim.addEndpoints(core, 1)
				}
				sim.runUntil(200 * time.Millisecond)
				sim.stopsLost = true
				lostAt := 500*time.Millisecond + offset
				prepare(sim, lostAt)
				sim.at(lostAt, func() { sim.submitFrom(0, remoteCaller, singleTaskJob("j")) })
				sim.at(lostAt+callerPause, func() { sim.submitJob(2, singleTaskJob("j"), longRun) })
				sim.runUntil(lostAt + 4*time.Second)
				sim.wantNoDoubleRuns()
			}
		})
	}
}

// sizedJob returns a job of one task.
func sizedJob(id leased.JobID, milliCores int) leased.Job {
	job := singleTaskJob(id)
	job.Steps[0].Demand.MilliCores = milliCores
	return job
}
