package leased_test

import (
	"slices"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
)

// evidenceCore is a core whose endpoints' replies a test writes itself, so that they can
// come in any order.
type evidenceCore struct {
	t      *testing.T
	core   *leased.Core
	now    time.Time
	starts []leased.Start
	stops  []leased.Stop
	holds  map[leased.EndpointID]leased.Hold // the newest ones
}

// newEvidenceCore returns a core that holds endpoints of one cell.
func newEvidenceCore(t *testing.T, ids ...leased.EndpointID) *evidenceCore {
	token := int64(0)
	c := &evidenceCore{t: t, now: simStart, holds: make(map[leased.EndpointID]leased.Hold)}
	c.core = leased.New(leased.Options{
		MaxLease:  maxLease,
		NextToken: func(floor int64) int64 { token = max(token, floor) + 1; return token },
		Yields:    func(string) bool { return false },
	})
	var list []leased.Endpoint
	for _, id := range ids {
		list = append(list, leased.Endpoint{ID: id, Service: "s", Cell: "c", Capacity: leased.Demand{MilliCores: 64_000, MemoryMiB: 128_000}})
	}
	c.step(&leased.SetEndpoints{Endpoints: list})
	for _, id := range ids {
		c.answerHold(id, leased.HoldReply{})
	}
	return c
}

func (c *evidenceCore) step(in leased.Input) {
	out := c.core.Step(c.now, in)
	c.starts = append(c.starts, out.Starts...)
	c.stops = append(c.stops, out.Stops...)
	for _, h := range out.Holds {
		c.holds[h.Endpoint] = h
	}
}

// pass lets time pass. Holds get no reply.
func (c *evidenceCore) pass(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(min(leased.TickInterval, end.Sub(c.now)))
		c.step(&leased.Tick{})
	}
}

// answerHold answers the newest Hold of an endpoint with a list.
func (c *evidenceCore) answerHold(id leased.EndpointID, list leased.HoldReply) {
	list.Endpoint, list.Sequence = id, c.holds[id].Sequence
	list.Clock, list.IncarnationStart = time.Hour+c.now.Sub(simStart), 1
	c.step(&list)
}

// submit submits a job of one task, and returns its Start.
func (c *evidenceCore) submit(id leased.JobID) leased.Start {
	c.t.Helper()
	job := singleTaskJob(id)
	job.CallerTimeout = time.Minute
	before := len(c.starts)
	c.step(&leased.Submit{Ticket: leased.Ticket(before + 1), Job: job})
	if len(c.starts) != before+1 {
		c.t.Fatalf("%d starts of %s, want one", len(c.starts)-before, id)
	}
	return c.starts[before]
}

func (c *evidenceCore) answerStart(s *leased.Start, result leased.StartResult) {
	c.step(&leased.StartReply{Endpoint: s.Endpoint, Task: s.Task, Run: s.Run, Result: result})
}

// runsOf lists the numbers of the runs of a task that were started, without repeats.
func (c *evidenceCore) runsOf(task leased.TaskID) []int {
	var runs []int
	for i := range c.starts {
		if s := &c.starts[i]; s.Task == task && !slices.Contains(runs, s.Run) {
			runs = append(runs, s.Run)
		}
	}
	return runs
}

func (c *evidenceCore) wantRuns(task leased.TaskID, want int) {
	c.t.Helper()
	if runs := c.runsOf(task); len(runs) != want {
		c.t.Fatalf("runs %v were started, want %d", runs, want)
	}
}

// Guards against the end of an earlier run that is taken for that of the present one: an
// endpoint that was cut off lists it late, because its list was too long at first.
func TestEndOfEarlierRunDoesNotEndRestartedRun(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	first := c.submit("j")
	c.answerStart(&first, leased.StartAccepted)
	c.pass(1300 * time.Millisecond)
	other := leased.EndedRun{Number: 1, Task: leased.TaskID{Job: "other"}, Run: 1, End: leased.EndStopped}
	c.answerHold("e0", leased.HoldReply{Ended: []leased.EndedRun{other}, More: true})
	c.wantRuns(first.Task, 2)
	second := c.starts[len(c.starts)-1]
	c.answerStart(&second, leased.StartAccepted)
	c.pass(leased.TickInterval)
	ended := leased.EndedRun{Number: 2, Task: first.Task, Run: first.Run, End: leased.EndLapsed}
	c.answerHold("e0", leased.HoldReply{Ended: []leased.EndedRun{ended}, Running: []leased.ActiveRun{{Task: second.Task, Run: second.Run}}})
	c.pass(100 * time.Millisecond)
	c.wantRuns(first.Task, 2)
}

// Guards against a list from before a Start, which arrives after the reply to the Start.
func TestListFromBeforeStartProvesNoEnd(t *testing.T) {
	c := newEvidenceCore(t, "e0", "e1")
	other := c.submit("other")
	c.answerStart(&other, leased.StartAccepted)
	c.pass(leased.TickInterval) // the Hold that waits for the end of a run
	first := c.submit("j")
	if first.Endpoint != other.Endpoint {
		t.Fatalf("started on %s, want %s", first.Endpoint, other.Endpoint)
	}
	c.now = c.now.Add(time.Millisecond)
	c.answerStart(&first, leased.StartAccepted)
	c.answerHold(first.Endpoint, leased.HoldReply{Running: []leased.ActiveRun{{Task: other.Task, Run: other.Run}}})
	c.pass(leased.TickInterval)
	c.wantRuns(first.Task, 1)
}

// Guards against a list from before a Stop that proves the end of its run: the Start was
// executed between the two, and the run is being stopped.
func TestListFromBeforeStopProvesNoEnd(t *testing.T) {
	c := newEvidenceCore(t, "e0", "e1")
	first := c.submit("j")
	for range 3 {
		c.now = c.now.Add(startTimeout)
		c.answerStart(&first, leased.StartUnanswered)
	}
	c.answerHold(first.Endpoint, leased.HoldReply{})
	if len(c.stops) != 1 {
		t.Fatalf("%d stops, want one", len(c.stops))
	}
	c.now = c.now.Add(time.Millisecond)
	c.step(&leased.StopReply{Endpoint: first.Endpoint, Task: first.Task, Run: first.Run, Answered: true})
	c.answerHold(first.Endpoint, leased.HoldReply{})
	c.wantRuns(first.Task, 1)
	for range 2 { // the first of them was sent in the instant in which the Stop was answered
		c.pass(leased.TickInterval)
		c.answerHold(first.Endpoint, leased.HoldReply{})
	}
	c.wantRuns(first.Task, 2)
}

// Guards against a refused repeat of a Start that proves that the task does not run: the
// first copy has no reply yet, and may still be executed.
func TestRefusedRepeatProvesNoEnd(t *testing.T) {
	for _, result := range []leased.StartResult{leased.StartNoCapacity, leased.StartUnhealthy, leased.StartOldRun, leased.StartLate, leased.StartNotSent} {
		c := newEvidenceCore(t, "e0", "e1")
		first := c.submit("j")
		c.now = c.now.Add(startTimeout)
		c.answerStart(&first, leased.StartUnanswered)
		c.answerStart(&first, result)
		c.pass(200 * time.Millisecond)
		c.wantRuns(first.Task, 1)
	}
}

// Guards against a lease that counts as over before the endpoint's clock, which may be 2%
// slow, has reached its end, and the request that extended it may have arrived late.
func TestLeaseIsOverOnSlowestClock(t *testing.T) {
	const margin = 100 * time.Millisecond
	c := newEvidenceCore(t, "e0", "e1")
	first := c.submit("j")
	c.answerStart(&first, leased.StartAccepted)
	c.pass(maxLease + margin)
	c.wantRuns(first.Task, 1)
}
