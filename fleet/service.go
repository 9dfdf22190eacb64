package fleet

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
)

// Outcome is the result of a job for its caller.
type Outcome struct {
	Verdict    leased.Verdict
	Reason     string
	RetryAfter time.Duration // of a rejected job
}

// Service serves the requests of callers. It is safe for concurrent use.
type Service struct {
	loop       *Loop
	peers      *peers
	storedJobs *storedJobs // nil: stored jobs are not served
	log        *zap.Logger
	metrics    *metrics

	mu      sync.Mutex
	running map[leased.JobID]*submission
	ending  bool // see EndRequests
}

// submission is a job whose caller waits at this entry.
type submission struct {
	queue      string
	receivedAt time.Time
	cancel     context.CancelFunc
	cancelled  bool          // by a caller
	ended      chan struct{} // closed at the end; outcome and history may be read then
	outcome    Outcome
	history    holderHistory
}

// Resolve returns the queue for the host and path of a request, and the rest of
// the path. The longest matching prefix wins. It returns false if no queue
// matches.
func (s *Service) Resolve(host, path string) (Queue, string, bool) {
	c := s.loop.Latest().Configuration
	if c == nil {
		return Queue{}, "", false
	}
	best := -1
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best < 0 || len(q.PathPrefix) > len(c.Queues[best].PathPrefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, "", false
	}
	return c.Queues[best], path[len(c.Queues[best].PathPrefix):], true
}

// Configured reports whether a configuration is in force.
func (s *Service) Configured() bool { return s.loop.Latest().Configuration != nil }

// Limits returns a configuration with only the limits of requests set. They are
// zero if no configuration is in force yet.
func (s *Service) Limits() Configuration {
	if c := s.loop.Latest().Configuration; c != nil {
		return Configuration{MaxBody: c.MaxBody, MaxHead: c.MaxHead, HeadTime: c.HeadTime, IdleTime: c.IdleTime}
	}
	return Configuration{}
}

// Ready reports whether this entry should receive requests of new callers.
func (s *Service) Ready() bool {
	latest := s.loop.Latest()
	if latest.Configuration == nil || latest.Stopping || len(latest.Endpoints) == 0 {
		return false
	}
	if latest.allEvacuated() {
		return true // callers get their rejection from any entry
	}
	_, ok := holderFor(latest, 0)
	return ok
}

// Stopping reports whether a planned stop of this entry has begun.
func (s *Service) Stopping() bool { return s.loop.Latest().Stopping }

// Pending returns the number of jobs of a queue whose callers wait at this
// entry. It includes jobs that have begun at their holder, so it may be too
// high, but never too low.
func (s *Service) Pending(queue string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, sub := range s.running {
		if sub.queue == queue {
			n++
		}
	}
	return n
}

// HasWaitingCaller reports whether a caller waits for a job at this entry.
func (s *Service) HasWaitingCaller(id leased.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id] != nil
}

// Cancel cancels a job whose caller waits at this entry. It returns false if
// there is no such job.
func (s *Service) Cancel(id leased.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := s.running[id]
	if sub == nil {
		return false
	}
	sub.cancelled = true
	sub.cancel()
	return true
}

// ReasonCancelled is the reason in the Outcome of a job that its caller has
// cancelled.
const ReasonCancelled = "cancelled by its caller"

// Submit runs a job and returns when it has ended. If the context is done first,
// the runs of the job are stopped.
func (s *Service) Submit(ctx context.Context, job leased.Job) Outcome {
	ctx, cancel := context.WithTimeout(ctx, job.CallerTimeout)
	defer cancel()
	sub := &submission{
		queue: job.Queue, receivedAt: time.Now(), cancel: cancel, ended: make(chan struct{}), outcome: s.abandoned(),
	}
	earlier := s.track(job.ID, sub)
	defer s.untrack(job.ID, sub)
	outcome, answered := s.takeOver(earlier, &job, sub)
	if !answered {
		outcome = s.run(ctx, job, &sub.history)
	}
	switch {
	case s.wasCancelled(sub):
		outcome = Outcome{Verdict: leased.Abandoned, Reason: ReasonCancelled}
	case outcome.Verdict == leased.Abandoned && s.isEnding():
		outcome.Reason = reasonStopping
	}
	sub.outcome = outcome
	took := time.Since(sub.receivedAt)
	s.metrics.answers.WithLabelValues(job.Queue, outcome.Verdict.String()).Inc()
	s.metrics.answerSeconds.WithLabelValues(job.Queue).Observe(took.Seconds())
	s.logAnswer(&job, &outcome, took)
	return outcome
}

// run runs a job at a holder unless no holder can run it.
func (s *Service) run(ctx context.Context, job leased.Job, history *holderHistory) Outcome {
	latest := s.loop.Latest()
	switch {
	case ctx.Err() != nil:
		return s.abandoned()
	case latest.allEvacuated():
		rejected := Outcome{Verdict: leased.Rejected, Reason: reasonAllEvacuated, RetryAfter: allEvacuatedRetryAfter}
		return abandonIfResubmitted(rejected, &job)
	case job.Unschedulable(latest.Endpoints):
		rejected := Outcome{Verdict: leased.Rejected, Reason: unschedulableReason, RetryAfter: unschedulableRetryAfter}
		return abandonIfResubmitted(rejected, &job)
	}
	return s.runAtHolder(ctx, job, history)
}

// takeOver waits until the earlier submission of a job, which track has ended, has
// returned. Its holders count as earlier holders of the job. If it was answered in the
// meantime, its outcome is returned, because a job that has ended does not run again.
func (s *Service) takeOver(earlier *submission, job *leased.Job, sub *submission) (Outcome, bool) {
	if earlier == nil {
		return Outcome{}, false
	}
	// The wait is short, because the earlier context is done. It does not end with the
	// context of the later submission, so that the next one finds the complete history.
	<-earlier.ended
	answered := earlier.outcome.Verdict != leased.Abandoned || s.wasCancelled(earlier)
	sub.history = earlier.history
	job.Resubmitted = job.Resubmitted || sub.history.mayHaveBegun()
	s.log.Info("submission_taken_over", zap.String("job", string(job.ID)), zap.Duration("age_ms", time.Since(earlier.receivedAt)),
		zap.String("verdict", earlier.outcome.Verdict.String()), zap.Bool("answered", answered), zap.Bool("may_have_begun", job.Resubmitted))
	return earlier.outcome, answered
}

func (s *Service) logAnswer(job *leased.Job, o *Outcome, took time.Duration) {
	write := s.log.Info
	if o.Verdict != leased.Completed {
		write = s.log.Warn
	}
	write("answered", zap.String("job", string(job.ID)), zap.String("queue", job.Queue), zap.String("verdict", o.Verdict.String()),
		zap.String("reason", o.Reason), zap.Duration("took_ms", took), zap.Duration("retry_after_ms", o.RetryAfter))
}

func (s *Service) wasCancelled(sub *submission) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sub.cancelled
}

// track records a submission. It ends an earlier one of the same job, whose caller's
// connection is taken for broken, and returns it.
func (s *Service) track(id leased.JobID, sub *submission) *submission {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier := s.running[id]
	s.running[id] = sub
	if earlier != nil {
		earlier.cancel()
	}
	if s.ending {
		sub.cancel()
	}
	return earlier
}

// reasonStopping is the reason in the Outcome of a job whose request ends with its entry.
const reasonStopping = "this entry stops: send the job again under the same ID"

// EndRequests ends all requests of callers who wait for a job at this entry, and those that
// follow, with the answer that the job may have run. The process calls it shortly before it
// exits. The callers send their jobs to other entries.
func (s *Service) EndRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	for _, sub := range s.running {
		sub.cancel()
	}
	if len(s.running) > 0 {
		s.log.Warn("requests_ended", zap.Int("requests", len(s.running)))
	}
}

func (s *Service) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

func (s *Service) untrack(id leased.JobID, sub *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[id] == sub {
		delete(s.running, id)
	}
	close(sub.ended)
}

// abandonIfResubmitted turns a rejection into an abandonment if an earlier
// holder may have begun the job: a rejection guarantees that nothing was run.
func abandonIfResubmitted(o Outcome, job *leased.Job) Outcome {
	if o.Verdict == leased.Rejected && job.Resubmitted {
		return Outcome{Verdict: leased.Abandoned, Reason: o.Reason + "; an earlier holder was lost"}
	}
	return o
}

// pauseFor waits for a duration. It returns false if the context is done first.
func pauseFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Service) abandoned() Outcome {
	return Outcome{Verdict: leased.Abandoned, Reason: "its caller has disconnected, or the deadline has passed"}
}

// LivePeers returns the number of other entries that are live.
func (s *Service) LivePeers() int { return len(s.loop.Latest().View.Live) }

// ActiveWork returns the number of jobs and delegated tasks that have not ended
// at this holder.
func (s *Service) ActiveWork() int {
	status := s.loop.Latest().Status
	return status.Jobs + status.DelegatedTasks
}

// HeldEndpoints returns the number of endpoints that this entry holds.
func (s *Service) HeldEndpoints() int { return s.loop.Latest().Status.Held }
