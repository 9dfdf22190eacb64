package leased_test

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

// submitSteadily submits a job every interval until the given time.
func (sim *simulation) submitSteadily(core int, name string, interval, until time.Duration, tasks int, runTime, callerTimeout time.Duration) {
	n := 0
	for at := sim.now; at < until; at += interval {
		id := leased.JobID(fmt.Sprintf("%s%04d", name, n))
		n++
		sim.at(at, func() { sim.submit(core, id, tasks, 27_000, runTime, callerTimeout) })
	}
}

func (sim *simulation) wantNoDoubleRuns() {
	sim.t.Helper()
	if len(sim.doubleRuns) > 0 {
		sim.t.Errorf("a task had two concurrent runs: %s (%d times)", sim.doubleRuns[0], len(sim.doubleRuns))
	}
}

func TestJobCompletesWithLittleOverhead(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 4)
	sim.runUntil(100 * time.Millisecond)
	sim.submit(0, "j", 8, 27_000, 60*time.Millisecond, time.Second)
	sim.runUntil(time.Second)
	a := sim.answers["j"]
	if a.Verdict != leased.Completed || a.Took > 65*time.Millisecond {
		t.Errorf("answer %+v, want completed within 65 ms", a)
	}
}

func TestJobTooLargeIsRejectedAtOnce(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.submit(0, "j", 1, 65_000, 60*time.Millisecond, time.Second)
	if a, ok := sim.answers["j"]; !ok || a.Verdict != leased.Rejected {
		t.Errorf("answer %+v, want an immediate rejection", a)
	}
}

func TestDroppedEndpointIsRemovedAfterLeaseExpiry(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 3)
	sim.runUntil(100 * time.Millisecond)
	sim.submit(0, "j", 6, 27_000, 3*time.Second, 20*time.Second)
	sim.runUntil(200 * time.Millisecond)
	sim.unreachable["e01"] = true
	sim.holderOf["e01"] = -1
	sim.announce()
	sim.runUntil(15 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed", a)
	}
	sim.wantNoDoubleRuns()
}

func TestTasksOfUnreachableEndpointMoveAfterLeaseExpiry(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 4)
	sim.runUntil(100 * time.Millisecond)
	sim.submit(0, "j", 4, 27_000, 900*time.Millisecond, 10*time.Second)
	sim.runUntil(300 * time.Millisecond)
	sim.unreachable["e00"] = true
	sim.runUntil(8 * time.Second)
	a := sim.answers["j"]
	if a.Verdict != leased.Completed || a.Took > 3500*time.Millisecond {
		t.Errorf("answer %+v, want completed within 3.5 s", a)
	}
	sim.wantNoDoubleRuns()
}

func TestHangingRunIsMoved(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 4)
	sim.endpoints["e00"].Hangs = true
	sim.runUntil(100 * time.Millisecond)
	sim.submit(0, "j", 8, 27_000, 60*time.Millisecond, 5*time.Second)
	sim.runUntil(5 * time.Second)
	a := sim.answers["j"]
	if a.Verdict != leased.Completed || a.Took > 600*time.Millisecond {
		t.Errorf("answer %+v, want completed within 600 ms", a)
	}
	sim.wantNoDoubleRuns()
}

func TestEndpointThatFailsAllRunsIsEjected(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 8)
	sim.endpoints["e03"].Fails = true
	sim.runUntil(100 * time.Millisecond)
	sim.submitSteadily(0, "j", 20*time.Millisecond, 4*time.Second, 2, 60*time.Millisecond, time.Second)
	sim.runUntil(6 * time.Second)
	failed := sim.countVerdicts()[leased.Failed]
	if failed > 3 {
		t.Errorf("%d jobs failed, want at most 3 before the endpoint was ejected", failed)
	}
	if sim.endpointEventCounts["endpoint_ejected"] == 0 {
		t.Error("the endpoint was not ejected")
	}
}

func TestCancelledJobStopsItsRuns(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.submit(0, "j", 4, 27_000, 5*time.Second, 10*time.Second)
	sim.runUntil(200 * time.Millisecond)
	sim.step(0, &leased.Cancel{Ticket: 1})
	sim.runUntil(250 * time.Millisecond)
	for id, e := range sim.endpoints {
		if n := len(e.Running()); n > 0 {
			t.Errorf("%s runs %d tasks of a cancelled job", id, n)
		}
	}
}

func TestUnclaimedRunsAreStopped(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.submit(0, "j", 4, 27_000, 20*time.Second, 30*time.Second)
	sim.runUntil(300 * time.Millisecond)
	sim.crashed[0] = true
	for id := range sim.holderOf {
		sim.holderOf[id] = 1
	}
	sim.announce()
	sim.runUntil(1500 * time.Millisecond)
	for id, e := range sim.endpoints {
		if n := len(e.Running()); n > 0 {
			t.Errorf("%s still runs %d tasks that no job has claimed", id, n)
		}
	}
}

func TestRestartedEndpointIsHeldAgain(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.submit(0, "j", 4, 27_000, 500*time.Millisecond, 10*time.Second)
	sim.runUntil(200 * time.Millisecond)
	sim.endpoints["e00"].Restart(99)
	sim.runUntil(5 * time.Second)
	if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took > 2*time.Second {
		t.Errorf("answer %+v, want completed within 2 s", a)
	}
}

// A caller's connection breaks and the job is resubmitted to the same holder
// while one of its delegated tasks is still being stopped by another holder.
func TestCancelledDelegatedTaskIsNotRestartedWhileStopping(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 2)
	sim.shareFreeCapacity()
	sim.cancelDelay = 200 * time.Millisecond
	sim.runUntil(200 * time.Millisecond)
	sim.submit(0, "j", 5, 27_000, 700*time.Millisecond, 10*time.Second)
	sim.runUntil(400 * time.Millisecond)
	sim.addEndpoints(2, 2) // free capacity on a third holder
	sim.runUntil(450 * time.Millisecond)
	sim.step(0, &leased.Cancel{Ticket: 1})
	job := sim.submissions[1].job
	job.Resubmitted = true
	sim.submitJob(0, job, 700*time.Millisecond)
	sim.runUntil(6 * time.Second)
	sim.wantNoDoubleRuns()
	if a := sim.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed", a)
	}
}

// singleTaskJob returns a job with one task that takes 900 ms.
func singleTaskJob(id leased.JobID) leased.Job {
	return leased.Job{
		ID: id, Service: "s", Queue: "q", MaxAttempts: 2, Stretch: 1.6, Slack: 60 * time.Millisecond, CallerTimeout: 6 * time.Second,
		Steps: []leased.Step{{Tasks: 1, Demand: leased.Demand{MilliCores: 27_000, MemoryMiB: 64}, Estimate: 900 * time.Millisecond}},
	}
}

// The first copy of a start request is delayed, the second one is refused for
// lack of capacity, and then the first one is executed. The refusal must not be
// taken as proof that the run did not start.
func TestRefusedRetryDoesNotProveStartFailed(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.lossRate = 1
	sim.submit(0, "j", 1, 27_000, 4*time.Second, 10*time.Second)
	sim.lossRate = 0
	sim.step(0, &leased.StartReply{Endpoint: "e00", Task: leased.TaskID{Job: "j"}, Run: 1, Result: leased.StartUnanswered})
	sim.step(0, &leased.StartReply{Endpoint: "e00", Task: leased.TaskID{Job: "j"}, Run: 1, Result: leased.StartNoCapacity})
	if n := sim.cores[0].Status().Running; n != 1 {
		t.Errorf("%d runs are known, want the one that may still begin", n)
	}
	sim.runUntil(14 * time.Second)
	sim.wantNoDoubleRuns()
}

// A start request to a crashed endpoint is abandoned. The endpoint restarts and
// receives the request late. The run must have been stopped by then.
func TestAbandonedStartIsStoppedBeforeLateExecution(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.unreachable["e00"], sim.unreachable["e01"] = true, true
	sim.submit(0, "j", 1, 27_000, 60*time.Millisecond, time.Second)
	sim.runUntil(3 * time.Second)
	for id, e := range sim.endpoints {
		e.Restart(5)
		sim.unreachable[id] = false
	}
	sim.runUntil(5 * time.Second)
	for id, e := range sim.endpoints {
		late := leased.Start{Endpoint: id, Task: leased.TaskID{Job: "j"}, Run: 1, Until: sim.now + maxLease, Token: 1 << 40}
		if id != "e00" {
			continue
		}
		if r := e.Start(sim.now, &late); r.Result == leased.StartAccepted {
			t.Errorf("the late start request was executed on %s", id)
		}
	}
}

// Requests may have been cancelled while the process was frozen. It must read
// the cancellations before it starts anything.
func TestNothingIsStartedRightAfterFreeze(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.runUntil(100 * time.Millisecond)
	sim.step(0, &leased.Pause{For: 250 * time.Millisecond})
	sim.submit(0, "j", 2, 27_000, 60*time.Millisecond, 5*time.Second)
	sim.runUntil(340 * time.Millisecond)
	if sim.startedJobs["j"] {
		t.Error("a job was started right after the freeze")
	}
	sim.runUntil(600 * time.Millisecond)
	if a := sim.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed after the freeze", a)
	}
}

// A holder was frozen while another one held its endpoints. It is then asked for
// a run that the other one started, and must not answer from its own outdated
// state.
func TestFrozenHolderPollsBeforeItAnswers(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 2)
	sim.runUntil(2 * time.Second)
	delegated := leased.DelegatedTask{
		ID: leased.TaskID{Job: "j"}, Service: "s", Queue: "q", Run: 2, CallerTimeout: time.Second, Cell: "c0", Adopt: true,
		Step: leased.Step{Tasks: 1, Demand: leased.Demand{MilliCores: 27_000}, Estimate: 60 * time.Millisecond},
	}
	sim.work["j"] = leasedtest.Work{Demand: delegated.Step.Demand, Time: 400 * time.Millisecond}
	sim.lastToken++
	start := leased.Start{Endpoint: "e01", Task: delegated.ID, Run: 1, Until: sim.now + maxLease, Token: sim.lastToken}
	if r := sim.endpoints["e01"].Start(sim.now, &start); r.Result != leased.StartAccepted {
		t.Fatalf("the other holder's start: %v", r.Result)
	}
	out := sim.cores[0].Step(simStart.Add(sim.now), &leased.SubmitDelegated{Ticket: 99, Task: delegated})
	if len(out.DelegatedAnswers) != 0 {
		t.Errorf("answered %v from outdated state, though the run continues", out.DelegatedAnswers[0].End)
	}
	if len(out.Holds) != 2 {
		t.Errorf("%d polls of endpoints, want 2", len(out.Holds))
	}
}

// TestNoTaskRunsTwiceUnderRandomFaults injects network partitions, hangs,
// restarts, requests that are executed late, changes of holder, and jobs that
// are cancelled and resubmitted. It checks that no task ever has two concurrent
// runs.
func TestNoTaskRunsTwiceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 3)
			sim.addEndpoints(0, 5)
			sim.addEndpoints(1, 5)
			sim.lossRate = 0.03
			sim.shareFreeCapacity()
			sim.runUntil(100 * time.Millisecond)
			for core := range 2 {
				sim.submitSteadily(core, fmt.Sprintf("c%d-", core), 60*time.Millisecond, 8*time.Second, 3, 150*time.Millisecond, 2*time.Second)
			}
			sim.scheduleRandomFaults(8 * time.Second)
			sim.runUntil(14 * time.Second)
			sim.wantNoDoubleRuns()
			if done := sim.countVerdicts()[leased.Completed]; done < len(sim.answers)/2 {
				t.Errorf("%d of %d answers were completed, want at least half: %v", done, len(sim.answers), sim.countVerdicts())
			}
		})
	}
}

func (sim *simulation) scheduleRandomFaults(until time.Duration) {
	for at := 500 * time.Millisecond; at < until; at += 400 * time.Millisecond {
		duration := time.Duration(sim.rng.Int64N(int64(2 * time.Second)))
		kind := sim.rng.IntN(6)
		sim.at(at, func() { sim.injectFault(kind, sim.specs[sim.rng.IntN(len(sim.specs))].ID, duration) })
	}
}

func (sim *simulation) injectFault(kind int, id leased.EndpointID, duration time.Duration) {
	e := sim.endpoints[id]
	switch kind {
	case 0:
		sim.unreachable[id] = true
		sim.after(duration, func() { sim.unreachable[id] = false })
	case 1:
		e.Hangs = true
		sim.after(duration, func() { e.Hangs = false })
	case 2:
		e.Restart(int64(sim.now))
	case 3:
		sim.holderOf[id] = sim.rng.IntN(2)
		sim.announce()
	case 4:
		sim.cancelAndResubmitNewest(time.Duration(sim.rng.Int64N(int64(200 * time.Millisecond))))
	case 5:
		sim.returnsAs = returnAs(sim.rng.IntN(2))
		sim.downTime = duration
		sim.crashEndpoint(id)
	}
}

// cancelAndResubmitNewest cancels the newest job without an answer and resubmits
// it to the same core after a delay.
func (sim *simulation) cancelAndResubmitNewest(delay time.Duration) {
	for ticket := sim.lastTicket; ticket > 0; ticket-- {
		s, known := sim.submissions[ticket]
		if _, answered := sim.answers[s.job.ID]; !known || answered {
			continue
		}
		sim.step(s.core, &leased.Cancel{Ticket: ticket})
		s.job.Resubmitted = true
		sim.after(delay, func() { sim.submitJob(s.core, s.job, sim.work[s.job.ID].Time) })
		return
	}
}
