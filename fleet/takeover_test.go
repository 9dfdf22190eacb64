package fleet

import (
	"context"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/peer/fleetpb"
)

// pendingAnswer is a holder's answer that is given on request. Without one the holder
// has the job until the call is cancelled.
type pendingAnswer struct {
	began  chan struct{} // one value for each call
	answer chan *fleetpb.SubmitResponse
}

func newPendingAnswer() *pendingAnswer {
	return &pendingAnswer{began: make(chan struct{}, 100), answer: make(chan *fleetpb.SubmitResponse)}
}

func (p *pendingAnswer) wait(ctx context.Context, _ *Loop) (*fleetpb.SubmitResponse, error) {
	p.began <- struct{}{}
	select {
	case r := <-p.answer:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// submitAsync submits job j in a goroutine.
func submitAsync(ctx context.Context, s *Service) <-chan Outcome {
	outcome := make(chan Outcome, 1)
	go func() { outcome <- s.Submit(ctx, leased.Job{ID: "j", CallerTimeout: 10 * time.Second}) }()
	return outcome
}

// Guards against a job that is submitted again, while its first submission has not
// ended here, and goes to another holder as a new job: that one starts the tasks at once,
// while the first holder still runs them.
func TestSecondSubmissionTakesOverFromTheFirst(t *testing.T) {
	pending := newPendingAnswer()
	s, x, y := breakingHolders(t, false, pending.wait, completesJob)
	first := submitAsync(context.Background(), s)
	receiveFrom(t, pending.began)
	second := submitAsync(context.Background(), s)
	if got := receiveFrom(t, second); got.Verdict != leased.Completed {
		t.Errorf("second submission: %+v, want completed", got)
	}
	if len(x.submits) != 2 || len(y.submits) != 0 {
		t.Fatalf("%d calls to the first holder and %d to the other, want 2 and 0", len(x.submits), len(y.submits))
	}
	if r := receiveFrom(t, x.submits); r.Resubmitted || r.OnlyHolder {
		t.Errorf("first call: resubmitted %t, only holder %t", r.Resubmitted, r.OnlyHolder)
	}
	if r := receiveFrom(t, x.submits); !r.Resubmitted || !r.OnlyHolder {
		t.Errorf("second call: resubmitted %t, only holder %t, want true, true", r.Resubmitted, r.OnlyHolder)
	}
	if got := receiveFrom(t, first); got.Verdict != leased.Abandoned {
		t.Errorf("first submission: %+v, want abandoned", got)
	}
	if s.HasWaitingCaller("j") {
		t.Error("a caller still counts as waiting")
	}
}

// Guards against tasks that start at once at another holder, because the first one is
// leaving and cannot be asked once more: the job must arrive there as a resubmitted one.
func TestSecondSubmissionIsResubmittedAtAnotherHolder(t *testing.T) {
	pending := newPendingAnswer()
	s, _, y := breakingHolders(t, true, pending.wait)
	first := submitAsync(context.Background(), s)
	receiveFrom(t, pending.began)
	second := submitAsync(context.Background(), s)
	if r := receiveFrom(t, y.submits); !r.Resubmitted || r.OnlyHolder {
		t.Errorf("resubmitted %t, only holder %t, want true, false", r.Resubmitted, r.OnlyHolder)
	}
	if got := receiveFrom(t, second); got.Verdict != leased.Completed {
		t.Errorf("second submission: %+v, want completed", got)
	}
	if got := receiveFrom(t, first); got.Verdict != leased.Abandoned {
		t.Errorf("first submission: %+v, want abandoned", got)
	}
}

// addEarlier records a submission of job j that is under way, and whose end the test
// decides.
func addEarlier(s *Service) *submission {
	earlier := &submission{cancel: func() {}, ended: make(chan struct{})}
	s.track("j", earlier)
	return earlier
}

// awaitTracked returns once another submission of job j than a given one is the latest.
func awaitTracked(t *testing.T, s *Service, before *submission) *submission {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		latest := s.running["j"]
		s.mu.Unlock()
		if latest != before {
			return latest
		}
	}
	t.Fatal("no later submission within 5 s")
	return nil
}

// Guards against a job that runs again although its earlier submission has been answered
// in the meantime.
func TestAnswerOfTheFirstSubmissionIsThatOfTheSecond(t *testing.T) {
	for name, c := range map[string]struct {
		earlier   Outcome
		cancelled bool
		again     bool // submitted again
	}{
		"completed": {earlier: Outcome{Verdict: leased.Completed}},
		"failed":    {earlier: Outcome{Verdict: leased.Failed, Reason: "a task failed"}},
		"rejected":  {earlier: Outcome{Verdict: leased.Rejected, Reason: "queue", RetryAfter: time.Second}},
		"cancelled": {earlier: Outcome{Verdict: leased.Abandoned, Reason: ReasonCancelled}, cancelled: true},
		"abandoned": {earlier: Outcome{Verdict: leased.Abandoned}, again: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, x, y := breakingHolders(t, false, completesJob)
			earlier := addEarlier(s)
			earlier.cancelled = c.cancelled
			second := submitAsync(context.Background(), s)
			awaitTracked(t, s, earlier)
			earlier.outcome = c.earlier
			s.untrack("j", earlier)
			want, calls := c.earlier, 0
			if c.again {
				want, calls = Outcome{Verdict: leased.Completed}, 1
			}
			if got := receiveFrom(t, second); got != want || len(x.submits) != calls || len(y.submits) != 0 {
				t.Errorf("%+v after %d and %d calls, want %+v after %d and 0", got, len(x.submits), len(y.submits), want, calls)
			}
		})
	}
}

// Guards against a later submission that does not know the holders of the first one,
// because those between them have ended while they were waiting for it, and against one
// that waits for ever.
func TestLaterSubmissionsKnowTheHoldersOfAllEarlierOnes(t *testing.T) {
	s, x, y := breakingHolders(t, false, completesJob)
	earlier := addEarlier(s)
	latest := earlier
	var replaced []<-chan Outcome
	for range 5 {
		ctx, cancel := context.WithCancel(context.Background())
		replaced = append(replaced, submitAsync(ctx, s))
		latest = awaitTracked(t, s, latest)
		cancel() // its caller disconnects
	}
	last := submitAsync(context.Background(), s)
	awaitTracked(t, s, latest)
	if len(x.submits)+len(y.submits) != 0 {
		t.Error("submitted to a holder before the earlier submission has ended")
	}
	earlier.outcome = s.abandoned()
	earlier.history.callEnded(y.entry, context.Canceled)
	s.untrack("j", earlier)
	if got := receiveFrom(t, last); got.Verdict != leased.Completed || len(x.submits) != 0 {
		t.Errorf("%+v after %d calls to the other holder, want completed after 0", got, len(x.submits))
	}
	if r := receiveFrom(t, y.submits); !r.Resubmitted || !r.OnlyHolder || len(y.submits) != 0 {
		t.Errorf("resubmitted %t, only holder %t, %d more calls, want true, true, 0", r.Resubmitted, r.OnlyHolder, len(y.submits))
	}
	for _, c := range replaced {
		if got := receiveFrom(t, c); got.Verdict != leased.Abandoned {
			t.Errorf("replaced submission: %+v, want abandoned", got)
		}
	}
	if len(s.running) != 0 {
		t.Errorf("%d submissions are kept", len(s.running))
	}
}

// Guards against a cancellation that reaches only one of two submissions: the other one
// would run the job.
func TestCancelDuringATakeover(t *testing.T) {
	s, x, y := breakingHolders(t, false, completesJob)
	earlier := addEarlier(s)
	second := submitAsync(context.Background(), s)
	awaitTracked(t, s, earlier)
	if !s.Cancel("j") {
		t.Fatal("no job to cancel")
	}
	earlier.outcome = s.abandoned()
	s.untrack("j", earlier)
	if got := receiveFrom(t, second); got.Reason != ReasonCancelled || len(x.submits)+len(y.submits) != 0 {
		t.Errorf("%+v after %d calls, want cancelled after 0", got, len(x.submits)+len(y.submits))
	}
}

// Guards against a rejection, which says that nothing was run, of a job that the holder
// of its earlier submission may have begun.
func TestJobThatWasTakenOverIsNotRejected(t *testing.T) {
	s, _, y := breakingHolders(t, false, completesJob)
	earlier := addEarlier(s)
	s.loop.snapshot.Store(&Snapshot{Endpoints: []leased.Endpoint{{Service: "s", Capacity: leased.Demand{MilliCores: 1000}}}})
	outcome := make(chan Outcome, 1)
	go func() {
		outcome <- s.Submit(context.Background(), leased.Job{
			ID: "j", Service: "s", CallerTimeout: time.Hour, Steps: []leased.Step{{Tasks: 1, Demand: leased.Demand{MilliCores: 2000}}},
		})
	}()
	awaitTracked(t, s, earlier)
	earlier.outcome = s.abandoned()
	earlier.history.callEnded(y.entry, context.Canceled)
	s.untrack("j", earlier)
	if got := receiveFrom(t, outcome); got.Verdict != leased.Abandoned {
		t.Errorf("%+v, want abandoned", got)
	}
}
