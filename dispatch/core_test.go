package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/jobid"
)

var epoch = time.Unix(1_700_000_000, 0)

// harness drives one core with an idempotent service "quote" and a
// non-idempotent one "booking".
type harness struct {
	*Core
	t      *testing.T
	issuer *jobid.Issuer
	now    time.Time
}

func newHarness(t *testing.T, endpoints ...Endpoint) *harness {
	t.Helper()
	issuer, err := jobid.NewIssuer(1, jobid.Key{Number: 1, Secret: make([]byte, jobid.MinKeyBytes)})
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{Core: New(Options{Rand: rand.New(rand.NewPCG(1, 2))}), t: t, issuer: issuer, now: epoch}
	h.step(&SetCatalog{Catalog: &catalog.Catalog{Services: []catalog.Service{
		{Name: "booking", Slots: 2, RunTime: 100 * time.Millisecond, Timeout: time.Second},
		{Name: "quote", Idempotent: true, Slots: 2, RunTime: 100 * time.Millisecond, Timeout: time.Second},
	}}})
	h.step(&SetEndpoints{Endpoints: endpoints})
	return h
}

func endpointsOf(service string, count int) []Endpoint {
	list := make([]Endpoint, count)
	for i := range list {
		list[i] = Endpoint{Name: fmt.Sprintf("%s-%d", service, i), Service: service, Slots: 2}
	}
	return list
}

func (h *harness) step(in Input) *Ready { return h.Step(h.now, in) }

// wait advances the time and applies a Tick.
func (h *harness) wait(d time.Duration) *Ready {
	h.now = h.now.Add(d)
	return h.step(&Tick{})
}

func (h *harness) newID() jobid.ID {
	id, _ := h.issuer.Issue(h.now, time.Hour)
	return id
}

func (h *harness) submit(service string, tasks int) (jobid.ID, *Ready) {
	id := h.newID()
	return id, h.step(&Submit{ID: id, Service: service, Tasks: make([]TaskSpec, tasks)})
}

func (h *harness) wantStarts(r *Ready, want int) []Start {
	h.t.Helper()
	if len(r.Starts) != want {
		h.t.Fatalf("%d starts, want %d: %+v", len(r.Starts), want, r.Starts)
	}
	return append([]Start(nil), r.Starts...)
}

// wantAnswer checks that one job ended with the given code; "" means that it
// has all results.
func (h *harness) wantAnswer(r *Ready, code Code) Answer {
	h.t.Helper()
	if len(r.Answers) != 1 {
		h.t.Fatalf("%d answers, want 1", len(r.Answers))
	}
	got := Code("")
	if r.Answers[0].Problem != nil {
		got = r.Answers[0].Problem.Code
	}
	if got != code {
		h.t.Fatalf("answer has code %q, want %q", got, code)
	}
	return r.Answers[0]
}

func (h *harness) wantRejection(r *Ready, code Code) Problem {
	h.t.Helper()
	if len(r.Rejections) != 1 || r.Rejections[0].Problem.Code != code {
		h.t.Fatalf("rejections %+v, want code %q", r.Rejections, code)
	}
	return r.Rejections[0].Problem
}

func done(s Start) *Done {
	return &Done{Task: s.Task, Attempt: s.Attempt, RunTime: 100 * time.Millisecond, Result: []byte(fmt.Sprint(s.Task.Index))}
}

func TestAnswerHoldsResultsInTaskOrder(t *testing.T) {
	h := newHarness(t, endpointsOf("booking", 1)...)
	_, r := h.submit("booking", 3)
	starts := h.wantStarts(r, 2)
	third := h.wantStarts(h.step(done(starts[1])), 1)
	h.step(done(third[0]))
	answer := h.wantAnswer(h.step(done(starts[0])), "")
	for i, result := range answer.Results {
		if string(result) != fmt.Sprint(i) {
			t.Fatalf("result %d is %q", i, result)
		}
	}
}

func TestLostNonIdempotentTaskIsNotRetried(t *testing.T) {
	h := newHarness(t, endpointsOf("booking", 2)...)
	_, r := h.submit("booking", 1)
	start := h.wantStarts(r, 1)[0]
	r = h.step(&Lost{Task: start.Task, Attempt: 1})
	h.wantStarts(r, 0)
	if h.wantAnswer(r, CodeTaskLost).Problem.Execution != Ran {
		t.Fatal("a job that may have run is reported as not run")
	}
}

func TestUnsentTaskIsRetriedAtAnotherEndpoint(t *testing.T) {
	h := newHarness(t, endpointsOf("booking", 2)...)
	_, r := h.submit("booking", 1)
	first := h.wantStarts(r, 1)[0]
	second := h.wantStarts(h.step(&Lost{Task: first.Task, Attempt: 1, NotSent: true}), 1)[0]
	if second.Attempt != 2 || second.Endpoint == first.Endpoint {
		t.Fatalf("retried at %s as attempt %d, want another endpoint and attempt 2", second.Endpoint, second.Attempt)
	}
}

func TestTaskWithoutReplyEndsWithItsLease(t *testing.T) {
	h := newHarness(t, append(endpointsOf("booking", 1), endpointsOf("quote", 2)...)...)
	h.submit("booking", 1)
	h.wantStarts(h.wait(time.Second), 0)
	h.wantAnswer(h.wait(leaseGrace), CodeTaskLost)

	_, r := h.submit("quote", 1)
	first := h.wantStarts(r, 1)[0]
	again := h.wantStarts(h.wait(time.Second+leaseGrace), 1)[0]
	if again.Endpoint == first.Endpoint {
		t.Fatal("an idempotent task was retried at the endpoint that did not reply")
	}
	h.wantAnswer(h.step(done(again)), "")
}

func TestFailedJobReleasesItsSlots(t *testing.T) {
	h := newHarness(t, endpointsOf("booking", 1)...)
	_, r := h.submit("booking", 2)
	starts := h.wantStarts(r, 2)
	h.wantAnswer(h.step(&Failed{Task: starts[0].Task, Attempt: 1}), CodeTaskFailed)
	h.step(done(starts[1]))
	_, r = h.submit("booking", 2)
	h.wantStarts(r, 2)
}

func TestCancelSendsNoStopForWaitingTasks(t *testing.T) {
	h := newHarness(t, append(endpointsOf("booking", 1), endpointsOf("quote", 1)...)...)
	for _, c := range []struct {
		service string
		stops   int // of the two running tasks
	}{{"booking", 0}, {"quote", 2}} {
		id, _ := h.submit(c.service, 10)
		r := h.step(&Cancel{ID: id})
		h.wantAnswer(r, CodeCancelled)
		if len(r.Stops) != c.stops {
			t.Errorf("%s: %d stops, want %d", c.service, len(r.Stops), c.stops)
		}
		if h.waiting != 0 {
			t.Errorf("%s: %d tasks still wait", c.service, h.waiting)
		}
	}
}

func TestTaskTooLargeForEveryWorkerIsRejected(t *testing.T) {
	e := endpointsOf("booking", 1)
	e[0].Worker, e[0].Capacity = "w", catalog.Resources{MilliCores: 4000, MemoryMiB: 1024}
	h := newHarness(t, e...)
	r := h.step(&Submit{ID: h.newID(), Service: "booking", Tasks: []TaskSpec{{Needs: &catalog.Resources{Accelerators: 1}}}})
	if p := h.wantRejection(r, CodeNeverRuns); p.Execution != NotRun || p.RetryAfter != 0 {
		t.Fatalf("problem %+v", p)
	}
}

func TestEndpointsShareWorkerResources(t *testing.T) {
	list := append(endpointsOf("booking", 1), endpointsOf("quote", 1)...)
	for i := range list {
		list[i].Worker, list[i].Capacity = "w", catalog.Resources{MilliCores: 3000}
	}
	h := newHarness(t, list...)
	needs := &catalog.Resources{MilliCores: 2000}
	r := h.step(&Submit{ID: h.newID(), Service: "booking", Tasks: []TaskSpec{{Needs: needs}}})
	first := h.wantStarts(r, 1)[0]
	h.wantStarts(h.step(&Submit{ID: h.newID(), Service: "quote", Tasks: []TaskSpec{{Needs: needs}}}), 0)
	h.wantStarts(h.step(done(first)), 1)
}

func TestPlacementFollowsMembershipState(t *testing.T) {
	list := endpointsOf("booking", 3)
	list[0].State, list[1].State = EndpointLeaving, EndpointSuspect
	h := newHarness(t, list...)
	_, r := h.submit("booking", 5)
	counts := map[string]int{}
	for i, s := range h.wantStarts(r, 4) {
		counts[s.Endpoint]++
		if i < 2 && s.Endpoint != "booking-2" {
			t.Errorf("start %d went to %s while a live endpoint had a free slot", i, s.Endpoint)
		}
	}
	if counts["booking-0"] != 0 {
		t.Error("a leaving endpoint got tasks")
	}
}

func TestEndpointThatRefusesAsDrainingGetsNoNewTasks(t *testing.T) {
	h := newHarness(t, endpointsOf("booking", 1)...)
	_, r := h.submit("booking", 1)
	start := h.wantStarts(r, 1)[0]
	h.wantStarts(h.step(&Refused{Task: start.Task, Attempt: 1, Reason: RefusedDraining}), 0)
	r = h.wait(noEndpointGrace)
	for range 3 {
		if len(r.Answers) > 0 {
			break
		}
		r = h.wait(noEndpointGrace)
	}
	if h.wantAnswer(r, CodeNoEndpoint).Problem.Execution != NotRun {
		t.Fatal("a job whose only attempt was refused is reported as run")
	}
}

func TestFailingEndpointIsEjectedAndReadmitted(t *testing.T) {
	h := newHarness(t, endpointsOf("quote", 6)...)
	const bad = "quote-3"
	serve := func(rounds int, broken bool) (sentToBad int) {
		for range rounds {
			h.now = h.now.Add(10 * time.Millisecond)
			_, r := h.submit("quote", 1)
			for pending := h.wantStarts(r, 1); len(pending) > 0; {
				s := pending[0]
				if s.Endpoint == bad {
					sentToBad++
				}
				if s.Endpoint == bad && broken {
					r = h.step(&Failed{Task: s.Task, Attempt: s.Attempt})
				} else {
					r = h.step(done(s))
				}
				pending = append([]Start(nil), r.Starts...)
			}
		}
		return sentToBad
	}
	serve(60, false)
	if n := serve(200, true); n > 10 {
		t.Errorf("%d of 200 tasks went to an endpoint that fails all of them", n)
	}
	if n := serve(200, true); n != 0 {
		t.Errorf("%d tasks went to an ejected endpoint", n)
	}
	h.wait(time.Minute)
	if n := serve(100, false); n < 5 {
		t.Errorf("%d of 100 tasks went to a recovered endpoint, want 5 or more", n)
	}
}

func TestPoisonTaskDoesNotEjectEndpoints(t *testing.T) {
	h := newHarness(t, endpointsOf("quote", 4)...)
	for range 40 {
		_, r := h.submit("quote", 1)
		h.step(done(h.wantStarts(r, 1)[0]))
	}
	for range 10 {
		_, r := h.submit("quote", 1)
		attempts := 0
		for len(r.Answers) == 0 {
			s := h.wantStarts(r, 1)[0]
			attempts++
			r = h.step(&Failed{Task: s.Task, Attempt: s.Attempt})
		}
		h.wantAnswer(r, CodeTaskFailed)
		if attempts > 2 {
			t.Fatalf("a poison task was tried %d times", attempts)
		}
		for range 4 {
			_, r := h.submit("quote", 1)
			h.step(done(h.wantStarts(r, 1)[0]))
		}
	}
	if got := h.services["quote"].pool.Slots(); got != 8 {
		t.Fatalf("%d of 8 slots are left", got)
	}
}

func TestQuotaRejectionNamesRetryAfter(t *testing.T) {
	h := newHarness(t, endpointsOf("quote", 4)...)
	h.step(&SetCatalog{Catalog: &catalog.Catalog{
		Services: h.catalog.Services,
		Teams:    []catalog.Team{{Name: "a", Weight: 1, TasksPerSecond: 2, Burst: 4}},
	}})
	ask := func() *Ready {
		return h.step(&Submit{ID: h.newID(), Team: "a", Service: "quote", Tasks: make([]TaskSpec, 3)})
	}
	h.wantStarts(ask(), 3)
	problem := h.wantRejection(ask(), CodeQuota)
	if problem.RetryAfter != time.Second {
		t.Fatalf("retry after %v, want 1s", problem.RetryAfter)
	}
	h.now = h.now.Add(problem.RetryAfter)
	h.wantStarts(ask(), 3)
}

func TestNestedJobInheritsArrivalOfItsTrace(t *testing.T) {
	h := newHarness(t, endpointsOf("booking", 1)...)
	submit := func(trace string) (jobid.ID, *Ready) {
		id := h.newID()
		return id, h.step(&Submit{ID: id, Service: "booking", TraceID: trace, Tasks: make([]TaskSpec, 1)})
	}
	_, first := submit("outer")
	running := h.wantStarts(first, 1)
	submit("other")
	h.now = h.now.Add(time.Second / 2)
	submit("late")
	nested, _ := submit("outer")
	next := h.wantStarts(h.step(done(running[0])), 1)[0]
	if next.Task.Job != nested {
		t.Fatal("a later job started before one that an older request waits for")
	}
}

func TestEntriesDivideSlots(t *testing.T) {
	total := 0
	for rank := range 3 {
		h := newHarness(t, endpointsOf("booking", 5)...)
		h.step(&SetShare{Rank: rank, Entries: 3})
		_, r := h.submit("booking", 20)
		total += len(r.Starts)
	}
	if total != 10 {
		t.Fatalf("three entries filled %d of 10 slots", total)
	}
}

func TestIdempotentTasksAreRetriedWhenTheirEndpointIsSuspect(t *testing.T) {
	list := endpointsOf("quote", 2)
	h := newHarness(t, list...)
	_, r := h.submit("quote", 1)
	first := h.wantStarts(r, 1)[0]
	for i := range list {
		if list[i].Name == first.Endpoint {
			list[i].State = EndpointSuspect
		}
	}
	second := h.wantStarts(h.step(&SetEndpoints{Endpoints: list}), 1)[0]
	if second.Endpoint == first.Endpoint {
		t.Fatal("the task was retried at the suspect endpoint")
	}
	h.wantAnswer(h.step(done(second)), "")
	if r := h.step(done(first)); len(r.Answers) != 0 {
		t.Fatal("a second result answered the job again")
	}
}

func TestCancelledJobReleasesSlotsWhenItsTasksEnd(t *testing.T) {
	h := newHarness(t, endpointsOf("booking", 1)...)
	id, r := h.submit("booking", 2)
	starts := h.wantStarts(r, 2)
	h.step(&Cancel{ID: id})
	_, r = h.submit("booking", 2)
	h.wantStarts(r, 0)
	for _, s := range starts {
		h.step(done(s))
	}
	if len(h.jobs) != 1 || h.services["booking"].pool.Running() != 2 {
		t.Fatalf("%d jobs remain, %d tasks run; want 1 and 2", len(h.jobs), h.services["booking"].pool.Running())
	}
}

func TestIdleSystemAdmitsEveryJob(t *testing.T) {
	h := newHarness(t, endpointsOf("quote", 1)...)
	_, r := h.submit("quote", 1)
	slow := done(h.wantStarts(r, 1)[0])
	slow.RunTime = time.Minute
	h.step(slow)
	_, r = h.submit("quote", 760)
	h.wantStarts(r, 2)
}

func TestFullEndpointIsPaused(t *testing.T) {
	h := newHarness(t, endpointsOf("booking", 1)...)
	_, r := h.submit("booking", 1)
	for range 20 { // more than the allowed attempts that are proved not to have started
		start := h.wantStarts(r, 1)[0]
		second := h.wantStarts(h.step(&Refused{Task: start.Task, Attempt: start.Attempt, Reason: RefusedFull}), 1)[0]
		h.wantStarts(h.step(&Refused{Task: second.Task, Attempt: second.Attempt, Reason: RefusedFull}), 0)
		r = h.wait(pauseAfterFull)
	}
}

// TestAnswerCacheIsBoundedInBytes also guards against reporting a job as not run
// after its answer was evicted.
func TestAnswerCacheIsBoundedInBytes(t *testing.T) {
	h := newHarness(t, endpointsOf("quote", 1)...)
	h.opts.MaxAnswerBytes = 1000
	finish := func(size int) jobid.ID {
		id, r := h.submit("quote", 1)
		h.wantStarts(r, 1)
		h.step(&Done{Task: TaskRef{Job: id}, Attempt: 1, RunTime: time.Millisecond, Result: make([]byte, size)})
		return id
	}
	first, second, large := finish(600), finish(300), finish(5000)
	for _, id := range []jobid.ID{first, second} {
		r := h.step(&Ask{ID: id})
		if len(r.Rejections) != 1 || r.Rejections[0].Problem.Execution == NotRun {
			t.Fatalf("ask for an evicted answer: %+v", r)
		}
	}
	if r := h.step(&Ask{ID: large}); len(r.Answers) != 1 || len(r.Answers[0].Results[0]) != 5000 {
		t.Fatalf("the newest answer was evicted: %+v", r.Rejections)
	}
}
