package leased_test

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/dispatch/stored"
)

// cutCase is a cut between the holder of a stored job and the delegate that runs its task,
// which begins shortly before the run ends.
type cutCase struct {
	name    string
	length  time.Duration
	noticed bool // entries know that one of them cannot be reached
	// ownerMoves lets an entry on the delegate's side take the shard over during the cut.
	ownerMoves bool
	fails      bool // the run fails, and the task may fail once only
	once       bool // the cut is short enough that the task need not start again
}

// ackWatch records how the ends of a task's runs are acknowledged.
type ackWatch struct {
	starts    []time.Duration
	ended     map[endOfRun]time.Duration
	open      int // ends that are not acknowledged
	violation string
	// underLease counts ends that are acknowledged before the lease has expired.
	underLease int
}

// watchAcknowledgements checks that no run of a task was started after an end that is
// acknowledged although the lease of its endpoint has not expired since.
func watchAcknowledgements(sim *simulation, task leased.TaskID) *ackWatch {
	w := &ackWatch{ended: make(map[endOfRun]time.Duration)}
	for _, id := range sim.endpointIDs {
		e := sim.endpoints[id]
		work := e.Work
		e.Work = func(started leased.TaskID) leasedtest.Work {
			if started == task {
				w.starts = append(w.starts, sim.now)
			}
			return work(started)
		}
		e.OnEnded = func(end leased.EndedRun) {
			if end.Task == task {
				w.ended[endOfRun{id, end.Number}] = sim.now
				w.open++
			}
		}
		e.OnAcknowledged = func(end leased.EndedRun, lapsed bool) {
			if end.Task != task {
				return
			}
			w.open--
			if !lapsed {
				w.underLease++
			}
			if lapsed || end.End != leased.EndDone && end.End != leased.EndFailed {
				return
			}
			for _, at := range w.starts {
				if at > w.ended[endOfRun{id, end.Number}] {
					w.violation = "the task was started again after an end that is acknowledged under the same lease"
				}
			}
		}
	}
	return w
}

// Guards against a stored job's task that runs again after an end that is acknowledged: its
// delegate was cut off when the run ended, and reports the end after the holder has started
// the task anew, however long the cut lasts.
func TestEndBehindCutIsNotAcknowledgedAfterRestart(t *testing.T) {
	for _, c := range []cutCase{
		{name: "unnoticed", length: 5500 * time.Millisecond},
		{name: "short", length: 3 * time.Second},
		{name: "failed run", length: 5500 * time.Millisecond, fails: true},
		{name: "owner moves", length: 5500 * time.Millisecond, ownerMoves: true},
		{name: "noticed", length: 5500 * time.Millisecond, noticed: true, once: true},
		{name: "longer than the wait", length: 12 * time.Second, noticed: true},
	} {
		t.Run(c.name, func(t *testing.T) { playCut(t, &c) })
	}
}

func playCut(t *testing.T, c *cutCase) {
	sim := newSimulation(t, 1, 2)
	sim.addEndpoints(0, 1)
	sim.addEndpoints(1, 1)
	o := sim.addOwner()
	sim.shareFreeCapacity()
	sim.runUntil(100 * time.Millisecond)
	sim.submitJob(0, sizedJob("other", 60_000), 800*time.Millisecond) // no room at the holder
	// A task of the delegate's own callers keeps the lease of its endpoint alive.
	sim.submitJob(1, sizedJob("lasting", 1000), c.length+2*time.Second)
	job := storedJob("j", 1, time.Second)
	if c.fails {
		job.MaxAttempts = 1
	}
	task := leased.TaskID{Job: "j"}
	w := watchAcknowledgements(sim, task)
	sim.isolated[1] = true // until the job is offered, so that core 0 becomes its holder
	sim.after(50*time.Millisecond, func() { sim.isolated[1] = false })
	sim.acceptAt(sim.now, job, time.Second)
	sim.at(sim.now, func() {
		work := sim.work["j"]
		work.Fails = c.fails
		sim.work["j"] = work
	})
	sim.runUntil(300 * time.Millisecond)
	if d, ok := sim.delegations[task]; !ok || d.from != 0 || len(w.starts) != 1 {
		t.Fatal("the task was not delegated")
	}
	sim.runUntil(time.Second)
	cutOff(sim, c)
	sim.runUntil(sim.now + c.length + 15*time.Second)
	if w.violation != "" {
		t.Error(w.violation)
	}
	if again := len(w.starts) > 1; again == c.once {
		t.Errorf("the task was started at %v; want one start: %v (a further one, or the test shows nothing)", w.starts, c.once)
	}
	if s := o.shard.State("j"); !s.Ended() {
		t.Errorf("the job is %v, want it to have ended", s)
	}
	if w.open > 0 {
		t.Errorf("%d ends were never acknowledged", w.open)
	}
	sim.wantNoDoubleRuns()
}

// cutOff cuts core 1 off from core 0, beside which the owner of the job runs.
func cutOff(sim *simulation, c *cutCase) {
	const noticedAfter, takeOverAfter = 700 * time.Millisecond, 3 * time.Second
	sim.isolated[1] = true
	sim.after(noticedAfter, func() {
		for _, task := range sim.delegatedTasks() {
			d := sim.delegations[task]
			sim.endDelegation(d.from, task, leased.EndUnknown, false)
			sim.step(d.to, &leased.Cancel{Ticket: d.ticket})
		}
		setReachability(sim, c.noticed)
	})
	if c.ownerMoves {
		sim.after(takeOverAfter, func() { sim.owner.moveTo(1) })
	}
	sim.after(c.length, func() {
		sim.isolated[1] = false
		setReachability(sim, false)
		if c.ownerMoves {
			sim.owner.moveTo(0)
		}
	})
}

func setReachability(sim *simulation, someUnreachable bool) {
	for core := range sim.cores {
		sim.step(core, &leased.SetReachability{SomeUnreachable: someUnreachable})
	}
}

// Guards against an end that does not count and is acknowledged under the lease under which
// the run has ended, because new tasks of the endpoint extend the lease.
func TestEndpointWithDiscardedEndGetsNoTask(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 1)
	sim.unresponsiveOwner = true
	sim.runUntil(100 * time.Millisecond)
	task := leased.TaskID{Job: "j"}
	w := watchAcknowledgements(sim, task)
	sim.submitJob(0, storedJob("j", 1, 100*time.Millisecond), 100*time.Millisecond)
	sim.runUntil(300 * time.Millisecond)
	ended := sim.now
	for _, r := range sim.reports {
		if r.Number == 0 {
			continue
		}
		sim.step(0, &leased.ReportsStored{Reports: []leased.StoredReport{{
			Endpoint: r.Endpoint, IncarnationStart: r.IncarnationStart, Number: r.Number, Task: r.Task, Run: r.Run, Discarded: true,
		}}})
	}
	for at := sim.now; at < 4*time.Second; at += 200 * time.Millisecond {
		sim.at(at, func() { sim.submitJob(0, sizedJob(leased.JobID(fmt.Sprint("late", at)), 1000), 50*time.Millisecond) })
	}
	sim.runUntil(5 * time.Second)
	if w.open > 0 {
		t.Errorf("%d ends were never acknowledged", w.open)
	}
	if w.underLease > 0 {
		t.Errorf("%d ends were acknowledged before the lease had expired", w.underLease)
	}
	if first := sim.answeredAt["late300ms"]; first < ended+maxLease {
		t.Errorf("the next task ended after %v, want it to start once the lease has expired", first)
	}
	if len(sim.answers) < 15 {
		t.Errorf("%d answers, want the endpoint to be used again", len(sim.answers))
	}
}

// Guards against ends that are never acknowledged, or never discarded, because the owner has
// forgotten which runs are superseded: the job ends, and a snapshot replaces its records.
func TestSupersededRunsAreKnownAfterTheJobHasEnded(t *testing.T) {
	shard := newShard()
	job := storedJob("j", 1, time.Second)
	task := leased.TaskID{Job: "j"}
	first, second := leased.RunID{Number: 1, Endpoint: "a"}, leased.RunID{Number: 1 << 20, Endpoint: "b"}
	log := playShard(shard, &stored.Accept{Job: job},
		&stored.Report{Ticket: 1, Tasks: []stored.TaskReport{{Task: task, Run: first, Begun: true, Restart: 1, Offer: 1}}},
		&stored.Report{Ticket: 2, Tasks: []stored.TaskReport{{Task: task, Run: second, Done: true}}})
	replayed := newShard()
	for offset, events := range log {
		replayed.Replay(simStart, int64(offset), events)
	}
	for name, s := range map[string]*stored.Shard{"same owner": shard, "next owner": replayed} {
		if state := s.State("j"); state != stored.Completed {
			t.Errorf("%s: the job is %v, want completed", name, state)
		}
		out := s.Step(simStart, &stored.Report{Ticket: 3, Tasks: []stored.TaskReport{{Task: task, Run: first, Done: true}}})
		if len(out.Replies) != 1 || len(out.Replies[0].Progress) != 1 || !out.Replies[0].Progress[0].Discarded {
			t.Errorf("%s: replies %+v, want that the end of the superseded run is discarded", name, out.Replies)
		}
	}
}

// playShard steps a shard, and stores its batches at once. It returns the log.
func playShard(shard *stored.Shard, inputs ...stored.Input) [][]stored.Event {
	var log [][]stored.Event
	for _, in := range inputs {
		out := shard.Step(simStart, in)
		for len(out.Appends) > 0 {
			a := out.Appends[0]
			log = append(log, a.Events)
			out = shard.Step(simStart, &stored.Appended{Sequence: a.Sequence, Offset: int64(len(log) - 1)})
		}
	}
	return log
}
