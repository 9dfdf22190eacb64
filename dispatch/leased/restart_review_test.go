package leased_test

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/contact"
)

// These tests show schedules in which a run outlasts the time after which the caller of
// its job has sent that to another entry. In each of them the entry that the caller waits
// at is lost, at lostAt, without a message: its connections are silent.

// heartbeatInterval is the time between heartbeats in these tests.
const heartbeatInterval = 110 * time.Millisecond

// hear makes a core hear an entry at regular intervals, the last time at until.
func (sim *simulation) hear(core int, caller uint64, until time.Duration) {
	for at := until; at > sim.now; at -= heartbeatInterval {
		sim.at(at, func() {
			sim.step(core, &leased.CallerContact{Caller: caller, HeardAt: simStart.Add(sim.now)})
		})
	}
}

// submitFrom submits a job of another entry to a core.
func (sim *simulation) submitFrom(core int, caller uint64, job leased.Job) leased.Ticket {
	sim.caller = caller
	defer func() { sim.caller = 0 }()
	return sim.submitJob(core, job, longRun)
}

const delegatorID = 100 // of core 0, as its delegate knows it

// Guards against a delegate that renews a run for as long as it hears the delegator,
// although the delegator has not heard the caller's entry for up to 0.9 s: if the two
// lose contact then, the bound of 1.2 s counts a second time. No Stop is lost.
func TestDelegateOutlivesLostEntry(t *testing.T) {
	for _, cutAfter := range []time.Duration{0, 400 * time.Millisecond, 850 * time.Millisecond} {
		t.Run(cutAfter.String(), func(t *testing.T) {
			sim := newSimulation(t, 1, 3)
			sim.addEndpoints(1, 1)
			sim.addEndpoints(2, 1)
			lostAt := 1200 * time.Millisecond
			cutAt := lostAt + cutAfter // nothing passes between the delegator and its delegate any more
			const ticket = 1_000_000
			sim.stepped = func(core int, _ leased.Input, out *leased.Actions) {
				if core != 0 {
					return
				}
				for _, d := range out.Delegations {
					if sim.now < cutAt {
						task := d.Task
						sim.after(networkDelay, func() {
							sim.step(1, &leased.SubmitDelegated{Ticket: ticket, Task: task, Caller: delegatorID})
						})
					}
				}
				for range out.DelegateCancels {
					if sim.now < cutAt {
						sim.after(networkDelay, func() { sim.step(1, &leased.Cancel{Ticket: ticket}) })
					}
				}
				out.Delegations, out.DelegateCancels = nil, nil
			}
			sim.runUntil(200 * time.Millisecond)
			sim.hear(0, 7, lostAt)
			sim.hear(1, delegatorID, cutAt)
			sim.hear(1, 7, lostAt)
			sim.at(cutAt+leased.CallerSilence(callerPause, maxLease), func() { sim.step(1, &leased.Cancel{Ticket: ticket}) })
			sim.after(0, func() {
				sim.step(0, &leased.AnnounceFreeCapacity{Announced: []leased.FreeCapacity{{Holder: 2, Cell: "c1", Free: []int{64_000}}}})
			})
			job := singleTaskJob("j")
			own := sim.submitFrom(0, 7, job)
			sim.at(lostAt+leased.CallerSilence(callerPause, maxLease), func() { sim.step(0, &leased.Cancel{Ticket: own}) })
			sim.runUntil(lostAt)
			if _, active := sim.endpoints["e00"].RunOf(leased.TaskID{Job: "j"}); !active {
				t.Fatal("the task was not started by the delegate")
			}
			sim.runUntil(lostAt + callerPause)
			sim.submitJob(2, job, longRun)
			sim.runUntil(lostAt + 4*time.Second)
			sim.wantNoDoubleRuns()
		})
	}
}

// Guards against a contact that counts from the time at which a heartbeat was read, not
// from the time at which it was sent: the holder stood still for less time than counts as
// a freeze. No Stop is lost. The contacts are those that fleet computes from the times on
// the boot clocks, TestQueuedHeartbeatIsContactOfItsSending.
func TestHeartbeatThatWaitedToBeReadIsOldContact(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	sim.runUntil(200 * time.Millisecond)
	lostAt := time.Second
	var delays contact.Delays
	hear := func(sentAt time.Duration) {
		const clockLead = 7 * time.Hour // of the holder's clock
		delay := delays.Delay(7, clockLead+sim.now, sentAt)
		sim.step(0, &leased.CallerContact{Caller: 7, HeardAt: simStart.Add(sim.now - delay)})
	}
	for at := lostAt - heartbeatInterval; at > sim.now; at -= heartbeatInterval {
		sim.at(at, func() { hear(at) })
	}
	job := singleTaskJob("j")
	ticket := sim.submitFrom(0, 7, job)
	sim.runUntil(lostAt - 10*time.Millisecond)
	stalled := 500 * time.Millisecond // SilenceTimeout is 550 ms at the usual interval
	sim.pausedUntil[0] = sim.now + stalled
	readAt := sim.pausedUntil[0]
	sim.at(readAt, func() { hear(lostAt) })
	sim.at(readAt+leased.CallerSilence(callerPause, maxLease), func() { sim.step(0, &leased.Cancel{Ticket: ticket}) })
	sim.runUntil(lostAt + callerPause)
	sim.submitJob(1, job, longRun)
	sim.runUntil(lostAt + 4*time.Second)
	sim.wantNoDoubleRuns()
}

// Guards against a call that counts as contact with its entry although a heartbeat is
// known that is older: the call was held up on its way, and its entry is lost since. Its
// Stops are lost.
func TestHeldUpCallIsNoNewerContactThanHeartbeats(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	sim.runUntil(200 * time.Millisecond)
	lostAt := time.Second
	sim.hear(0, 7, lostAt)
	sim.runUntil(lostAt + 850*time.Millisecond)
	sim.stopsLost = true
	job := singleTaskJob("j")
	ticket := sim.submitFrom(0, 7, job)
	sim.at(lostAt+leased.CallerSilence(callerPause, maxLease), func() { sim.step(0, &leased.Cancel{Ticket: ticket}) })
	sim.runUntil(lostAt + callerPause)
	sim.submitJob(1, job, longRun)
	sim.runUntil(lostAt + 4*time.Second)
	sim.wantNoDoubleRuns()
}

// Guards against a cancellation that gives a run a whole lease from the time at which the
// holder learned of it: the caller's connection broke earlier, and its entry's first
// message about it was lost. The Stops are lost, too.
func TestLateCancellationEndsBeforeItsCallerReturns(t *testing.T) {
	for _, late := range []time.Duration{200 * time.Millisecond, 280 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			sim := newSimulation(t, 1, 2)
			sim.addEndpoints(0, 1)
			sim.addEndpoints(1, 1)
			sim.runUntil(200 * time.Millisecond)
			sim.submitJob(0, singleTaskJob("k"), longRun)
			brokenAt := time.Second
			sim.hear(0, 7, brokenAt)
			job := singleTaskJob("j")
			ticket := sim.submitFrom(0, 7, job)
			sim.runUntil(brokenAt + late)
			sim.stopsLost = true
			sim.step(0, &leased.Cancel{Ticket: ticket}) // named by the first heartbeat that arrives since
			sim.step(0, &leased.CallerContact{Caller: 7, HeardAt: simStart.Add(sim.now)})
			sim.runUntil(brokenAt + callerPause)
			sim.submitJob(1, job, longRun)
			sim.runUntil(brokenAt + 4*time.Second)
			sim.wantNoDoubleRuns()
		})
	}
}

// Guards against a repeated Start within the pause after a freeze, in which cancellations
// that arrived during the freeze are read first: only new starts wait. The endpoint was
// cut off meanwhile, so that its next holder has not fenced this one off yet.
func TestStartIsNotRepeatedRightAfterAFreeze(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	sim.runUntil(200 * time.Millisecond)
	frozenAt, resumedAt := sim.now, sim.now+2*time.Second
	sim.at(resumedAt, func() {
		sim.unreachable["e00"] = false
		sim.step(0, &leased.Pause{For: 250 * time.Millisecond})
		sim.step(0, &leased.SetEndpoints{})
	})
	sim.unreachable["e00"] = true
	job := singleTaskJob("j")
	ticket := sim.submitJob(0, job, longRun) // its Start is lost
	sim.pausedUntil[0] = resumedAt
	sim.at(frozenAt+600*time.Millisecond, func() { sim.holderOf["e00"] = 1; sim.announce() })
	sim.at(frozenAt+100*time.Millisecond+callerPause, func() { sim.submitJob(1, job, longRun) })
	sim.at(resumedAt+5*time.Millisecond, func() { sim.step(0, &leased.Cancel{Ticket: ticket}) })
	sim.runUntil(resumedAt + 3*time.Second)
	sim.wantNoDoubleRuns()
}

// Guards against a wait of the tasks of a stored job that leaves out how long its earlier
// owner goes on without knowing that it was replaced (1.1 s, and 0.1 s until it checks).
// The earlier owner is lost 1.1 s after the takeover, and the delegate's Stops are lost.
func TestTasksOfStoredJobWaitForAnUnawareOwner(t *testing.T) {
	sim := newSimulation(t, 1, 3)
	sim.addEndpoints(1, 1)
	sim.addEndpoints(2, 1)
	takenAt := 1200 * time.Millisecond
	lostAt := takenAt + 1100*time.Millisecond
	const ticket = 1_000_000
	sim.stepped = func(core int, _ leased.Input, out *leased.Actions) {
		if core != 0 {
			return
		}
		for _, d := range out.Delegations {
			task := d.Task
			sim.after(networkDelay, func() { sim.step(1, &leased.SubmitDelegated{Ticket: ticket, Task: task, Caller: delegatorID}) })
		}
		for range out.DelegateCancels {
			sim.after(networkDelay, func() { sim.step(1, &leased.Cancel{Ticket: ticket}) })
		}
		out.Delegations, out.DelegateCancels = nil, nil
	}
	sim.runUntil(200 * time.Millisecond)
	sim.hear(0, 7, lostAt)
	sim.hear(1, delegatorID, lostAt+5*time.Second)
	sim.after(0, func() {
		sim.step(0, &leased.AnnounceFreeCapacity{Announced: []leased.FreeCapacity{{Holder: 2, Cell: "c1", Free: []int{64_000}}}})
	})
	job := singleTaskJob("j")
	job.Stored = true
	sim.submitFrom(0, 7, job)
	sim.runUntil(takenAt + 50*time.Millisecond)
	if _, active := sim.endpoints["e00"].RunOf(leased.TaskID{Job: "j"}); !active {
		t.Fatal("the task was not started by the delegate")
	}
	sim.stopsLost = true
	sim.submitJob(2, resubmitted(job), longRun)
	sim.runUntil(takenAt + 6*time.Second)
	sim.wantNoDoubleRuns()
}

// Guards against a task that waits forever for the end of its run: its endpoint is no
// longer announced to this holder, and another incarnation answers. Such an endpoint is
// neither held nor polled again, and its runs are not given up.
func TestRunOfDroppedEndpointThatRestartsEnds(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	first := c.submit("j")
	c.answerStart(&first, leased.StartAccepted)
	c.pass(leased.TickInterval)
	c.endpoints[0].ID, c.endpoints[0].Cell = "e1", "d"
	c.step(&leased.SetEndpoints{Endpoints: c.endpoints}) // without e0
	c.answerHold("e1", leased.HoldReply{})
	c.step(&leased.HoldReply{Endpoint: "e0", Sequence: c.holds["e0"].Sequence, Clock: time.Second, IncarnationStart: 2})
	for range 400 { // 8 s
		c.pass(leased.TickInterval)
		c.answerHold("e1", leased.HoldReply{})
	}
	c.wantRuns(first.Task, 2)
}

// lostEntryLayouts are sites whose endpoints run other jobs of callers at the holder
// itself, which are renewed without limit.
var lostEntryLayouts = []struct {
	restartLayout
	background map[int]int // millicores of another job, by holder
}{
	{restartLayout{name: "local", cells: [][]int{{0, 0}, {0}}, tasks: 1}, map[int]int{0: 8000}},
	{restartLayout{name: "delegated", cells: [][]int{{0}, {0}, {0}}, tasks: 1, slowClocks: true}, map[int]int{0: 60_000, 1: 8000}},
	{restartLayout{name: "two cells", cells: [][]int{{0, 0}, {0}, {0}}, holders: []int{0, 0, 1}, tasks: 1}, map[int]int{0: 8000}},
}

// submitHere submits a job of a caller that waits at the holder itself.
func (c *restartCall) submitHere(h int) {
	w := c.world
	c.holder = h
	c.ticket = w.newTicket(&restartTicket{holder: h, call: c, arrivesAt: w.now})
	w.step(h, &leased.Submit{Ticket: c.ticket, Job: c.job})
}

// loseEntry lets the entry of the job under test be lost without a message. Its holder
// cancels the call after CallerSilence, and its caller goes to another holder's entry.
func (w *restartWorld) loseEntry(to int) bool {
	c := w.calls[0]
	if c.ticket == 0 || c.answered {
		return false
	}
	w.tracef("the entry is lost, its caller goes to h%d", to)
	w.hear(entryID, c.holder)
	for h := range w.holders {
		w.silentUntil[contactPath{entryID, h}] = restartEnd
	}
	w.cancel(c.ticket, leased.CallerSilence(callerPause, maxLease))
	c.ticket, c.lost, c.job.Resubmitted = 0, nil, false
	w.after(callerPause, func() {
		if !w.responds(w.holders[to]) || w.holders[to].core.HoldsNoCell() {
			to = w.nextHolder(to, 0)
		}
		c.submitHere(to)
	})
	return true
}

// runWithLostEntry runs a schedule in which the entry is lost as well.
func runWithLostEntry(layout int, s script, lostAfter time.Duration, to int, log func(string, ...any)) restartResult {
	l := &lostEntryLayouts[layout]
	w := newRestartWorld(&l.restartLayout, s)
	w.log = log
	w.build()
	for h := range l.cells {
		if milliCores := l.background[h]; milliCores > 0 {
			c := &restartCall{world: w, job: restartJob(leased.JobID(fmt.Sprintf("other%d", h)), 1, milliCores, 2*restartEnd)}
			w.calls = append(w.calls, c)
			w.at(30*time.Millisecond, func() { c.submitHere(h) })
		}
	}
	w.at(restartSubmitAt+lostAfter, func() { w.loseEntry(to) })
	for len(w.events) > 0 && w.violation == "" && w.now < restartEnd {
		e := w.events.pop()
		w.now = e.at
		e.do()
	}
	return restartResult{schedule: w.script.choices, described: w.script.described, kinds: w.script.kinds, branches: w.script.branches, double: w.violation}
}

// Guards against two runs of a task when the entry of its caller is lost without a
// message, and one more thing fails.
func TestLostEntryAndOneFailure(t *testing.T) {
	collectRarely(t)
	for i := range lostEntryLayouts {
		l := &lostEntryLayouts[i]
		t.Run(l.name, func(t *testing.T) {
			schedules, failed, kinds := 0, 0, make(map[string]bool)
			for _, lostAfter := range []time.Duration{40, 340, 710, 1110} {
				for to := range l.holderCount() {
					run := func(s schedule) restartResult {
						schedules++
						r := runWithLostEntry(i, script{choices: s, record: true, visited: func(choicePoint) {}}, lostAfter*time.Millisecond, to, nil)
						if r.double != "" {
							failed++
							if key := fmt.Sprint(r.kinds, r.described); !kinds[key] && len(kinds) < 12 {
								kinds[key] = true
								t.Errorf("entry lost %d ms after the submission, caller goes to h%d, %v %v: %s", lostAfter, to, r.schedule, r.described, r.double)
							}
						}
						return r
					}
					first := run(nil)
					for _, s := range first.extensions() {
						run(s)
					}
				}
			}
			t.Logf("%d schedules, %d with two runs", schedules, failed)
		})
	}
}
