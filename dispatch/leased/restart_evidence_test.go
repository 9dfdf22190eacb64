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
	t         *testing.T
	core      *leased.Core
	endpoints []leased.Endpoint
	now       time.Time
	starts    []leased.Start
	stops     []leased.Stop
	// answers are those to delegators.
	answers     []leased.DelegatedAnswer
	delegations []leased.Delegate
	holds       map[leased.EndpointID]leased.Hold // the newest ones
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
	for _, id := range ids {
		c.endpoints = append(c.endpoints, leased.Endpoint{ID: id, Service: "s", Cell: "c", Capacity: leased.Demand{MilliCores: 64_000, MemoryMiB: 128_000}})
	}
	c.hold()
	return c
}

// hold announces the endpoints, which then list no runs.
func (c *evidenceCore) hold() {
	c.step(&leased.SetEndpoints{Endpoints: c.endpoints})
	for i := range c.endpoints {
		c.answerHold(c.endpoints[i].ID, leased.HoldReply{})
	}
}

func (c *evidenceCore) step(in leased.Input) {
	out := c.core.Step(c.now, in)
	c.starts = append(c.starts, out.Starts...)
	c.stops = append(c.stops, out.Stops...)
	c.answers = append(c.answers, out.DelegatedAnswers...)
	c.delegations = append(c.delegations, out.Delegations...)
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

// delegatedTask returns the task of job j as another holder delegates it.
func delegatedTask(run int) leased.DelegatedTask {
	return leased.DelegatedTask{
		ID: leased.TaskID{Job: "j"}, Service: "s", Queue: "q", Cell: "c", CallerTimeout: time.Minute, Run: run,
		Step: singleTaskJob("j").Steps[0],
	}
}

// submitDelegated submits the task of another holder's job, and returns its Start.
func (c *evidenceCore) submitDelegated(ticket leased.Ticket, run int) leased.Start {
	c.t.Helper()
	before := len(c.starts)
	c.step(&leased.SubmitDelegated{Ticket: ticket, Task: delegatedTask(run)})
	if len(c.starts) != before+1 {
		c.t.Fatalf("%d starts of run %d, want one", len(c.starts)-before, run)
	}
	return c.starts[before]
}

func (c *evidenceCore) wantAnswers(want int) {
	c.t.Helper()
	if len(c.answers) != want {
		c.t.Fatalf("delegators got the answers %+v, want %d", c.answers, want)
	}
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
// endpoint that was cut off lists it late, because its list was too long at first. The
// delegator would start the task elsewhere.
func TestEndOfEarlierRunDoesNotEndRestartedRun(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	first := c.submitDelegated(1, 1)
	c.answerStart(&first, leased.StartAccepted)
	c.pass(1300 * time.Millisecond)
	c.wantAnswers(1) // the endpoint is lost
	other := leased.EndedRun{Number: 1, Task: leased.TaskID{Job: "other"}, Run: 1, End: leased.EndStopped}
	c.answerHold("e0", leased.HoldReply{Ended: []leased.EndedRun{other}, More: true})
	second := c.submitDelegated(2, 2)
	c.answerStart(&second, leased.StartAccepted)
	c.pass(leased.TickInterval)
	ended := leased.EndedRun{Number: 2, Task: first.Task, Run: first.Run, End: leased.EndLapsed}
	c.answerHold("e0", leased.HoldReply{Ended: []leased.EndedRun{ended}, Running: []leased.ActiveRun{{Task: second.Task, Run: second.Run}}})
	c.pass(100 * time.Millisecond)
	c.wantAnswers(1)
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

// Guards against the answer of one endpoint to a Stop that counts for a run with the same
// number on another one: holders number the runs of a task on their own.
func TestAnsweredStopElsewhereProvesNoEnd(t *testing.T) {
	c := newEvidenceCore(t, "e0", "e1")
	first := c.submit("j")
	c.answerStart(&first, leased.StartUnanswered)
	other := leased.EndpointID("e1")
	if first.Endpoint == other {
		other = "e0"
	}
	c.step(&leased.Cancel{Ticket: 1})
	c.step(&leased.StopReply{Endpoint: other, Task: first.Task, Run: first.Run, Answered: true})
	c.now = c.now.Add(time.Millisecond)
	job := resubmitted(singleTaskJob("j"))
	job.OnlyHolder = true
	c.step(&leased.Submit{Ticket: 2, Job: job})
	for range 3 { // the first of them was sent before the Stop was answered
		c.pass(leased.TickInterval)
		c.answerHold(first.Endpoint, leased.HoldReply{})
	}
	c.wantRuns(first.Task, 1)
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

// search submits the question for the earlier runs of the task, as run 3.
func (c *evidenceCore) search(ticket leased.Ticket) {
	task := delegatedTask(3)
	task.Adopt = true
	c.step(&leased.SubmitDelegated{Ticket: ticket, Task: task})
}

// listedLongEnough is the time after which a new holder knows all endpoints of a cell.
const listedLongEnough = 800 * time.Millisecond

// Guards against a search that is answered by lists from before it: the run may have
// been started since.
func TestSearchNeedsNewLists(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	c.pass(listedLongEnough)
	c.search(1)
	c.wantAnswers(0)
	c.answerHold("e0", leased.HoldReply{})
	c.wantAnswers(1)
}

// Guards against a search that is answered before all endpoints of the cell are known.
func TestSearchWaitsForLateEndpoints(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	c.pass(leased.TickInterval)
	c.search(1)
	c.pass(leased.TickInterval)
	c.answerHold("e0", leased.HoldReply{})
	c.pass(leased.TickInterval)
	c.wantAnswers(0)
}

// Guards against a search that passes over an endpoint that is no longer announced, and
// that runs tasks.
func TestSearchAsksUnannouncedEndpoints(t *testing.T) {
	c := newEvidenceCore(t, "e0", "e1")
	other := c.submit("other")
	c.answerStart(&other, leased.StartAccepted)
	rest := leased.EndpointID("e1")
	if other.Endpoint == rest {
		rest = "e0"
	}
	c.endpoints = slices.DeleteFunc(c.endpoints, func(e leased.Endpoint) bool { return e.ID != rest })
	c.step(&leased.SetEndpoints{Endpoints: c.endpoints})
	c.pass(listedLongEnough)
	c.search(1)
	c.pass(leased.TickInterval)
	c.answerHold(rest, leased.HoldReply{})
	c.pass(leased.TickInterval)
	c.wantAnswers(0)
}

// Guards against a search that is answered as if the run were over, because an endpoint
// has not listed its runs in time.
func TestSearchWithoutListsFindsNoEnd(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	c.pass(listedLongEnough)
	c.search(1)
	c.pass(1300 * time.Millisecond)
	c.wantAnswers(1)
	if end := c.answers[0].End; end != leased.EndUnknown {
		t.Errorf("the search is answered with %v, want unknown", end)
	}
}

// Guards against a search that is answered as if the run were over while it is being
// stopped.
func TestSearchWaitsForStoppedRun(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	first := c.submit("j")
	c.answerStart(&first, leased.StartAccepted)
	c.pass(listedLongEnough)
	c.step(&leased.Cancel{Ticket: 1})
	if len(c.stops) != 1 {
		t.Fatalf("%d stops, want one", len(c.stops))
	}
	c.search(2)
	c.answerHold("e0", leased.HoldReply{Running: []leased.ActiveRun{{Task: first.Task, Run: first.Run}}})
	c.pass(leased.TickInterval)
	c.wantAnswers(0)
}

// Guards against a holder's word that there is no run of a task that it may start itself.
func TestSearchIsNotAnsweredWhileJobIsHere(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	c.pass(listedLongEnough)
	job := resubmitted(singleTaskJob("j"))
	job.CallerTimeout = time.Minute
	c.step(&leased.Submit{Ticket: 1, Job: job})
	c.search(2)
	for range 2 {
		c.pass(leased.TickInterval)
		c.answerHold("e0", leased.HoldReply{})
	}
	c.wantAnswers(0)
}

// Guards against a delegated task that arrives after the search for it was answered.
func TestOvertakenDelegationStartsNothing(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	c.pass(listedLongEnough)
	c.search(1)
	c.answerHold("e0", leased.HoldReply{})
	c.wantAnswers(1)
	c.step(&leased.SubmitDelegated{Ticket: 2, Task: delegatedTask(2)})
	if len(c.starts) != 0 {
		t.Errorf("started %+v, want no start", c.starts)
	}
}

// fence refuses the newest Hold of an endpoint, because another holder has taken it over.
func (c *evidenceCore) fence(id leased.EndpointID) {
	c.pass(leased.TickInterval)
	c.step(&leased.HoldReply{Endpoint: id, Sequence: c.holds[id].Sequence, Result: leased.HoldFenced})
}

// Guards against a delegate that loses an endpoint to another holder, and tells the
// delegator that the run there is over.
func TestFencedDelegateDoesNotKnowTheEnd(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	first := c.submitDelegated(1, 1)
	c.answerStart(&first, leased.StartAccepted)
	c.fence("e0")
	c.wantAnswers(1)
	if end := c.answers[0].End; end != leased.EndUnknown {
		t.Errorf("answered with %v, want unknown", end)
	}
}

// Guards against runs of an earlier incarnation that count as over before the new one has
// listed its runs: a Start may have reached it.
func TestNewIncarnationProvesNoEndWithoutList(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	first := c.submitDelegated(1, 1)
	c.answerStart(&first, leased.StartAccepted)
	c.endpoints[0].Born = 2
	c.step(&leased.SetEndpoints{Endpoints: c.endpoints})
	c.pass(100 * time.Millisecond)
	c.wantAnswers(0)
	// The new incarnation answers under the earlier token, which it may have got by a Start.
	c.step(&leased.HoldReply{Endpoint: "e0", Sequence: c.holds["e0"].Sequence, Clock: time.Second, IncarnationStart: 2})
	c.pass(100 * time.Millisecond)
	c.wantAnswers(0)
}

// Guards against two runs that may be active on two endpoints, of which only the newer one
// counts: a search for it finds nothing, and the other one may still be active.
func TestDoubtOnTwoEndpointsNeedsMoreThanOneSearch(t *testing.T) {
	c := newEvidenceCore(t, "e0", "e1", "e2")
	c.endpoints[1].Cell, c.endpoints[2].Cell = "d", "x"
	c.hold()
	first := c.submit("j")
	c.answerStart(&first, leased.StartAccepted)
	c.fence(first.Endpoint)
	second := leased.EndpointID("e1")
	if first.Endpoint == second {
		second = "e0"
	}
	c.answerHold(second, leased.HoldReply{Running: []leased.ActiveRun{{Task: first.Task, Run: first.Run}}})
	c.fence(second)
	c.pass(leased.TickInterval)
	c.wantRuns(first.Task, 1)
	cell := map[leased.EndpointID]string{"e0": "c", "e1": "d"}[second]
	c.step(&leased.AnnounceFreeCapacity{Announced: []leased.FreeCapacity{{Holder: 2, Cell: cell}}})
	if len(c.delegations) != 1 || !c.delegations[0].Task.Adopt {
		t.Fatalf("delegations %+v, want a search", c.delegations)
	}
	c.step(&leased.DelegateReply{Task: first.Task, Run: c.delegations[0].Task.Run, End: leased.EndNotRun})
	c.pass(100 * time.Millisecond)
	c.wantRuns(first.Task, 1)
}

// Guards against a run that may be active for longer than one that is lost later.
func TestLongestDoubtCounts(t *testing.T) {
	c := newEvidenceCore(t, "e0", "e1")
	job := resubmitted(singleTaskJob("j"))
	job.CallerTimeout = time.Minute
	c.step(&leased.Submit{Ticket: 1, Job: job})
	task := leased.TaskID{Job: "j"}
	c.pass(listedLongEnough)
	c.search(2) // requests lists
	c.answerHold("e0", leased.HoldReply{Running: []leased.ActiveRun{{Task: task, Run: 1}}})
	c.fence("e0")
	c.pass(1400 * time.Millisecond) // longer than one lease; those of other holders take 2.25 s
	c.wantRuns(task, 0)
}

// remoteCaller is an entry that a core hears only if a test says so.
const remoteCaller = 7

// Guards against a job that is joined with the one that is here, although another holder
// has had it since, which may start its tasks.
func TestReturningJobIsNotJoined(t *testing.T) {
	c := newEvidenceCore(t, "e0", "e1")
	first := c.submit("j")
	c.answerStart(&first, leased.StartAccepted)
	job := resubmitted(singleTaskJob("j"))
	job.CallerTimeout = time.Minute
	c.step(&leased.Submit{Ticket: 2, Job: job})
	if len(c.stops) != 1 {
		t.Errorf("%d stops, want one", len(c.stops))
	}
	c.pass(leased.TickInterval)
	c.answerHold(first.Endpoint, leased.HoldReply{Ended: []leased.EndedRun{{Number: 1, Task: first.Task, Run: first.Run, End: leased.EndStopped}}})
	c.pass(2 * time.Second)
	c.wantRuns(first.Task, 1)
}

// Guards against a task that is started for an entry that is not heard, which may have
// submitted the job elsewhere.
func TestNothingStartsForUnheardEntry(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	job := resubmitted(singleTaskJob("j"))
	job.CallerTimeout = time.Minute
	c.step(&leased.Submit{Ticket: 1, Job: job, Caller: remoteCaller})
	c.pass(3 * time.Second)
	task := leased.TaskID{Job: "j"}
	c.wantRuns(task, 0)
	c.step(&leased.CallerContact{Caller: remoteCaller, HeardAt: c.now})
	c.wantRuns(task, 1)
}

// Guards against a search for a run on behalf of an entry that is not heard: the new
// holder would claim the run, and go on renewing it.
func TestNoSearchForUnheardEntry(t *testing.T) {
	c := newEvidenceCore(t, "e0")
	job := singleTaskJob("j")
	job.CallerTimeout = time.Minute
	c.step(&leased.Submit{Ticket: 1, Job: job, Caller: remoteCaller})
	c.answerStart(&c.starts[0], leased.StartAccepted)
	c.pass(950 * time.Millisecond)
	c.fence("e0")
	c.step(&leased.AnnounceFreeCapacity{Announced: []leased.FreeCapacity{{Holder: 2, Cell: "c"}}})
	c.pass(100 * time.Millisecond)
	if len(c.delegations) != 0 {
		t.Errorf("delegations %+v, want none", c.delegations)
	}
}

// Guards against a delegated task that is started while an earlier run of it may be
// active: one that is being stopped, and one on an endpoint that was lost to another holder.
func TestDelegatedTaskWaitsForEarlierRun(t *testing.T) {
	cases := map[string]func(*evidenceCore, *leased.Start){
		"being stopped": func(*evidenceCore, *leased.Start) {},
		"fenced":        func(c *evidenceCore, s *leased.Start) { c.fence(s.Endpoint) },
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			c := newEvidenceCore(t, "e0", "e1")
			first := c.submit("j")
			c.answerStart(&first, leased.StartAccepted)
			c.pass(leased.TickInterval)
			c.step(&leased.Cancel{Ticket: 1})
			lose(c, &first)
			c.step(&leased.SubmitDelegated{Ticket: 2, Task: delegatedTask(20)})
			c.wantRuns(first.Task, 1)
			c.wantAnswers(1)
			if end := c.answers[0].End; end != leased.EndUnknown {
				t.Errorf("answered with %v, want unknown", end)
			}
		})
	}
}
