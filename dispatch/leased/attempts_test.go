package leased_test

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/dispatch/stored"
)

// attemptLog records the starts and failures of tasks, as the endpoints see them.
type attemptLog struct {
	sim    *simulation
	starts map[leased.TaskID][]time.Duration
	failed map[leased.TaskID][]*failedRun
	byEnd  map[endOfRun]*failedRun
}

type endOfRun struct {
	endpoint leased.EndpointID
	number   int64
}

type failedRun struct {
	at           time.Duration
	acknowledged bool // and the lease of the endpoint did not expire in between
}

// recordAttempts records the attempts of all tasks at the endpoints that exist.
func recordAttempts(sim *simulation) *attemptLog {
	l := &attemptLog{sim: sim, starts: make(map[leased.TaskID][]time.Duration), failed: make(map[leased.TaskID][]*failedRun), byEnd: make(map[endOfRun]*failedRun)}
	for id, e := range sim.endpoints {
		e.OnEnded = func(end leased.EndedRun) {
			if end.End == leased.EndFailed {
				f := &failedRun{at: sim.now}
				l.failed[end.Task] = append(l.failed[end.Task], f)
				l.byEnd[endOfRun{id, end.Number}] = f
			}
		}
		e.OnAcknowledged = func(end leased.EndedRun, lapsed bool) {
			if f := l.byEnd[endOfRun{id, end.Number}]; f != nil {
				f.acknowledged = !lapsed
			}
		}
	}
	return l
}

// check reports starts of a task after it has failed as often as it may, if these failures
// were acknowledged then or later.
func (l *attemptLog) check(t *testing.T, maxAttempts int) (withTwoHolders int) {
	t.Helper()
	for task, starts := range l.starts {
		for _, at := range starts {
			n := 0
			for _, f := range l.failed[task] {
				if f.acknowledged && f.at < at {
					n++
				}
			}
			if n >= maxAttempts {
				t.Errorf("task %v is started at %v, after %d of its runs have failed", task, at, n)
			}
		}
		if len(starts) > len(l.failed[task]) {
			withTwoHolders++
		}
	}
	return withTwoHolders
}

// Guards against a task that is started once more than it may, because its holder does not
// know of a failure that another entry has found on an endpoint after the job was offered:
// holders crash, the owner is replaced, and its log stands still for a while.
func TestTasksThatFailAreNotStartedBeyondTheirAttempts(t *testing.T) {
	const (
		maxAttempts = 2
		load        = 12 * time.Second
		runTime     = 350 * time.Millisecond
	)
	lost := 0
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 3)
			for core := range sim.cores {
				sim.addEndpoints(core, 6)
			}
			log := recordAttempts(sim)
			o := sim.addOwner()
			sim.shareFreeCapacity()
			sim.taskWork = func(task leased.TaskID) leasedtest.Work {
				log.starts[task] = append(log.starts[task], sim.now)
				work := workOf(runTime)
				work.Fails = task.Job[0] == 'f'
				return work
			}
			sim.runUntil(100 * time.Millisecond)
			var failing, harmless []leased.JobID
			for at := sim.now; at < load; at += 100 * time.Millisecond {
				id := leased.JobID(fmt.Sprintf("failing%04d", len(failing)))
				failing = append(failing, id)
				sim.acceptAt(at, storedJob(id, 3, runTime), runTime)
				id = leased.JobID(fmt.Sprintf("harmless%04d", len(harmless)))
				harmless = append(harmless, id)
				sim.acceptAt(at, storedJob(id, 2, runTime), runTime)
			}
			for _, core := range []int{0, 1} {
				at := time.Duration(2000+4000*core+sim.rng.IntN(3000)) * time.Millisecond
				sim.at(at, func() { sim.crash(core, 2, 800*time.Millisecond); o.coreCrashed(core) })
			}
			if seed%2 == 0 {
				sim.at(time.Duration(2000+sim.rng.IntN(8000))*time.Millisecond, o.replace)
			}
			if seed%3 == 0 {
				sim.at(time.Duration(2000+sim.rng.IntN(8000))*time.Millisecond, func() { o.stall(2 * time.Second) })
			}
			sim.runUntil(load + 30*time.Second)
			lost += log.check(t, maxAttempts)
			for _, id := range failing {
				if s := o.shard.State(id); s != stored.Failed {
					t.Errorf("job %s, whose tasks fail, is %v", id, s)
				}
			}
			for _, id := range harmless {
				if s := o.shard.State(id); s != stored.Completed {
					t.Errorf("harmless job %s is %v, want completed", id, s)
				}
			}
			sim.wantNoDoubleRuns()
		})
	}
	if lost == 0 {
		t.Error("no task was started under two holders, so the test shows nothing")
	}
}

// submitFailing submits a stored job of one task, whose runs fail after 100 ms.
func (sim *simulation) submitFailing(core, maxAttempts int, progress ...leased.TaskProgress) {
	job := storedJob("j", 1, 100*time.Millisecond)
	job.MaxAttempts = maxAttempts
	job.Progress = progress
	sim.submitJob(core, job, 100*time.Millisecond)
	work := workOf(100 * time.Millisecond)
	work.Fails = true
	sim.work["j"] = work
}

// Guards against failures found by others that don't reach a holder which has the job
// already: by an update, and by an offer that is repeated.
func TestHolderLearnsFailuresOfOthers(t *testing.T) {
	task := leased.TaskID{Job: "j"}
	two := leased.TaskProgress{Failures: 2}
	for name, tell := range map[string]func(*simulation){
		"update":         func(sim *simulation) { sim.step(0, &leased.TaskUpdate{Task: task, Progress: two}) },
		"repeated offer": func(sim *simulation) { sim.submitFailing(0, 3, two) },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.addEndpoints(0, 2)
			sim.runUntil(100 * time.Millisecond)
			sim.submitFailing(0, 3)
			sim.runUntil(150 * time.Millisecond)
			tell(sim)
			sim.runUntil(3 * time.Second)
			if n := sim.startCounts[task]; n != 1 {
				t.Errorf("the task was started %d times, want once: two runs have failed elsewhere", n)
			}
			if a := sim.answers["j"]; a.Verdict != leased.Failed {
				t.Errorf("answer %+v, want failed", a)
			}
		})
	}
}

// Guards against a start that the owner would not allow: after a failure, the task waits
// for the number of all failures, here and at a delegate.
func TestFailedTaskWaitsUntilItIsCounted(t *testing.T) {
	task := leased.TaskID{Job: "j"}
	for _, holders := range []int{1, 2, 3} {
		t.Run(fmt.Sprintf("%d holders", holders), func(t *testing.T) {
			sim := newSimulation(t, 1, holders)
			for core := min(1, holders-1); core < holders; core++ { // the first of several has none
				sim.addEndpoints(core, 2)
			}
			sim.shareFreeCapacity()
			sim.unresponsiveOwner = true
			sim.runUntil(100 * time.Millisecond)
			sim.submitFailing(0, 2)
			sim.runUntil(2 * time.Second)
			if n := sim.startCounts[task]; n != 1 {
				t.Fatalf("the task was started %d times before its failure was counted, want once", n)
			}
			sim.unresponsiveOwner = false
			sim.storeReports()
			sim.runUntil(4 * time.Second)
			if n := sim.startCounts[task]; n != 2 {
				t.Errorf("the task was started %d times, want twice", n)
			}
			if a := sim.answers["j"]; a.Verdict != leased.Failed {
				t.Errorf("answer %+v, want failed", a)
			}
		})
	}
}

// Guards against a start after the owner has said that the job has ended.
func TestNothingStartsOnceTheJobHasEnded(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addEndpoints(0, 2)
	sim.unresponsiveOwner = true
	sim.runUntil(100 * time.Millisecond)
	sim.submitFailing(0, 3)
	sim.runUntil(time.Second)
	end := sim.reports[len(sim.reports)-1]
	sim.step(0, &leased.ReportsStored{Reports: []leased.StoredReport{{
		Endpoint: end.Endpoint, IncarnationStart: end.IncarnationStart, Number: end.Number, Task: end.Task, Run: end.Run,
		Progress: &leased.TaskProgress{JobEnded: true},
	}}})
	sim.runUntil(3 * time.Second)
	if n := sim.startCounts[leased.TaskID{Job: "j"}]; n != 1 {
		t.Errorf("the task was started %d times, want once", n)
	}
}

// Guards against a task that is started again after its endpoint was lost, by a holder that
// is cut off from the owner, while another holder has found that its run is done: here and
// at a delegate.
func TestLostTaskWaitsForTheOwner(t *testing.T) {
	task := leased.TaskID{Job: "j"}
	for _, holders := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d holders", holders), func(t *testing.T) {
			sim := newSimulation(t, 1, holders)
			for core := min(1, holders-1); core < holders; core++ { // the first of several has none
				sim.addEndpoints(core, 2)
			}
			sim.shareFreeCapacity()
			sim.unresponsiveOwner = true
			sim.runUntil(100 * time.Millisecond)
			sim.submitJob(0, storedJob("j", 1, 400*time.Millisecond), 400*time.Millisecond)
			sim.runUntil(200 * time.Millisecond)
			for id, e := range sim.endpoints {
				sim.unreachable[id] = len(e.Running()) > 0
			}
			sim.runUntil(4 * time.Second)
			if n := sim.startCounts[task]; n != 1 {
				t.Fatalf("the task was started %d times before the owner has answered, want once", n)
			}
			sim.unresponsiveOwner = false
			sim.storeReports()
			sim.runUntil(8 * time.Second)
			if n := sim.startCounts[task]; n != 2 {
				t.Errorf("the task was started %d times, want twice: the owner knows of no end", n)
			}
			if a := sim.answers["j"]; a.Verdict != leased.Completed || a.Took == 0 {
				t.Errorf("answer %+v, want completed", a)
			}
		})
	}
}
