package leased_test

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

// steady submits a job each interval until a time.
func (w *world) steady(core int, name string, interval, until time.Duration, tasks int, run, patience time.Duration) {
	n := 0
	for at := w.now; at < until; at += interval {
		id := leased.JobID(fmt.Sprintf("%s%04d", name, n))
		n++
		w.at(at, func() { w.submit(core, id, tasks, 27_000, run, patience) })
	}
}

func (w *world) wantNoDouble() {
	w.t.Helper()
	if len(w.double) > 0 {
		w.t.Errorf("a task ran twice at a time: %s (%d times)", w.double[0], len(w.double))
	}
}

func TestJobCompletesWithinAFewHops(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 4)
	w.run(100 * time.Millisecond)
	w.submit(0, "j", 8, 27_000, 60*time.Millisecond, time.Second)
	w.run(time.Second)
	a := w.answers["j"]
	if a.Verdict != leased.Completed || a.Took > 65*time.Millisecond {
		t.Errorf("answer %+v, want completed within 65 ms", a)
	}
}

func TestJobTooLargeIsRejectedAtOnce(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	w.submit(0, "j", 1, 65_000, 60*time.Millisecond, time.Second)
	if a, ok := w.answers["j"]; !ok || a.Verdict != leased.Rejected {
		t.Errorf("answer %+v, want an immediate rejection", a)
	}
}

func TestDroppedEndpointWhoseLeaseLapsesIsForgotten(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 3)
	w.run(100 * time.Millisecond)
	w.submit(0, "j", 6, 27_000, 3*time.Second, 20*time.Second)
	w.run(200 * time.Millisecond)
	w.cut["e01"] = true
	w.owner["e01"] = -1
	w.announce()
	w.run(15 * time.Second)
	if a := w.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed", a)
	}
	w.wantNoDouble()
}

func TestCutEndpointsTasksRunElsewhereAfterTheirLease(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 4)
	w.run(100 * time.Millisecond)
	w.submit(0, "j", 4, 27_000, 900*time.Millisecond, 10*time.Second)
	w.run(300 * time.Millisecond)
	w.cut["e00"] = true
	w.run(8 * time.Second)
	a := w.answers["j"]
	if a.Verdict != leased.Completed || a.Took > 3500*time.Millisecond {
		t.Errorf("answer %+v, want completed within 3.5 s", a)
	}
	w.wantNoDouble()
}

func TestHangingRunMovesElsewhere(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 4)
	w.endpoints["e00"].Hangs = true
	w.run(100 * time.Millisecond)
	w.submit(0, "j", 8, 27_000, 60*time.Millisecond, 5*time.Second)
	w.run(5 * time.Second)
	a := w.answers["j"]
	if a.Verdict != leased.Completed || a.Took > 600*time.Millisecond {
		t.Errorf("answer %+v, want completed within 600 ms", a)
	}
	w.wantNoDouble()
}

func TestEndpointThatFailsEverythingIsEjected(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 8)
	w.endpoints["e03"].Fails = true
	w.run(100 * time.Millisecond)
	w.steady(0, "j", 20*time.Millisecond, 4*time.Second, 2, 60*time.Millisecond, time.Second)
	w.run(6 * time.Second)
	failed := w.verdicts()[leased.Failed]
	if failed > 3 {
		t.Errorf("%d jobs failed, want at most 3 before the endpoint was ejected", failed)
	}
	if w.notes["endpoint_ejected"] == 0 {
		t.Error("the endpoint was not ejected")
	}
}

func TestCancelledJobStopsWithinAStop(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	w.submit(0, "j", 4, 27_000, 5*time.Second, 10*time.Second)
	w.run(200 * time.Millisecond)
	w.step(0, &leased.Cancel{Ticket: 1})
	w.run(250 * time.Millisecond)
	for id, e := range w.endpoints {
		if n := len(e.Running()); n > 0 {
			t.Errorf("%s runs %d tasks of a cancelled job", id, n)
		}
	}
}

func TestSuccessorAdoptsRunsOfALostHolder(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.addEndpoints(0, 4)
	w.run(100 * time.Millisecond)
	w.submit(0, "j", 8, 27_000, 900*time.Millisecond, 10*time.Second)
	w.run(400 * time.Millisecond)
	w.dead[0] = true
	for id := range w.owner {
		w.owner[id] = 1
	}
	w.announce()
	w.run(420 * time.Millisecond)
	job := w.submitted[1].job
	job.Resubmitted = true
	w.submitAs(1, job, 900*time.Millisecond)
	w.run(5 * time.Second)
	a := w.answers["j"]
	if a.Verdict != leased.Completed || a.Took > 700*time.Millisecond {
		t.Errorf("answer %+v, want completed when the runs that were under way end", a)
	}
	if n := w.starts[leased.TaskID{Job: "j"}]; n != 1 {
		t.Errorf("task 0 was started %d times, want once", n)
	}
	w.wantNoDouble()
}

func TestRunsNobodyClaimsAreStopped(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	w.submit(0, "j", 4, 27_000, 20*time.Second, 30*time.Second)
	w.run(300 * time.Millisecond)
	w.dead[0] = true
	for id := range w.owner {
		w.owner[id] = 1
	}
	w.announce()
	w.run(1500 * time.Millisecond)
	for id, e := range w.endpoints {
		if n := len(e.Running()); n > 0 {
			t.Errorf("%s still runs %d tasks that nobody has claimed", id, n)
		}
	}
}

func TestRestartedEndpointIsHeldAnew(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	w.submit(0, "j", 4, 27_000, 500*time.Millisecond, 10*time.Second)
	w.run(200 * time.Millisecond)
	w.endpoints["e00"].Restart(99)
	w.run(5 * time.Second)
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took > 2*time.Second {
		t.Errorf("answer %+v, want completed within 2 s", a)
	}
}

// A caller's connection breaks and the job comes back to the same holder while
// a lent task of it is still being stopped elsewhere.
func TestWithdrawnLentTaskIsNotStartedAgainAtOnce(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.addEndpoints(0, 1)
	w.addEndpoints(1, 2)
	w.shareRooms()
	w.slowCancel = 200 * time.Millisecond
	w.run(200 * time.Millisecond)
	w.submit(0, "j", 5, 27_000, 700*time.Millisecond, 10*time.Second)
	w.run(400 * time.Millisecond)
	w.addEndpoints(2, 2) // room elsewhere
	w.run(450 * time.Millisecond)
	w.step(0, &leased.Cancel{Ticket: 1})
	job := w.submitted[1].job
	job.Resubmitted = true
	w.submitAs(0, job, 700*time.Millisecond)
	w.run(6 * time.Second)
	w.wantNoDouble()
	if a := w.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed", a)
	}
}

// A withdrawn run whose order to stop is lost goes on under another holder.
// The job comes again: its task must not start until that run has ended.
func TestWithdrawnRunThatAnotherHolderTakesIsNotStartedAgainAtOnce(t *testing.T) {
	for name, resubmitFirst := range map[string]bool{"resubmitted before": true, "resubmitted after": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 2)
			w.addEndpoints(0, 2)
			w.insist = false
			w.run(100 * time.Millisecond)
			ticket := w.submitAs(0, longJob("j"), 900*time.Millisecond)
			w.run(200 * time.Millisecond)
			w.lose = 1
			w.step(0, &leased.Cancel{Ticket: ticket})
			w.lose = 0
			again := longJob("j")
			again.Resubmitted = true
			if resubmitFirst {
				w.submitAs(0, again, 900*time.Millisecond)
			}
			w.run(220 * time.Millisecond)
			w.addEndpoints(0, 1) // room for a second run
			w.owner["e00"], w.owner["e01"] = 1, 1
			w.announce()
			w.run(400 * time.Millisecond)
			if !resubmitFirst {
				w.submitAs(0, again, 900*time.Millisecond)
			}
			w.run(8 * time.Second)
			w.wantNoDouble()
			if a := w.answers["j"]; a.Verdict != leased.Completed {
				t.Errorf("answer %+v, want completed", a)
			}
		})
	}
}

// longJob is a job of one task that takes a good part of a second.
func longJob(id leased.JobID) leased.Job {
	return leased.Job{
		ID: id, Service: "s", Queue: "q", MaxAttempts: 2, Stretch: 1.6, Slack: 60 * time.Millisecond, CallerTimeout: 6 * time.Second,
		Steps: []leased.Step{{Tasks: 1, Demand: leased.Demand{MilliCores: 27_000, MemoryMiB: 64}, Estimate: 900 * time.Millisecond}},
	}
}

// The first copy of a start is held up; the second one is refused for want of
// room; then the first one is carried out.
func TestRefusalOfASecondCopyIsNoProof(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	w.lose = 1
	w.submit(0, "j", 1, 27_000, 4*time.Second, 10*time.Second)
	w.lose = 0
	w.step(0, &leased.StartReply{Endpoint: "e00", Task: leased.TaskID{Job: "j"}, Run: 1, Result: leased.StartUnanswered})
	w.step(0, &leased.StartReply{Endpoint: "e00", Task: leased.TaskID{Job: "j"}, Run: 1, Result: leased.StartNoCapacity})
	if n := w.cores[0].Status().Running; n != 1 {
		t.Errorf("%d runs are known, want the one that may yet begin", n)
	}
	w.run(14 * time.Second)
	w.wantNoDouble()
}

// A holder that dies has lent-out tasks of another one at work. Its successor
// finds those runs: the borrower must get them back or wait for their end.
func TestLentTasksSurviveTheLossOfTheirHolder(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.addEndpoints(0, 1)
	w.addEndpoints(1, 3)
	w.shareRooms()
	w.run(200 * time.Millisecond)
	w.submit(0, "j", 6, 27_000, 1500*time.Millisecond, 10*time.Second)
	w.run(500 * time.Millisecond)
	w.kill(1, 2, 100*time.Millisecond)
	w.run(8 * time.Second)
	w.wantNoDouble()
	if a := w.answers["j"]; a.Verdict != leased.Completed || a.Took > 1600*time.Millisecond {
		t.Errorf("answer %+v, want completed when the runs that were under way end", a)
	}
}

// The successor of a lost holder reads of some endpoints only later. It must
// not say of runs there that they have ended.
func TestSuccessorWithAnOldListOfEndpointsFindsAllRuns(t *testing.T) {
	w := newWorld(t, 1, 3)
	w.addEndpoints(0, 1)
	w.addEndpoints(1, 3)
	w.shareRooms()
	w.run(200 * time.Millisecond)
	w.submit(0, "j", 6, 27_000, 1500*time.Millisecond, 10*time.Second)
	w.run(500 * time.Millisecond)
	w.addEndpoints(0, 2) // room for a second run
	w.dead[1] = true
	for task, l := range w.lents {
		w.after(hop, func() { w.endLend(l.from, task, leased.EndUnknown, false) })
	}
	w.after(50*time.Millisecond, func() { w.owner["e01"] = 2; w.announce() })
	w.after(350*time.Millisecond, func() { w.owner["e02"], w.owner["e03"] = 2, 2; w.announce() })
	w.run(8 * time.Second)
	w.wantNoDouble()
	if a := w.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed", a)
	}
}

// A borrower that has lost a run asks the holder of the cell that it lent to,
// so the run must be there, not in another cell of the same lender.
func TestLentTaskRunsInTheCellThatWasAsked(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.addEndpoints(1, 2)
	w.specs[0].Cell = "x"
	w.announce()
	w.run(100 * time.Millisecond)
	guest := leased.DelegatedTask{
		ID: leased.TaskID{Job: "j"}, Service: "s", Queue: "q", Run: 1, CallerTimeout: time.Second, Cell: "y",
		Step: leased.Step{Tasks: 1, Demand: leased.Demand{MilliCores: 27_000}, Estimate: 60 * time.Millisecond},
	}
	for _, cell := range []string{"y", "x", "c1"} {
		guest.Cell = cell
		guest.ID.Index++
		out := w.cores[1].Step(simStart.Add(w.now), &leased.SubmitDelegated{Ticket: leased.Ticket(guest.ID.Index), Task: guest})
		want := map[string]leased.EndpointID{"x": "e00", "c1": "e01"}[cell]
		if want == "" {
			if len(out.Starts) != 0 || len(out.DelegatedAnswers) != 1 {
				t.Errorf("cell %s: %d starts, want a refusal", cell, len(out.Starts))
			}
			continue
		}
		if len(out.Starts) != 1 || out.Starts[0].Endpoint != want {
			t.Errorf("cell %s: starts %v, want one on %s", cell, out.Starts, want)
		}
	}
}

// A start to an endpoint that has crashed is given up; the endpoint starts
// again and the order reaches it late. It must have been stopped by then.
func TestStartThatWasGivenUpIsStoppedBeforeItIsCarriedOut(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	w.cut["e00"], w.cut["e01"] = true, true
	w.submit(0, "j", 1, 27_000, 60*time.Millisecond, time.Second)
	w.run(3 * time.Second)
	for id, e := range w.endpoints {
		e.Restart(5)
		w.cut[id] = false
	}
	w.run(5 * time.Second)
	for id, e := range w.endpoints {
		late := leased.Start{Endpoint: id, Task: leased.TaskID{Job: "j"}, Run: 1, Until: w.now + maxLease, Token: 1 << 40}
		if id != "e00" {
			continue
		}
		if r := e.Start(w.now, &late); r.Result == leased.StartAccepted {
			t.Errorf("the late order was carried out on %s", id)
		}
	}
}

// A process that stood still finds requests that were withdrawn meanwhile: it
// reads the withdrawals first.
func TestNothingIsStartedRightAfterAFreeze(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.addEndpoints(0, 2)
	w.run(100 * time.Millisecond)
	w.step(0, &leased.Pause{For: 250 * time.Millisecond})
	w.submit(0, "j", 2, 27_000, 60*time.Millisecond, 5*time.Second)
	w.run(340 * time.Millisecond)
	if w.started["j"] {
		t.Error("a job was started right after the freeze")
	}
	w.run(600 * time.Millisecond)
	if a := w.answers["j"]; a.Verdict != leased.Completed {
		t.Errorf("answer %+v, want completed after the pause", a)
	}
}

// A holder that stood still while another one had its endpoints is asked for a
// run of that other one. What it knew before is no answer.
func TestHolderThatStoodStillLooksBeforeItAnswers(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.addEndpoints(0, 2)
	w.run(2 * time.Second)
	guest := leased.DelegatedTask{
		ID: leased.TaskID{Job: "j"}, Service: "s", Queue: "q", Run: 2, CallerTimeout: time.Second, Cell: "c0", Adopt: true,
		Step: leased.Step{Tasks: 1, Demand: leased.Demand{MilliCores: 27_000}, Estimate: 60 * time.Millisecond},
	}
	w.work["j"] = leasedtest.Work{Demand: guest.Step.Demand, Time: 400 * time.Millisecond}
	w.tokens++
	start := leased.Start{Endpoint: "e01", Task: guest.ID, Run: 1, Until: w.now + maxLease, Token: w.tokens}
	if r := w.endpoints["e01"].Start(w.now, &start); r.Result != leased.StartAccepted {
		t.Fatalf("the other holder's start: %v", r.Result)
	}
	out := w.cores[0].Step(simStart.Add(w.now), &leased.SubmitDelegated{Ticket: 99, Task: guest})
	if len(out.DelegatedAnswers) != 0 {
		t.Errorf("answered %v from memory, though the run goes on", out.DelegatedAnswers[0].Result)
	}
	if len(out.Holds) != 2 {
		t.Errorf("%d looks at endpoints, want 2", len(out.Holds))
	}
}

// A holder that stops gives its cell to another one while its queue is long.
// Jobs that have not begun go back to their submitters; tasks of the others
// wait at the new holder, behind none of its own jobs.
func TestQueueOfAHolderThatStopsMovesOn(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.addEndpoints(0, 2)
	w.shareRooms()
	w.run(200 * time.Millisecond)
	w.submit(0, "begun", 8, 27_000, 300*time.Millisecond, 10*time.Second)
	w.submit(0, "fresh", 2, 27_000, 300*time.Millisecond, 10*time.Second)
	w.run(300 * time.Millisecond)
	w.owner["e00"], w.owner["e01"] = 1, 1
	w.announce()
	if a := w.answers["fresh"]; a.Verdict != leased.Moved {
		t.Errorf("a job that has not begun: %+v, want moved", a)
	}
	w.run(320 * time.Millisecond)
	for i := range 8 {
		w.submit(1, leased.JobID(fmt.Sprintf("new%d", i)), 2, 27_000, 300*time.Millisecond, 10*time.Second)
	}
	w.run(10 * time.Second)
	if a := w.answers["begun"]; a.Verdict != leased.Completed || a.Took > 2200*time.Millisecond {
		t.Errorf("a job that has begun: %+v, want completed within 2.2 s", a)
	}
	w.wantNoDouble()
}

// The successor holds other runs on the same endpoints, so it extends leases
// there also for those that nobody claims.
func TestUnclaimedRunsBesideClaimedOnesEndBeforeTheyAreStartedAgain(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 3)
		w.addEndpoints(0, 2)
		w.addEndpoints(1, 4)
		w.shareRooms()
		w.run(200 * time.Millisecond)
		for i := range 4 {
			w.submit(0, leased.JobID(fmt.Sprintf("a%d", i)), 2, 27_000, 2*time.Second, 10*time.Second)
		}
		w.submit(1, "b", 4, 27_000, 2*time.Second, 10*time.Second)
		w.run(time.Duration(300+seed*37) * time.Millisecond)
		w.kill(1, 2, time.Duration(seed*30)*time.Millisecond)
		job := w.submitted[w.tickets].job
		job.Resubmitted = true
		w.after(600*time.Millisecond, func() { w.submitAs(2, job, 2*time.Second) })
		w.run(12 * time.Second)
		w.wantNoDouble()
	}
}

// TestNoTaskRunsTwiceUnderRandomFaults plays cuts, hangs, restarts, orders that
// are carried out late, changes of holder, and jobs that are withdrawn and come
// again, and checks that no task ever has two runs at work.
func TestNoTaskRunsTwiceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed, 3)
			w.addEndpoints(0, 5)
			w.addEndpoints(1, 5)
			w.lose = 0.03
			w.shareRooms()
			w.run(100 * time.Millisecond)
			for core := range 2 {
				w.steady(core, fmt.Sprintf("c%d-", core), 60*time.Millisecond, 8*time.Second, 3, 150*time.Millisecond, 2*time.Second)
			}
			w.randomFaults(8 * time.Second)
			w.run(14 * time.Second)
			w.wantNoDouble()
			if done := w.verdicts()[leased.Completed]; done < len(w.answers)/2 {
				t.Errorf("%d of %d answers were completed, want half: %v", done, len(w.answers), w.verdicts())
			}
		})
	}
}

func (w *world) randomFaults(until time.Duration) {
	for at := 500 * time.Millisecond; at < until; at += 400 * time.Millisecond {
		id := w.specs[w.rng.IntN(len(w.specs))].ID
		length := time.Duration(w.rng.Int64N(int64(2 * time.Second)))
		kind := w.rng.IntN(5)
		w.at(at, func() { w.fault(kind, id, length) })
	}
}

func (w *world) fault(kind int, id leased.EndpointID, length time.Duration) {
	e := w.endpoints[id]
	switch kind {
	case 0:
		w.cut[id] = true
		w.after(length, func() { w.cut[id] = false })
	case 1:
		e.Hangs = true
		w.after(length, func() { e.Hangs = false })
	case 2:
		e.Restart(int64(w.now))
	case 3:
		w.owner[id] = w.rng.IntN(2)
		w.announce()
	case 4:
		w.withdrawOne(time.Duration(w.rng.Int64N(int64(200 * time.Millisecond))))
	}
}

// withdrawOne withdraws the newest job without an answer; it comes again to the
// same core after some time.
func (w *world) withdrawOne(pause time.Duration) {
	for ticket := w.tickets; ticket > 0; ticket-- {
		s, known := w.submitted[ticket]
		if _, answered := w.answers[s.job.ID]; !known || answered {
			continue
		}
		w.step(s.core, &leased.Cancel{Ticket: ticket})
		s.job.Resubmitted = true
		w.after(pause, func() { w.submitAs(s.core, s.job, w.work[s.job.ID].Time) })
		return
	}
}
