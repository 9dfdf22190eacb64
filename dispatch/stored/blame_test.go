package stored

import (
	"testing"
	"time"

	"lovagespread.example/dispatch/blame"
	"lovagespread.example/dispatch/leased"
)

// lostRun is a run whose endpoint was lost.
type lostRun struct {
	task leased.TaskID
	run  int
}

// endpointLosses are the losses of endpoints in a crashSim.
type endpointLosses struct {
	unreported map[lostRun][]leased.Loss      // in the order in which they become known
	occurred   map[leased.TaskID]blame.Record // all crashes
	confirmed  map[leased.TaskID]blame.Record // those whose reports were acknowledged
}

func newEndpointLosses() endpointLosses {
	return endpointLosses{
		unreported: make(map[lostRun][]leased.Loss), occurred: make(map[leased.TaskID]blame.Record), confirmed: make(map[leased.TaskID]blame.Record),
	}
}

// loseEndpoint loses the endpoint of the last run of a task. The cause is known
// at once, later or never.
func (sim *crashSim) loseEndpoint(task leased.TaskID) {
	alone := sim.rng.IntN(2) == 0
	var known []leased.Loss
	if sim.rng.IntN(2) == 0 {
		known = append(known, leased.Loss{Cause: leased.LossUnexplained, Alone: alone})
	}
	switch sim.rng.IntN(4) {
	case 0:
		known = append(known, leased.Loss{Cause: leased.LossByCut, Alone: alone})
	case 1, 2:
		known = append(known, leased.Loss{Cause: leased.LossByCrash, Alone: alone})
		r := sim.occurred[task]
		r.Add(alone)
		sim.occurred[task] = r
	}
	sim.unreported[lostRun{task, sim.lastRun[task]}] = known
}

// reportLosses reports what is known next about each lost run, until that is
// acknowledged.
func (sim *crashSim) reportLosses() {
	for lost, known := range sim.unreported {
		if len(known) == 0 {
			continue
		}
		loss := known[0]
		report := TaskReport{Task: lost.task, Run: identityOf(lost.run), Begun: true, Lost: true, Loss: loss}
		sim.request(func(t Ticket) Input { return &Report{Ticket: t, Tasks: []TaskReport{report}} }, func(result Result) {
			if rest := sim.unreported[lost]; result != Stored || len(rest) == 0 || rest[0] != loss {
				return
			}
			sim.unreported[lost] = sim.unreported[lost][1:]
			if loss.Cause == leased.LossByCrash {
				r := sim.confirmed[lost.task]
				r.Add(loss.Alone)
				sim.confirmed[lost.task] = r
			}
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
	return &Report{Ticket: t, Tasks: []TaskReport{{Task: taskOf(id, 0), Run: leased.RunID{Number: run}, Begun: true, Lost: true, Loss: leased.Loss{Cause: leased.LossByCrash, Alone: alone}}}}
}

// A loss counts as unexplained until its cause is reported, once.
func TestLossesAreOfferedUntilTheyAreExplained(t *testing.T) {
	for _, c := range []struct {
		causes      []leased.LossCause
		wantLosses  int
		wantCrashes int
	}{
		{[]leased.LossCause{leased.LossUnexplained}, 1, 0},
		{[]leased.LossCause{leased.LossUnexplained, leased.LossUnexplained}, 1, 0},
		{[]leased.LossCause{leased.LossUnexplained, leased.LossByCut}, 0, 0},
		{[]leased.LossCause{leased.LossUnexplained, leased.LossByCrash, leased.LossByCrash}, 0, 1},
		{[]leased.LossCause{leased.LossByCrash, leased.LossUnexplained}, 0, 1},
		{[]leased.LossCause{leased.LossByCut, leased.LossByCrash}, 0, 0},
	} {
		s := New(testOptions())
		s.Replay(start, 0, []Event{{Kind: JobAccepted, Job: "a", Spec: specOf(testJob("a", 1))}})
		for i, cause := range c.causes {
			s.Replay(start, int64(i+1), []Event{{Kind: TaskLost, Job: "a", Task: taskOf("a", 0), Run: leased.RunID{Number: 1}, Loss: leased.Loss{Cause: cause}}})
		}
		progress := s.FinishReplay(start).Offers[0].Job.Progress[0]
		if progress.Losses != c.wantLosses || progress.Crashes.Crashes != c.wantCrashes {
			t.Errorf("causes %v: %d losses, %d crashes, want %d, %d", c.causes, progress.Losses, progress.Crashes.Crashes, c.wantLosses, c.wantCrashes)
		}
	}
}

// Guards against a count of crashes that is forgotten when the owner of a job
// changes: its task would crash two more endpoints with each owner.
func TestCrashesSurviveTheirOwner(t *testing.T) {
	accepted := []Event{{Kind: JobAccepted, Job: "a", Spec: specOf(testJob("a", 2))}}
	crash := []Event{{Kind: TaskLost, Job: "a", Task: taskOf("a", 0), Run: leased.RunID{Number: 1}, Loss: leased.Loss{Cause: leased.LossByCrash}}}
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
			wantReplies(t, out, Reply{Ticket: 1, Result: Stored})
			if s.State("a") != Failed || len(out.Withdrawals) != 1 {
				t.Errorf("after the second crash: state %v, withdrawals %v", s.State("a"), out.Withdrawals)
			}
		})
	}
}

// Guards against a crash that is counted under a run that had failed before: the end and the
// loss were found by different entries.
func TestCrashAfterTheRunHadFailedDoesNotCount(t *testing.T) {
	job := testJob("a", 1)
	job.MaxAttempts = 3
	for _, first := range [][]leased.LossCause{nil, {leased.LossUnexplained}} {
		s := New(testOptions())
		s.Replay(start, 0, []Event{{Kind: JobAccepted, Job: "a", Spec: specOf(job)}})
		run := leased.RunID{Number: 1, Endpoint: "e", Incarnation: 1}
		for _, cause := range first {
			s.Replay(start, 1, []Event{{Kind: TaskLost, Job: "a", Task: taskOf("a", 0), Run: run, Loss: leased.Loss{Cause: cause}}})
		}
		s.Replay(start, 2, []Event{{Kind: TaskEnded, Job: "a", Task: taskOf("a", 0), Run: run}})
		s.Replay(start, 3, []Event{{Kind: TaskLost, Job: "a", Task: taskOf("a", 0), Run: run, Loss: leased.Loss{Cause: leased.LossByCrash, Alone: true}}})
		p := s.FinishReplay(start).Offers[0].Job.Progress[0]
		if p.Crashes.Total() != 0 || p.Losses != 0 || p.Failures != 1 {
			t.Errorf("lost before %v: progress %+v, want one failure, no crash and no loss", first, p)
		}
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
	wantReplies(t, out, Reply{Ticket: 3, Result: Stored})
	if s.State("a") != Running {
		t.Fatalf("one crash, reported twice: state %v, want running", s.State("a"))
	}
	s.Step(start, doneReport(4, "a", 0, 2))
	s.Step(start, &Appended{Sequence: 3})
	out = s.Step(start.Add(time.Second), crashReport(5, "a", 3, true))
	wantReplies(t, out, Reply{Ticket: 5, Result: Stored})
	if s.State("a") != Completed {
		t.Errorf("a crash reported after the task was done: state %v, want completed", s.State("a"))
	}
}
