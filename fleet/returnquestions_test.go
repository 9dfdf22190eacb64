package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// answeringEntries are other entries whose answers a test decides.
type answeringEntries struct {
	*returnQuestions
	calls  atomic.Int64
	answer askFunc
}

// newAnsweringEntries returns a number of entries that were heard just now.
func newAnsweringEntries(n int, answer askFunc) *answeringEntries {
	a := &answeringEntries{answer: answer}
	m := newMetrics(func() float64 { return 0 })
	claimsEnd := Settings{MaxLease: time.Second}.claimsEnd()
	a.returnQuestions = newReturnQuestions(1, a.count, newRecentEntries(claimsEnd), claimsEnd, guard{zap.NewNop(), m}, m, zap.NewNop())
	for i := range n {
		a.heard(i)
	}
	return a
}

func (a *answeringEntries) count(to cells.Entry, jobs []returnedJob) (*fleetpb.EndSubmissionsResponse, error) {
	a.calls.Add(1)
	return a.answer(to, jobs)
}

// heard records a heartbeat of entry i.
func (a *answeringEntries) heard(i int) {
	a.recent.record(cells.Entry{Name: fmt.Sprint("x", i), Incarnation: cells.Incarnation(i + 2)}, time.Now())
}

// keepHeard sends heartbeats of entry 0 until the test ends.
func (a *answeringEntries) keepHeard(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			a.heard(0)
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

func hasNone(cells.Entry, []returnedJob) (*fleetpb.EndSubmissionsResponse, error) {
	return &fleetpb.EndSubmissionsResponse{}, nil
}

// Guards against a job that starts while an entry that may have it has not answered, and
// against one that waits although nothing can be left of it.
func TestDecisionAboutAReturnedJob(t *testing.T) {
	ended := &fleetpb.EndedSubmission{Id: "j", Holders: []uint64{7}}
	answers := func(r *fleetpb.EndSubmissionsResponse) askFunc {
		return func(cells.Entry, []returnedJob) (*fleetpb.EndSubmissionsResponse, error) { return r, nil }
	}
	fails := func(err error) askFunc {
		return func(cells.Entry, []returnedJob) (*fleetpb.EndSubmissionsResponse, error) { return nil, err }
	}
	for name, c := range map[string]struct {
		entries  int
		answer   askFunc
		silent   bool // no heartbeats meanwhile
		want     returnDecision
		min, max time.Duration
	}{
		"no other entry":              {0, hasNone, false, returnNew, 0, answerTimeout},
		"none has it":                 {3, hasNone, false, returnNew, 0, answerTimeout},
		"one has it":                  {1, answers(&fleetpb.EndSubmissionsResponse{Ended: []*fleetpb.EndedSubmission{ended}}), false, returnResubmitted, 0, answerTimeout},
		"one has a later one":         {1, answers(&fleetpb.EndSubmissionsResponse{Ended: []*fleetpb.EndedSubmission{{Id: "j", Newer: true}}}), false, returnOver, 0, answerTimeout},
		"it has ended there":          {1, answers(&fleetpb.EndSubmissionsResponse{Ended: []*fleetpb.EndedSubmission{{Id: "j", Answered: true}}}), false, returnOver, 0, answerTimeout},
		"unknown holders":             {1, answers(&fleetpb.EndSubmissionsResponse{Ended: []*fleetpb.EndedSubmission{{Id: "j", UnknownHolders: true}}}), false, returnResubmitted, 0, answerTimeout},
		"no answer":                   {1, fails(errors.New("timeout")), false, returnUnanswered, answerTimeout, 1250 * time.Millisecond},
		"no answer and no heartbeats": {1, fails(errors.New("timeout")), true, returnNew, 1200 * time.Millisecond, 3 * time.Second},
		"another incarnation":         {1, fails(twirp.FailedPrecondition.Error("x")), false, returnUnanswered, answerTimeout, 1250 * time.Millisecond},
		"an earlier version":          {1, fails(twirp.NewError(twirp.BadRoute, "x")), false, returnNew, 0, answerTimeout},
		"malformed answer":            {1, answers(&fleetpb.EndSubmissionsResponse{Ended: []*fleetpb.EndedSubmission{{Id: "other"}}}), false, returnUnanswered, answerTimeout, 1250 * time.Millisecond},
		"others hear one more":        {1, answers(&fleetpb.EndSubmissionsResponse{Heard: []uint64{1, 2, 99}}), false, returnUnanswered, 0, answerTimeout},
		"others hear the same":        {1, answers(&fleetpb.EndSubmissionsResponse{Heard: []uint64{1, 2}}), false, returnNew, 0, answerTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newAnsweringEntries(c.entries, c.answer)
			if c.entries == 1 && !c.silent {
				a.keepHeard(t)
			}
			began := time.Now()
			q := a.ask(returnedJob{"j", time.Second})
			receiveFrom(t, q.decided)
			took := time.Since(began)
			found := q.take()
			history := &holderHistory{}
			job := &leased.Job{ID: "j"}
			got, _ := found.apply(job, history)
			if got != c.want || took < c.min {
				t.Errorf("%s after %v, want %s after %v at least", got, took, c.want, c.min)
			}
			if took > c.max {
				t.Logf("took %v, more than %v: the machine is busy", took, c.max)
			}
			if want := c.want == returnResubmitted || c.want == returnUnanswered; job.Resubmitted != want {
				t.Errorf("resubmitted %t, want %t", job.Resubmitted, want)
			}
		})
	}
}

// Guards against a job that goes to another holder, and waits, although its only holder
// knows its runs; and against one that starts at once although another holder may have it.
func TestHistoryOfAnEarlierSubmission(t *testing.T) {
	x := cells.Entry{Incarnation: 7}
	for name, c := range map[string]struct {
		found     returnFindings
		only      bool
		preferred cells.Incarnation
	}{
		"one holder":            {returnFindings{submissions: []foundSubmission{{earlierSubmission: earlierSubmission{holders: []cells.Incarnation{7}}}}}, true, 7},
		"two holders":           {returnFindings{submissions: []foundSubmission{{earlierSubmission: earlierSubmission{holders: []cells.Incarnation{8, 7}}}}}, false, 7},
		"one and unknown":       {returnFindings{submissions: []foundSubmission{{earlierSubmission: earlierSubmission{holders: []cells.Incarnation{7}, unknownHolders: true}}}}, false, 7},
		"one and one no answer": {returnFindings{unanswered: 1, submissions: []foundSubmission{{earlierSubmission: earlierSubmission{holders: []cells.Incarnation{7}}}}}, false, 7},
	} {
		t.Run(name, func(t *testing.T) {
			job, history := &leased.Job{ID: "j"}, &holderHistory{}
			c.found.apply(job, history)
			only := !history.unknown && history.lost.only(x)
			if !job.Resubmitted || only != c.only || history.preferred != c.preferred {
				t.Errorf("resubmitted %t, only holder %t, preferred %d, want true, %t, %d", job.Resubmitted, only, history.preferred, c.only, c.preferred)
			}
		})
	}
}

// Guards against a rejection, which says that nothing was run, if an entry that may have
// begun the job has not answered.
func TestRejectionElsewhereIsNotRepeated(t *testing.T) {
	rejected := foundSubmission{earlierSubmission: earlierSubmission{answered: true, outcome: Outcome{Verdict: leased.Rejected}}}
	for unanswered, want := range map[int]leased.Verdict{0: leased.Rejected, 1: leased.Abandoned} {
		found := returnFindings{submissions: []foundSubmission{rejected}, unanswered: unanswered}
		if _, got := found.apply(&leased.Job{}, &holderHistory{}); got.Verdict != want {
			t.Errorf("%d unanswered: %v, want %v", unanswered, got.Verdict, want)
		}
	}
}

// Guards against a run that goes on although the entry of an earlier submission has
// answered at last: the job must be submitted once more, as a resubmitted one.
func TestLateAnswerSubmitsTheJobOnceMore(t *testing.T) {
	pending := newPendingAnswer()
	s, x, y := breakingHolders(t, false, pending.wait, completesJob)
	release := make(chan struct{})
	a := newAnsweringEntries(1, func(cells.Entry, []returnedJob) (*fleetpb.EndSubmissionsResponse, error) {
		<-release
		return &fleetpb.EndSubmissionsResponse{Ended: []*fleetpb.EndedSubmission{{Id: "j", Holders: []uint64{9}}}}, nil
	})
	a.keepHeard(t)
	s.questions = a.returnQuestions
	outcome := make(chan Outcome, 1)
	go func() {
		outcome <- s.Submit(context.Background(), leased.Job{ID: "j", Waited: time.Second, CallerTimeout: 10 * time.Second})
	}()
	receiveFrom(t, pending.began)
	close(release)
	if got := receiveFrom(t, outcome); got.Verdict != leased.Completed {
		t.Errorf("%+v, want completed", got)
	}
	calls := 0
	for _, e := range []*fakeEntry{x, y} {
		for len(e.submits) > 0 {
			calls++
			if r := receiveFrom(t, e.submits); !r.Resubmitted || r.OnlyHolder {
				t.Errorf("call: resubmitted %t, only holder %t, want true, false", r.Resubmitted, r.OnlyHolder)
			}
		}
	}
	if calls != 2 {
		t.Errorf("%d calls, want 2", calls)
	}
}

// Guards against an entry that was frozen or cut off while its caller came back here: it is
// not asked while it is silent, and submits the job once more when it is heard again.
func TestEntryThatIsHeardAgainIsAsked(t *testing.T) {
	asked := make(chan []returnedJob, 100)
	a := newAnsweringEntries(0, func(_ cells.Entry, jobs []returnedJob) (*fleetpb.EndSubmissionsResponse, error) {
		asked <- jobs
		return &fleetpb.EndSubmissionsResponse{Ended: []*fleetpb.EndedSubmission{{Id: "j", Holders: []uint64{9}}}}, nil
	})
	a.recent.isHeard = a.askAgain
	q := a.ask(returnedJob{"j", time.Second})
	ended := a.ask(returnedJob{"k", time.Second})
	receiveFrom(t, q.decided)
	receiveFrom(t, ended.decided)
	a.end(ended)
	a.heard(0)
	if jobs := receiveFrom(t, asked); len(jobs) != 1 || jobs[0].id != "j" {
		t.Errorf("asked for %v, want j", jobs)
	}
	receiveFrom(t, q.late)
	a.heard(0)
	time.Sleep(20 * time.Millisecond)
	if len(asked) != 0 {
		t.Error("asked once more at the next heartbeat")
	}
	a.end(q)
	a.recent.entries = make(map[cells.Incarnation]recentEntry)
	a.heard(0)
	time.Sleep(20 * time.Millisecond)
	if len(asked) != 0 || len(a.active) != 0 {
		t.Errorf("asked for a job that has ended, or %d questions are kept", len(a.active))
	}
}

// Guards against a job that is submitted once more, and waits, because an entry had it
// that has submitted it to no holder.
func TestLateAnswerWithoutHoldersChangesNothing(t *testing.T) {
	q := newReturnQuestion(returnedJob{"j", time.Second})
	q.decide(1, 1, 0)
	q.add(foundSubmission{})
	if len(q.late) != 0 {
		t.Error("a late answer without holders counts")
	}
	q.add(foundSubmission{earlierSubmission: earlierSubmission{unknownHolders: true}})
	if len(q.late) != 1 {
		t.Error("a late answer with unknown holders does not count")
	}
}

// serveService serves the calls of other entries to a service, and returns its entry.
func serveService(t *testing.T, s *Service) cells.Entry {
	t.Helper()
	h := httptest.NewUnstartedServer(fleetpb.NewFleetServer(&server{loop: s.loop, peers: s.peers, service: s}))
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	h.Config.Protocols = protocols
	h.Start()
	t.Cleanup(h.Close)
	return cells.Entry{Name: "e", Address: strings.TrimPrefix(h.URL, "http://"), Incarnation: s.peers.self}
}

// Guards against a submission that goes on after its caller has come back to another
// entry, and against the end of one that its caller has sent later, or that is a duplicate.
func TestEndSubmissions(t *testing.T) {
	for name, c := range map[string]struct {
		age      time.Duration // of the submission, whose caller waited for 2 s
		patience time.Duration // of the returned caller
		found    bool
		newer    bool
	}{
		"earlier":                 {1300 * time.Millisecond, 700 * time.Millisecond, true, false},
		"later":                   {time.Second, 3 * time.Second, true, true},
		"full deadline once more": {1300 * time.Millisecond, 2 * time.Second, true, false},
		"duplicate":               {10 * time.Millisecond, 2 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := testLoop(t, nil)
			s := newService(l, l.peers, zap.NewNop(), l.metrics)
			sub := &submission{receivedAt: time.Now().Add(-c.age), patience: 2 * time.Second, ended: make(chan struct{})}
			sub.outcome.Verdict = leased.Abandoned
			sub.history.lost = lostHolders{5}
			cancelled := false
			sub.cancel = func() { cancelled = true; close(sub.ended) }
			s.running["j"] = sub
			got, found := s.endSubmissions(context.Background(), 9, []returnedJob{{"j", c.patience}, {"k", time.Second}})["j"]
			if found != c.found || got.newer != c.newer || cancelled != (c.found && !c.newer) {
				t.Errorf("found %t, newer %t, cancelled %t, want %t, %t", found, got.newer, cancelled, c.found, c.newer)
			}
			if cancelled && (len(got.holders) != 1 || got.holders[0] != 5 || got.answered) {
				t.Errorf("%+v, want holder 5 and no answer", got)
			}
		})
	}
}

// Guards against a request that a cut has held up, and that starts a job which its caller
// has sent to another entry since.
func TestRequestHeldUpAsksForLaterOnes(t *testing.T) {
	l := testLoop(t, nil)
	s := newService(l, l.peers, zap.NewNop(), l.metrics)
	s.endSubmissions(context.Background(), 9, []returnedJob{{"j", time.Second}})
	for patience, want := range map[time.Duration]bool{2 * time.Second: true, time.Second: false, time.Millisecond: false} {
		if got := s.mayHaveReturned(&leased.Job{ID: "j", CallerTimeout: patience}); got != want {
			t.Errorf("patience %v: asks %t, want %t", patience, got, want)
		}
	}
	if s.mayHaveReturned(&leased.Job{ID: "k", CallerTimeout: time.Minute}) {
		t.Error("asks for a job that nobody has asked for")
	}
}

// Guards against a job with long tasks that starts at once although its caller may have
// come back, because it has more time left than its queue gives, and against a question for
// each job with short tasks.
func TestJobsWithMoreTimeThanTheirQueueGives(t *testing.T) {
	l := testLoop(t, nil)
	l.snapshot.Store(&Snapshot{Configuration: &Configuration{Queues: []Queue{{Name: "q", Timeout: time.Second}, {Name: "unlimited"}}}})
	s := newService(l, l.peers, zap.NewNop(), l.metrics)
	for _, c := range []struct {
		queue              string
		patience, estimate time.Duration
		want               bool
	}{
		{"q", 2 * time.Second, longRun, true}, {"q", 2 * time.Second, 0, true}, {"q", 2 * time.Second, longRun - 1, false},
		{"q", time.Second, longRun, false}, {"unlimited", 2 * time.Second, longRun, false}, {"unknown", 2 * time.Second, longRun, false},
	} {
		job := &leased.Job{ID: "j", Queue: c.queue, CallerTimeout: c.patience, Steps: []leased.Step{{Tasks: 1, Estimate: c.estimate}}}
		if got := s.mayHaveReturned(job); got != c.want {
			t.Errorf("queue %s, %v left, estimate %v: asks %t, want %t", c.queue, c.patience, c.estimate, got, c.want)
		}
	}
}

// Guards against memory that grows with the jobs that others ask for.
func TestAskedJobsAreBounded(t *testing.T) {
	a := &askedJobs{}
	now := time.Now()
	for i := range 3 * maxAskedJobs {
		a.add(now, []returnedJob{{leased.JobID(fmt.Sprint(i)), time.Second}})
	}
	if len(a.present) != maxAskedJobs {
		t.Errorf("%d jobs are remembered, want %d", len(a.present), maxAskedJobs)
	}
	for range 2 {
		now = now.Add(askedJobsPeriod + time.Millisecond)
		a.add(now, nil)
	}
	if a.sentLater(returnedJob{"0", time.Minute}) {
		t.Error("a job is remembered for more than two periods")
	}
}

// Guards against a malformed request of which a part is executed, against one that is
// meant for an earlier incarnation, and against one of any size.
func TestMalformedRequestEndsNoSubmission(t *testing.T) {
	valid := func() *fleetpb.EndSubmissionsRequest {
		return returnedJobsToPB([]returnedJob{{"j", time.Second}}, 9, 1)
	}
	for name, spoil := range map[string]func(*fleetpb.EndSubmissionsRequest){
		"no sender":         func(r *fleetpb.EndSubmissionsRequest) { r.From = 0 },
		"other incarnation": func(r *fleetpb.EndSubmissionsRequest) { r.To = 2 },
		"no ID":             func(r *fleetpb.EndSubmissionsRequest) { r.Jobs = append(r.Jobs, &fleetpb.ReturnedJob{}) },
		"long ID": func(r *fleetpb.EndSubmissionsRequest) {
			r.Jobs = append(r.Jobs, &fleetpb.ReturnedJob{Id: strings.Repeat("x", maxJobIDBytes+1)})
		},
		"negative time": func(r *fleetpb.EndSubmissionsRequest) {
			r.Jobs = append(r.Jobs, &fleetpb.ReturnedJob{Id: "k", PatienceUs: -1})
		},
		"too many": func(r *fleetpb.EndSubmissionsRequest) {
			for range maxReturnedJobs {
				r.Jobs = append(r.Jobs, &fleetpb.ReturnedJob{Id: "k"})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := testLoop(t, nil)
			s := newService(l, l.peers, zap.NewNop(), l.metrics)
			s.running["j"] = &submission{patience: time.Minute, cancel: func() { t.Error("the submission was ended") }, ended: make(chan struct{})}
			request := valid()
			spoil(request)
			if _, err := (&server{loop: l, peers: l.peers, service: s}).EndSubmissions(context.Background(), request); err == nil {
				t.Error("the request was accepted")
			}
		})
	}
}

// Guards against answers that are lost on the wire format: the question and the answer
// between two services over a connection.
func TestEndSubmissionsOverAConnection(t *testing.T) {
	had, asks := testLoop(t, nil), testLoop(t, nil)
	s := newService(had, had.peers, zap.NewNop(), had.metrics)
	had.recent.record(cells.Entry{Name: "y", Incarnation: 77}, time.Now())
	sub := &submission{patience: 2 * time.Second, receivedAt: time.Now().Add(-time.Second), ended: make(chan struct{})}
	sub.outcome = Outcome{Verdict: leased.Rejected, Reason: "queue", RetryAfter: time.Second}
	sub.history = holderHistory{lost: lostHolders{5, 6}, unknown: true}
	sub.cancel = func() { close(sub.ended) }
	s.running["j"] = sub
	asks.peers.self = 9
	reply, err := asks.peers.endSubmissions(serveService(t, s), []returnedJob{{"j", time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	found, err := earlierSubmissionsFromPB(reply, map[leased.JobID]*returnQuestion{"j": newReturnQuestion(returnedJob{})})
	got := found["j"]
	if err != nil || !got.answered || got.outcome != sub.outcome || fmt.Sprint(got.holders) != "[5 6]" || !got.unknownHolders || got.age < time.Second {
		t.Errorf("%+v, %v", got, err)
	}
	if len(reply.Heard) != 1 || reply.Heard[0] != 77 {
		t.Errorf("heard %v, want 77", reply.Heard)
	}
}

// Guards against a message for each returned caller: all callers of a killed zone come back
// within a second, at a fleet of 35 entries.
func TestMessagesForManyReturnedCallers(t *testing.T) {
	const callers, others = 3000, 34
	a := newAnsweringEntries(others, hasNone)
	began := time.Now()
	var questions []*returnQuestion
	for i := range callers {
		questions = append(questions, a.ask(returnedJob{leased.JobID(fmt.Sprintf("%016x", i)), time.Second}))
		if i%10 == 9 {
			time.Sleep(3 * time.Millisecond) // about 3,000 per second
		}
	}
	for _, q := range questions {
		receiveFrom(t, q.decided)
	}
	took := time.Since(began)
	rounds := took/(3*questionInterval) + 2 // three groups of entries
	calls := a.calls.Load()
	t.Logf("%d messages in %v for %d callers: %.2f each", calls, took, callers, float64(calls)/callers)
	if calls > int64(rounds)*others {
		t.Errorf("%d messages in %v, want %d at most", calls, took, int64(rounds)*others)
	}
}

// Guards against memory that grows with the returned callers while entries do not answer.
func TestOpenQuestionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	a := newAnsweringEntries(1, func(cells.Entry, []returnedJob) (*fleetpb.EndSubmissionsResponse, error) {
		<-release
		return hasNone(cells.Entry{}, nil)
	})
	defer close(release)
	a.keepHeard(t)
	a.open = maxOpenQuestions
	q := a.ask(returnedJob{"j", time.Second})
	receiveFrom(t, q.decided)
	if found := q.take(); found.unanswered == 0 || len(a.waiting) != 0 {
		t.Errorf("%+v, %d waiting, want unanswered and none", found, len(a.waiting))
	}
}
