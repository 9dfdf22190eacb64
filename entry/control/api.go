package control

import (
	"context"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/membership"
)

// Reply is the state of a job when a caller's wait ends. It has neither an
// answer nor a problem if the job is still running.
type Reply struct {
	Answer  *dispatch.Answer
	Problem *dispatch.Problem // why the request was rejected
	// Moved reports that the job was handed over while the caller waited for it.
	Moved bool
}

// StoppedError reports that the loop has ended.
type StoppedError struct{}

func (e *StoppedError) Error() string {
	return "this entry has stopped: retry through the balancer"
}

// Submit submits a job and waits up to wait for its end. If the context ends,
// the caller counts as disconnected, and the job continues.
func (l *Loop) Submit(ctx context.Context, s Submission, wait time.Duration) (Reply, error) {
	w := newWaiter(s.ID)
	return l.await(ctx, &submitMessage{submission: s, waiter: w}, w, wait)
}

// Ask waits up to wait for the end of a job submitted earlier.
func (l *Loop) Ask(ctx context.Context, id jobid.ID, wait time.Duration) (Reply, error) {
	w := newWaiter(id)
	return l.await(ctx, &askMessage{waiter: w}, w, wait)
}

// Cancel cancels a job and returns its state.
func (l *Loop) Cancel(ctx context.Context, id jobid.ID) (Reply, error) {
	w := newWaiter(id)
	return l.await(ctx, &cancelMessage{waiter: w}, w, 0)
}

// ReportOutcome passes the outcome of an attempt to the core.
func (l *Loop) ReportOutcome(service string, outcome dispatch.Input) {
	_ = l.enqueue(outcomeMessage{service: service, outcome: outcome})
}

// SetCatalog applies a version of the configuration. late tells that it may have
// been in force elsewhere for some time.
func (l *Loop) SetCatalog(c *catalog.Catalog, late bool) { _ = l.enqueue(catalogMessage{c, late}) }

// Drain makes the core reject new jobs. Admitted jobs run to their end.
func (l *Loop) Drain() { _ = l.enqueue(drainMessage{}) }

// UpdateMembership passes an input to the membership tracker.
func (l *Loop) UpdateMembership(in membership.Input) { _ = l.enqueue(membershipMessage{in}) }

// OpenJobs returns the number of jobs that have not ended.
func (l *Loop) OpenJobs() int {
	reply := make(chan int, 1)
	if l.enqueue(openJobsMessage{reply}) != nil {
		return 0
	}
	select {
	case n := <-reply:
		return n
	case <-l.done:
		return 0
	}
}

func (l *Loop) enqueue(m message) error {
	select {
	case l.in <- m:
		return nil
	case <-l.done:
		return &StoppedError{}
	}
}

// await sends the message, waits for the admission decision and then up to wait
// for the end of the job.
func (l *Loop) await(ctx context.Context, m message, w *waiter, wait time.Duration) (Reply, error) {
	if err := l.enqueue(m); err != nil {
		return Reply{}, err
	}
	decision, err := l.nextEvent(ctx, w, nil)
	if err != nil || !decision.admitted() {
		return replyOf(decision), err
	}
	if wait <= 0 {
		return l.removeWaiter(w, false)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	end, err := l.nextEvent(ctx, w, timer.C)
	return replyOf(end), err
}

// nextEvent returns the next event, or an empty event after the timeout.
func (l *Loop) nextEvent(ctx context.Context, w *waiter, timeout <-chan time.Time) (event, error) {
	select {
	case e := <-w.events:
		return e, nil
	case <-timeout:
		_, err := l.removeWaiter(w, false)
		return event{}, err
	case <-ctx.Done():
		_, _ = l.removeWaiter(w, true)
		return event{}, ctx.Err()
	case <-l.done:
		return event{}, &StoppedError{}
	}
}

func (l *Loop) removeWaiter(w *waiter, disconnected bool) (Reply, error) {
	return Reply{}, l.enqueue(&removeWaiterMessage{waiter: w, disconnected: disconnected})
}

func replyOf(e event) Reply {
	return Reply{Answer: e.answer, Problem: e.problem, Moved: e.moved}
}
