package leased_test

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

// These tests show calls that are delivered seconds after they were sent, when their
// sender has given them up and has started the task elsewhere. The cancellation follows on
// the same connection and is read after the call. Which calls are late, and since when
// their entries were not heard, is computed in fleet (fleet/latecalls_test.go).

// heldUpCall is a schedule of a delegated task. The delegator is core 0 and the delegate
// is core 1, which hears nothing of the delegator during the cut.
type heldUpCall struct {
	giveUpAfter time.Duration // the delegator gives the call up
	cut         time.Duration // the call is delivered at its end
	// heartbeat is when the delegate gets the first heartbeat after the cut, counted
	// from the delivery of the call. It does not name the call.
	heartbeat time.Duration
}

// play plays the schedule, and returns the answer to the late call.
func (h heldUpCall) play(t *testing.T) leased.End {
	t.Helper()
	const ticket = 1_000_000
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	var late *leased.DelegatedTask
	answer := leased.EndDone
	sim.stepped = func(core int, _ leased.Input, out *leased.Actions) {
		for i := range out.Delegations {
			if late == nil {
				late = &out.Delegations[i].Task
			}
		}
		out.Delegations = nil
		for _, a := range out.DelegatedAnswers {
			if core == 1 && a.Ticket == ticket {
				answer = a.End
			}
		}
	}
	sim.runUntil(200 * time.Millisecond)
	cutAt := time.Second
	sim.hear(1, delegatorID, cutAt-time.Millisecond)
	sim.submitJob(0, sizedJob("other", 60_000), time.Second+cutAt) // no room at the delegator
	sim.runUntil(cutAt)
	sim.step(0, &leased.AnnounceFreeCapacity{Announced: []leased.FreeCapacity{{Holder: 2, Cell: "c1", Free: []int{64_000}}}})
	job := singleTaskJob("j")
	job.CallerTimeout = time.Minute
	sim.submitJob(0, job, h.cut+time.Second)
	if late == nil {
		t.Fatal("the task was not delegated")
	}
	sim.runUntil(cutAt + h.giveUpAfter)
	task := leased.TaskID{Job: "j"}
	sim.step(0, &leased.DelegateReply{Task: task, Run: late.Run, End: leased.EndUnknown})
	deliveredAt := cutAt + h.cut
	sim.at(deliveredAt+h.heartbeat, func() {
		sim.step(1, &leased.CallerContact{Caller: delegatorID, HeardAt: simStart.Add(sim.now)})
	})
	sim.runUntil(deliveredAt)
	if run, active := sim.endpoints["e00"].RunOf(task); !active || run <= late.Run {
		t.Fatalf("run %d, active %t at the delegator, want a later run", run, active)
	}
	sentAt := simStart.Add(cutAt)
	heardAt := sentAt
	if h.heartbeat < 0 {
		heardAt = simStart.Add(deliveredAt + h.heartbeat)
	}
	sim.step(1, &leased.SubmitDelegated{Ticket: ticket, Task: *late, Caller: delegatorID, CallerHeardAt: heardAt, SentAt: sentAt})
	sim.after(40*time.Millisecond, func() { sim.step(1, &leased.Cancel{Ticket: ticket}) })
	sim.runUntil(deliveredAt + 4*time.Second)
	sim.wantNoDoubleRuns()
	return answer
}

// Guards against form B of the double runs of incident 8: a delegate starts a task when a
// cut heals, 2.8 s after the call was sent, and reads 40 ms later that the delegator has
// given it up. The delegator has started the task itself. The first heartbeat after the
// cut may arrive before the call or after it, and may name the call no longer.
func TestHeldUpDelegationStartsNothing(t *testing.T) {
	for name, h := range map[string]heldUpCall{
		"no heartbeat since":            {760 * time.Millisecond, 3100 * time.Millisecond, time.Hour},
		"heartbeat after the call":      {760 * time.Millisecond, 3100 * time.Millisecond, 5 * time.Millisecond},
		"heartbeat before the call":     {760 * time.Millisecond, 3100 * time.Millisecond, -5 * time.Millisecond},
		"cut of 12 s, heartbeat before": {760 * time.Millisecond, 12 * time.Second, -5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if end := h.play(t); end != leased.EndNoCapacity {
				t.Errorf("the late call ended with %v, want %v", end, leased.EndNoCapacity)
			}
		})
	}
}

// Guards against a late search for a run that is answered as if it was known that there is
// none.
func TestHeldUpSearchProvesNothing(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(2 * time.Second)
	task := leased.DelegatedTask{
		ID: leased.TaskID{Job: "j"}, Service: "s", Queue: "q", Run: 1, CallerTimeout: longRun, Cell: "c0", Adopt: true,
		Step: leased.Step{Tasks: 1, Demand: leased.Demand{MilliCores: 1000}, Estimate: longRun},
	}
	now := simStart.Add(sim.now)
	out := sim.cores[0].Step(now, &leased.SubmitDelegated{Ticket: 1, Task: task, Caller: delegatorID, CallerHeardAt: now, SentAt: now.Add(-time.Second)})
	if len(out.DelegatedAnswers) != 1 || out.DelegatedAnswers[0].End != leased.EndUnknown {
		t.Errorf("answers %+v, want one: %v", out.DelegatedAnswers, leased.EndUnknown)
	}
}

// Guards against a job that is submitted by a call which was held up until its entry has
// submitted the job elsewhere: it is started between its delivery and its cancellation,
// because a heartbeat has arrived since that names the call no longer.
func TestHeldUpSubmissionStartsNothing(t *testing.T) {
	for name, sinceHeartbeat := range map[string]time.Duration{"heartbeat before the call": 5 * time.Millisecond, "heartbeat after the call": -5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			const ticket = 1_000_000
			sim := newSimulation(t, 1, 2)
			sim.addEndpoints(0, 1)
			sim.addEndpoints(1, 1)
			var answers []leased.Answer
			sim.stepped = func(core int, _ leased.Input, out *leased.Actions) {
				if core == 0 {
					answers = append(answers, out.Answers...)
				}
			}
			sim.hear(0, remoteCaller, 900*time.Millisecond)
			sentAt, deliveredAt := time.Second, 7*time.Second
			job := singleTaskJob("j")
			sim.runUntil(deliveredAt - 3*time.Second)
			sim.submitJob(1, resubmitted(job), longRun) // starts after 2.25 s
			sim.at(deliveredAt-sinceHeartbeat, func() {
				sim.step(0, &leased.CallerContact{Caller: remoteCaller, HeardAt: simStart.Add(sim.now)})
			})
			sim.runUntil(deliveredAt)
			sim.work["j"] = leasedtest.Work{Demand: job.Steps[0].Demand, Time: longRun}
			heardAt := simStart.Add(sentAt)
			if sinceHeartbeat > 0 {
				heardAt = simStart.Add(deliveredAt - sinceHeartbeat)
			}
			sim.step(0, &leased.Submit{Ticket: ticket, Job: job, Caller: remoteCaller, CallerHeardAt: heardAt, SentAt: simStart.Add(sentAt)})
			sim.after(40*time.Millisecond, func() { sim.step(0, &leased.Cancel{Ticket: ticket}) })
			sim.runUntil(deliveredAt + 4*time.Second)
			sim.wantNoDoubleRuns()
			if len(answers) != 1 || answers[0].Verdict != leased.Moved || answers[0].Ticket != ticket {
				t.Errorf("answers %+v, want one: %v", answers, leased.Moved)
			}
		})
	}
}

// Guards against a late call that hides what is known of the job here: the runs of an
// earlier call may be active when its entry submits the job elsewhere.
func TestRefusedSubmissionTellsOfEarlierRuns(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(200 * time.Millisecond)
	job := singleTaskJob("j")
	sim.submitFrom(0, remoteCaller, job)
	sim.runUntil(2 * time.Second)
	now := simStart.Add(sim.now)
	for id, want := range map[leased.JobID]bool{"j": true, "k": false} {
		out := sim.cores[0].Step(now, &leased.Submit{Ticket: 99, Job: singleTaskJob(id), Caller: remoteCaller, CallerHeardAt: now, SentAt: now.Add(-time.Second)})
		if len(out.Answers) != 1 || out.Answers[0].Verdict != leased.Moved || out.Answers[0].EarlierRuns != want {
			t.Errorf("job %s: answers %+v, want it moved, with earlier runs: %t", id, out.Answers, want)
		}
	}
}

// Guards against a call that is refused although it was on its way for less time than its
// entry may be silent, or waited for its turn in this process.
func TestCallThatIsLittleDelayedIsServed(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.runUntil(200 * time.Millisecond)
	now := simStart.Add(sim.now)
	out := sim.cores[0].Step(now, &leased.Submit{Ticket: 99, Job: singleTaskJob("j"), Caller: remoteCaller, CallerHeardAt: now, SentAt: now.Add(-850 * time.Millisecond)})
	if len(out.Starts) != 1 {
		t.Errorf("%d starts, want one: %+v", len(out.Starts), out.Answers)
	}
}
