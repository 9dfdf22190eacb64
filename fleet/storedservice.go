package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// StoredVerdict is the verdict on a request about a stored job.
type StoredVerdict uint8

// Verdicts on requests about stored jobs.
const (
	StoredDone       StoredVerdict = iota // stored, cancelled, or its state is known
	StoredRefused                         // nothing is stored and nothing will run
	StoredUnknownJob                      // there is no such job
	StoredNoOwner                         // no owner could be asked; nothing was stored
	StoredUncertain                       // no owner has answered; the job may be stored
)

// String returns the verdict as logs and metrics show it.
func (v StoredVerdict) String() string {
	return [...]string{"stored", "refused", "unknown_job", "no_owner", "uncertain"}[v]
}

// StoredOutcome is the result of a request about a stored job.
type StoredOutcome struct {
	Verdict    StoredVerdict
	State      stored.State // of a known job
	Reason     string       // of a refusal
	RetryAfter time.Duration
}

// storedRetryAfter is when a refused caller may retry. Usually the log is
// available again by then, or the shard has a new owner.
const storedRetryAfter = time.Second

const noOwnerReason = "the shard of the job has no owner at the moment"

// The rejection of a job that fits no endpoint. The time to retry is long for a
// change of the deployment, but endpoints that have shrunk may grow again.
const (
	unschedulableReason     = "no endpoint of the service is large enough and has the label"
	unschedulableRetryAfter = 10 * time.Second
)

// StoresJobs reports whether stored jobs are served.
func (s *Service) StoresJobs() bool { return s.storedJobs != nil }

// Store accepts a job that outlives its caller. It returns when the job is
// stored.
func (s *Service) Store(ctx context.Context, job leased.Job) StoredOutcome {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, job.CallerTimeout)
	defer cancel()
	if job.Unschedulable(s.loop.Latest().Endpoints) {
		outcome := s.refuseUnlessStored(ctx, job.ID)
		s.logStored(&job, &outcome, time.Since(began))
		return outcome
	}
	a := s.storedJobs.accept(ctx, job)
	outcome := StoredOutcome{Verdict: storeVerdict(&a), State: stored.Queued, Reason: "the log of stored jobs is unavailable", RetryAfter: storedRetryAfter}
	if outcome.Verdict == StoredDone {
		outcome.Reason = ""
	}
	took := time.Since(began)
	s.metrics.answers.WithLabelValues(job.Queue, outcome.Verdict.String()).Inc()
	s.metrics.answerSeconds.WithLabelValues(job.Queue).Observe(took.Seconds())
	s.logStored(&job, &outcome, took)
	return outcome
}

// refuseUnlessStored refuses a job that fits no endpoint, unless it was stored
// while one was large enough: then it will run.
func (s *Service) refuseUnlessStored(ctx context.Context, id leased.JobID) StoredOutcome {
	a := s.storedJobs.state(ctx, id)
	switch {
	case !a.answered:
		return StoredOutcome{Verdict: StoredUncertain, Reason: noOwnerReason, RetryAfter: storedRetryAfter}
	case a.result == stored.Stored && a.state != stored.Unknown:
		return StoredOutcome{Verdict: StoredDone, State: a.state}
	}
	return StoredOutcome{Verdict: StoredRefused, Reason: unschedulableReason, RetryAfter: unschedulableRetryAfter}
}

func (s *Service) logStored(job *leased.Job, outcome *StoredOutcome, took time.Duration) {
	write := s.log.Info
	if outcome.Verdict != StoredDone {
		write = s.log.Warn
	}
	write("stored", zap.String("job", string(job.ID)), zap.String("queue", job.Queue), zap.String("verdict", outcome.Verdict.String()),
		zap.Int("shard", s.storedJobs.knownShardOf(job.ID)), zap.String("reason", outcome.Reason), zap.Duration("took_ms", took))
}

func storeVerdict(a *ownerReply) StoredVerdict {
	switch {
	case !a.answered && a.maybeApplied:
		return StoredUncertain
	case !a.answered:
		return StoredNoOwner
	case a.result == stored.Refused:
		return StoredRefused
	}
	return StoredDone
}

// CancelStored cancels a stored job.
func (s *Service) CancelStored(ctx context.Context, id leased.JobID) StoredOutcome {
	a := s.storedJobs.cancel(ctx, id)
	outcome := StoredOutcome{Verdict: queryVerdict(&a), State: stored.Cancelled, Reason: noOwnerReason, RetryAfter: storedRetryAfter}
	s.log.Info("cancelled", zap.String("job", string(id)), zap.String("verdict", outcome.Verdict.String()))
	return outcome
}

// StoredState returns the state of a stored job.
func (s *Service) StoredState(ctx context.Context, id leased.JobID) StoredOutcome {
	a := s.storedJobs.state(ctx, id)
	outcome := StoredOutcome{Verdict: queryVerdict(&a), State: a.state, Reason: noOwnerReason, RetryAfter: storedRetryAfter}
	if outcome.Verdict == StoredDone && a.state == stored.Unknown {
		outcome.Verdict = StoredUnknownJob
	}
	return outcome
}

func queryVerdict(a *ownerReply) StoredVerdict {
	switch {
	case !a.answered:
		return StoredNoOwner
	case a.result == stored.NoSuchJob:
		return StoredUnknownJob
	}
	return StoredDone
}

// PendingJobs returns the number of jobs of a queue of which no task has started, as it
// was two seconds ago or later: the stored ones, and those whose callers wait here. It
// returns a *PendingUnknownError if the owner of some jobs cannot be asked, and has not
// answered recently.
func (s *Service) PendingJobs(ctx context.Context, queue string) (int, error) {
	waiting := s.Pending(queue)
	if s.storedJobs == nil {
		return waiting, nil
	}
	stored, err := s.storedJobs.pendingJobs(ctx, queue)
	return waiting + stored, err
}
