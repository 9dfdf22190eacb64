package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// resetSchedule is a reset of connections during a run of a task. Its caller's entry
// submits the job again, backAfter later, to core 0, which had the job before.
type resetSchedule struct {
	// prepare plays the time up to the reset. It returns what happens when the other side
	// of a connection notices it, or when a Stop arrives.
	prepare    func(t *testing.T, sim *simulation, job leased.Job) (noticed func())
	onlyHolder bool // the caller's entry knows that no other holder had the job
}

// runsAtDelegate lets core 1 run the task for core 0, which notices the reset at once and
// the delegate later. The delegate announces nothing, so that it cannot be asked.
func runsAtDelegate(t *testing.T, sim *simulation, job leased.Job) func() {
	sim.shareFreeCapacity()
	sim.runUntil(sim.now + 50*time.Millisecond)
	sim.submitJob(0, sizedJob("other", 60_000), 700*time.Millisecond) // no room at the holder
	sim.submitJob(0, sizedJob("another", 60_000), 700*time.Millisecond)
	ticket := sim.submitJob(0, job, 2*time.Second)
	sim.runUntil(300 * time.Millisecond)
	task := leased.TaskID{Job: job.ID}
	delegated, ok := sim.delegations[task]
	if !ok {
		t.Fatal("the task was not delegated")
	}
	sim.isolated[1] = true
	sim.runUntil(time.Second)
	sim.endDelegation(0, task, leased.EndUnknown, false)
	sim.step(0, &leased.Cancel{Ticket: ticket})
	return func() { sim.step(1, &leased.Cancel{Ticket: delegated.ticket}) }
}

// runsAtHolder lets core 0 run the task, whose Stops are lost.
func runsAtHolder(_ *testing.T, sim *simulation, job leased.Job) func() {
	ticket := sim.submitJob(0, job, 2*time.Second)
	sim.runUntil(time.Second)
	sim.stopsLost = true
	sim.step(0, &leased.Cancel{Ticket: ticket})
	return func() { sim.stopsLost = false }
}

// runsAtNextHolder lets core 1 run the task after core 0 has cancelled it.
func runsAtNextHolder(_ *testing.T, sim *simulation, job leased.Job) func() {
	ticket := sim.submitJob(0, job, 2*time.Second)
	sim.runUntil(300 * time.Millisecond)
	sim.step(0, &leased.Cancel{Ticket: ticket})
	second := sim.submitJob(1, resubmitted(job), 2*time.Second)
	sim.runUntil(3 * time.Second) // core 1 has waited for 2.25 s at most
	return func() { sim.step(1, &leased.Cancel{Ticket: second}) }
}

// Guards against form A of the double runs of incident 8: after a reset, a job comes back
// to a holder that has cancelled it, which takes that for the end of all its runs and
// starts the task as run 17, while its earlier run is active or is being stopped.
func TestResetStartsNoTaskBesideItsEarlierRun(t *testing.T) {
	for name, s := range map[string]resetSchedule{
		"run of a delegate, the only holder":     {runsAtDelegate, true},
		"run of a delegate, one holder of two":   {runsAtDelegate, false},
		"run of the holder, the only one":        {runsAtHolder, true},
		"run of the holder, one of two":          {runsAtHolder, false},
		"run of another holder that had the job": {runsAtNextHolder, false},
	} {
		t.Run(name, func(t *testing.T) {
			for backAfter := 20 * time.Millisecond; backAfter <= 150*time.Millisecond; backAfter += 10 * time.Millisecond {
				sim := newSimulation(t, 1, 2)
				sim.addEndpoints(0, 2)
				sim.addEndpoints(1, 2)
				sim.runUntil(200 * time.Millisecond)
				job := singleTaskJob("j")
				noticed := s.prepare(t, sim, job)
				if n := activeRuns(sim, "j"); n != 1 {
					t.Fatalf("%d runs are active at the reset, want one", n)
				}
				sim.after(backAfter+40*time.Millisecond, noticed)
				sim.runUntil(sim.now + backAfter)
				again := resubmitted(job)
				again.OnlyHolder = s.onlyHolder
				sim.submitJob(0, again, 900*time.Millisecond)
				sim.runUntil(sim.now + 6*time.Second)
				sim.wantNoDoubleRuns()
				if a := sim.answers["j"]; a.Verdict != leased.Completed {
					t.Errorf("back after %v: answer %+v, want completed", backAfter, a)
				}
			}
		})
	}
}

// activeRuns returns the number of active runs of a job.
func activeRuns(sim *simulation, id leased.JobID) (n int) {
	for _, e := range sim.endpoints {
		for _, r := range e.Running() {
			if r.Task.Job == id {
				n++
			}
		}
	}
	return n
}
