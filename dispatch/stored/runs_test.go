package stored

import (
	"fmt"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// runOn returns the run of an endpoint that has the number which two holders give.
func runOn(endpoint leased.EndpointID) leased.RunID {
	return leased.RunID{Number: 17, Endpoint: endpoint, Incarnation: 1}
}

// acceptedShard returns a shard with one job of one task, which is stored.
func acceptedShard(maxAttempts int) *Shard {
	s := New(testOptions())
	job := testJob("a", 1)
	job.MaxAttempts = maxAttempts
	s.Step(start, &Accept{Ticket: 1, Job: job})
	s.Step(start, &Appended{Sequence: 1})
	return s
}

// shardOfSnapshot returns a shard that was restored from the snapshot of a job whose run
// on endpoint x has failed.
func shardOfSnapshot(t *testing.T, maxAttempts int) *Shard {
	t.Helper()
	s := acceptedShard(maxAttempts)
	s.Step(start, reportOf(2, TaskReport{Run: runOn("x")}))
	s.Step(start, &Appended{Sequence: 2})
	out := s.Step(start.Add(testOptions().SnapshotAge+time.Second), &Tick{})
	if len(out.Appends) != 1 || out.Appends[0].Events[0].Kind != JobSnapshot {
		t.Fatalf("appends %+v, want a snapshot", out.Appends)
	}
	next := New(testOptions())
	next.Replay(start, 0, out.Appends[0].Events)
	next.FinishReplay(start)
	return next
}

// reportOf returns a report of a run of the only task of a job.
func reportOf(t Ticket, r TaskReport) *Report {
	r.Task = taskOf("a", 0)
	return &Report{Ticket: t, Tasks: []TaskReport{r}}
}

// Guards against runs of two holders that are taken for one, because both holders gave
// them the same number: the end of the second one was acknowledged without being stored,
// and a task that was done ran again.
func TestRunsOfTwoHoldersWithOneNumber(t *testing.T) {
	lost := func(cause leased.LossCause) TaskReport {
		return TaskReport{Begun: true, Lost: true, Loss: leased.Loss{Cause: cause}}
	}
	for _, c := range []struct {
		name          string
		first, second TaskReport
		want          State
	}{
		{"failed, done", TaskReport{}, TaskReport{Done: true}, Completed},
		{"failed, failed", TaskReport{}, TaskReport{}, Failed},
		{"lost by a crash, lost by a crash", lost(leased.LossByCrash), lost(leased.LossByCrash), Running},
	} {
		c.first.Run, c.second.Run = runOn("x"), runOn("y")
		for _, stored := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, the first one stored before: %v", c.name, stored), func(t *testing.T) {
				s := acceptedShard(2)
				batches := [][]Event{{{Kind: JobAccepted, Job: "a", Spec: specOf(testJob("a", 1))}}}
				store := func(out *Actions) *Actions {
					if len(out.Appends) == 0 {
						return out
					}
					batches = append(batches, out.Appends[0].Events)
					return s.Step(start, &Appended{Sequence: s.sequence})
				}
				first := s.Step(start, reportOf(2, c.first))
				if stored {
					store(first)
					wantReplies(t, store(s.Step(start, reportOf(3, c.second))), Reply{Ticket: 3, Result: Stored})
				} else {
					batches = append(batches, first.Appends[0].Events)
					wantReplies(t, s.Step(start, reportOf(3, c.second)))
					wantReplies(t, store(s.Step(start, &Appended{Sequence: s.sequence})), Reply{Ticket: 3, Result: Stored})
				}
				next := New(testOptions())
				for offset, events := range batches {
					next.Replay(start, int64(offset), events)
				}
				for name, s := range map[string]*Shard{"owner": s, "next owner": next} {
					if state := s.State("a"); state != c.want && (state.Ended() || c.want.Ended()) {
						t.Errorf("%s: state %v, want %v", name, state, c.want)
					}
					if j := s.jobs["a"]; c.second.Lost && j.task(taskOf("a", 0)).crashes.Crashes != 2 {
						t.Errorf("%s: %d crashes, want 2", name, j.task(taskOf("a", 0)).crashes.Crashes)
					}
				}
			})
		}
	}
}

// Guards against one run that counts twice: its report is repeated because the endpoint
// still lists the end, also after the job was restored from a snapshot.
func TestRepeatedReportOfARunCountsOnce(t *testing.T) {
	for name, s := range map[string]*Shard{
		"from events":     acceptedShard(2),
		"from a snapshot": shardOfSnapshot(t, 2),
	} {
		t.Run(name, func(t *testing.T) {
			for ticket := range 3 {
				s.Step(start, reportOf(Ticket(ticket), TaskReport{Run: runOn("x")}))
				s.Step(start, &Appended{Sequence: s.sequence})
			}
			if state := s.State("a"); state != Running && state != Queued {
				t.Errorf("state %v after one failure, want that it goes on", state)
			}
			s.Step(start, reportOf(9, TaskReport{Run: runOn("y")}))
			s.Step(start, &Appended{Sequence: s.sequence})
			if state := s.State("a"); state != Failed {
				t.Errorf("state %v after two failures, want failed", state)
			}
		})
	}
}

// Guards against failures that are forgotten, or counted twice, while entries of an
// earlier version, which do not name endpoints, report as well.
func TestRunsWithoutAnEndpoint(t *testing.T) {
	s := acceptedShard(2)
	s.Step(start, reportOf(2, TaskReport{Run: leased.RunID{Number: 17}}))
	s.Step(start, &Appended{Sequence: 2})
	out := s.Step(start, reportOf(3, TaskReport{Run: runOn("x")}))
	wantReplies(t, out, Reply{Ticket: 3, Result: Stored})
	out = s.Step(start, reportOf(4, TaskReport{Run: leased.RunID{Number: 17}, Done: true}))
	wantReplies(t, out)
	s.Step(start, &Appended{Sequence: 3})
	if state := s.State("a"); state != Completed {
		t.Errorf("state %v, want completed", state)
	}
}

// Guards against a job that the next owner shows as queued, and counts as pending, though
// the log says that a run of it has ended.
func TestBegunJobIsNotPendingAtTheNextOwner(t *testing.T) {
	accepted := Event{Kind: JobAccepted, Job: "a", Spec: specOf(testJob("a", 2))}
	for name, events := range map[string][]Event{
		"done":     {accepted, {Kind: TaskEnded, Job: "a", Task: taskOf("a", 0), Run: runOn("x"), Done: true}},
		"failed":   {accepted, {Kind: TaskEnded, Job: "a", Task: taskOf("a", 0), Run: runOn("x")}},
		"lost":     {accepted, {Kind: TaskLost, Job: "a", Task: taskOf("a", 0), Run: runOn("x")}},
		"snapshot": {{Kind: JobSnapshot, Job: "a", State: Running, Spec: specOf(testJob("a", 2))}},
	} {
		s := New(testOptions())
		s.Replay(start, 0, events)
		s.FinishReplay(start)
		if state, n := s.State("a"), s.Pending()["q"]; state != Running || n != 0 {
			t.Errorf("%s: state %v, %d pending, want running, 0", name, state, n)
		}
	}
	s := New(testOptions())
	s.Replay(start, 0, []Event{accepted})
	if n := s.Pending()["q"]; n != 1 {
		t.Errorf("no run has ended: %d pending, want 1", n)
	}
}
