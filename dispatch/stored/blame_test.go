package stored

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/blame"
	"lovagespread.example/dispatch/leased"
)

// crashedRun is a run under which an endpoint has crashed.
type crashedRun struct {
	task leased.TaskID
	run  int
}

// endpointCrashes are the crashes of endpoints in a crashSim.
type endpointCrashes struct {
	unreported map[crashedRun]bool            // whether the run was alone
	occurred   map[leased.TaskID]blame.Record // all crashes
	confirmed  map[leased.TaskID]blame.Record // those whose reports were acknowledged
}

func newEndpointCrashes() endpointCrashes {
	return endpointCrashes{
		unreported: make(map[crashedRun]bool), occurred: make(map[leased.TaskID]blame.Record), confirmed: make(map[leased.TaskID]blame.Record),
	}
}

// crashEndpoint crashes the endpoint of the last run of a task.
func (sim *crashSim) crashEndpoint(task leased.TaskID) {
	alone := sim.rng.IntN(2) == 0
	sim.unreported[crashedRun{task, sim.lastRun[task]}] = alone
	r := sim.occurred[task]
	r.Add(alone)
	sim.occurred[task] = r
}

func (sim *crashSim) reportCrashes() {
	for crashed, alone := range sim.unreported {
		report := TaskReport{Task: crashed.task, Run: crashed.run, Begun: true, Crashed: true, Alone: alone}
		sim.request(func(t Ticket) Input { return &Report{Ticket: t, Tasks: []TaskReport{report}} }, func(result Result) {
			if _, waiting := sim.unreported[crashed]; result != Stored || !waiting {
				return
			}
			delete(sim.unreported, crashed)
			r := sim.confirmed[crashed.task]
			r.Add(alone)
			sim.confirmed[crashed.task] = r
		})
	}
}

// checkCrashes checks that no job goes on with a task that is the cause of
// crashes, and that none fails without a cause.
func (sim *crashSim) checkCrashes() {
	sim.t.Helper()
	for task, r := range sim.confirmed {
		if sim.isDone(task) {
			continue
		}
		if state := sim.shard.State(task.Job); r.Guilty() && (state == Queued || state == Running) {
			sim.t.Fatalf("job %s is %v, though its task %d has crashed endpoints: %+v", task.Job, state, task.Index, r)
		}
	}
	for id, job := range sim.jobs {
		if sim.shard.State(id) == Failed && !sim.mayFail(&job) {
			sim.t.Fatalf("job %s has failed without a cause", id)
		}
	}
}

// isDone reports whether a run of a task has succeeded, reported or not.
func (sim *crashSim) isDone(task leased.TaskID) bool {
	return sim.acknowledged[task] || sim.listed[task] > 0 && !sim.failed[task]
}

func (sim *crashSim) mayFail(job *leased.Job) bool {
	for index := range job.Steps[0].Tasks {
		task := taskOf(job.ID, index)
		if sim.failures[task] >= job.MaxAttempts || sim.occurred[task].Guilty() {
			return true
		}
	}
	return false
}

func crashReport(t Ticket, id leased.JobID, run int, alone bool) *Report {
	return &Report{Ticket: t, Tasks: []TaskReport{{Task: taskOf(id, 0), Run: run, Begun: true, Crashed: true, Alone: alone}}}
}

// Guards against a count of crashes that is forgotten when the owner of a job
// changes: its task would crash two more endpoints with each owner.
func TestCrashesSurviveTheirOwner(t *testing.T) {
	accepted := []Event{{Kind: JobAccepted, Job: "a", Spec: specOf(testJob("a", 2))}}
	crash := []Event{{Kind: TaskCrashed, Job: "a", Task: taskOf("a", 0), Run: 1}}
	logs := map[string][][]Event{
		"as an event": {accepted, crash},
		"in a snapshot": {{{Kind: JobSnapshot, Job: "a", State: Running, Spec: specOf(testJob("a", 2)),
			Progress: []leased.TaskProgress{{LastRun: 1, Crashes: blame.Record{Crashes: 1}}}}}},
	}
	for name, log := range logs {
		t.Run(name, func(t *testing.T) {
			s := New(testOptions())
			for offset, events := range log {
				s.Replay(start, int64(offset), events)
			}
			out := s.FinishReplay(start)
			if len(out.Offers) != 1 || len(out.Offers[0].Job.Progress) != 1 || out.Offers[0].Job.Progress[0].Crashes.Crashes != 1 {
				t.Fatalf("offers %+v, want one with the crash", out.Offers)
			}
			s.Step(start, crashReport(1, "a", 2, true))
			out = s.Step(start, &Appended{Sequence: 1, Offset: 9})
			wantReplies(t, out, Reply{1, Stored})
			if s.State("a") != Failed || len(out.Withdrawals) != 1 {
				t.Errorf("after the second crash: state %v, withdrawals %v", s.State("a"), out.Withdrawals)
			}
		})
	}
}

func specOf(job leased.Job) *leased.Job { return &job }

// A report that is delivered twice must not count as two crashes, and a crash
// under a task that is done by now does no harm to its job.
func TestCrashesThatDoNotCount(t *testing.T) {
	s := New(testOptions())
	s.Step(start, &Accept{Ticket: 1, Job: testJob("a", 1)})
	s.Step(start, &Appended{Sequence: 1})
	s.Step(start, crashReport(2, "a", 1, true))
	s.Step(start, &Appended{Sequence: 2})
	out := s.Step(start, crashReport(3, "a", 1, true))
	wantReplies(t, out, Reply{3, Stored})
	if s.State("a") != Running {
		t.Fatalf("one crash, reported twice: state %v, want running", s.State("a"))
	}
	s.Step(start, doneReport(4, "a", 0, 2))
	s.Step(start, &Appended{Sequence: 3})
	out = s.Step(start.Add(time.Second), crashReport(5, "a", 3, true))
	wantReplies(t, out, Reply{5, Stored})
	if s.State("a") != Completed {
		t.Errorf("a crash reported after the task was done: state %v, want completed", s.State("a"))
	}
}
