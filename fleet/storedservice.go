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
	StoredNoOwner                         // no owner could be asked; nothing was changed
	StoredUncertain                       // no owner has answered; the request may have had an effect
)

// String returns the verdict as logs and metrics show it.
func (v StoredVerdict) String() string {
	return [...]string{"stored", "refused", "unknown_job", "no_owner", "uncertain"}[v]
}

// StoredOutcome is the result of a request about a stored job.
type StoredOutcome struct {
	Verdict    StoredVerdict
	State      stored.State // of a known job
	Reason     string       // why the request was not carried out, or may not have been
	RetryAfter time.Duration
}

// storedRetryAfter is when a refused caller may retry. Usually the log is
// available again by then, or the shard has a new owner.
const storedRetryAfter = time.Second

// Reasons for requests that were not carried out.
const (
	logUnavailableReason   = "the log of stored jobs is unavailable: nothing was stored"
	alreadyCancelledReason = "the job was cancelled before it was stored: nothing was stored"
	mayBeStoredReason      = "the job may have been stored: send it again under the same ID"
	noOwnerReason          = "the shard of the job has no owner at the moment: nothing was changed"
	mayBeCancelledReason   = "the job may have been cancelled: cancel it again"
	tooManyCancelledReason = "too many jobs that are not known were cancelled in the last minutes: cancel it again later"
)

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
	outcome := storeOutcome(&a)
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
		return StoredOutcome{Verdict: StoredUncertain, Reason: mayBeStoredReason}
	case a.result == stored.Stored && a.state != stored.Unknown:
		return StoredOutcome{Verdict: StoredDone, State: a.state}
	}
	return StoredOutcome{Verdict: StoredRefused, Reason: unschedulableReason + ": nothing was stored", RetryAfter: unschedulableRetryAfter}
}

func (s *Service) logStored(job *leased.Job, outcome *StoredOutcome, took time.Duration) {
	write := s.log.Info
	if outcome.Verdict != StoredDone {
		write = s.log.Warn
	}
	write("stored", zap.String("job", string(job.ID)), zap.String("queue", job.Queue), zap.String("verdict", outcome.Verdict.String()),
		zap.Int("shard", s.storedJobs.knownShardOf(job.ID)), zap.String("reason", outcome.Reason), zap.Duration("took_ms", took))
}

// storeOutcome returns the outcome of a submission that was sent to the owner of its shard.
func storeOutcome(a *ownerReply) StoredOutcome {
	switch {
	case !a.answered && a.maybeApplied:
		return StoredOutcome{Verdict: StoredUncertain, Reason: mayBeStoredReason}
	case !a.answered:
		return StoredOutcome{Verdict: StoredNoOwner, Reason: logUnavailableReason, RetryAfter: storedRetryAfter}
	case a.result == stored.Refused:
		return StoredOutcome{Verdict: StoredRefused, Reason: logUnavailableReason, RetryAfter: storedRetryAfter}
	case a.result == stored.AlreadyCancelled:
		return StoredOutcome{Verdict: StoredRefused, Reason: alreadyCancelledReason}
	}
	return StoredOutcome{Verdict: StoredDone, State: stored.Queued}
}

// CancelStored cancels a stored job. If there is no such job, none will be accepted under its
// ID for as long as a job is retained after its end.
func (s *Service) CancelStored(ctx context.Context, id leased.JobID) StoredOutcome {
	began := time.Now()
	a := s.storedJobs.cancel(ctx, id)
	outcome := cancelOutcome(&a)
	s.log.Info("cancelled", zap.String("job", string(id)), zap.String("verdict", outcome.Verdict.String()), zap.String("reason", outcome.Reason),
		zap.Int("shard", s.storedJobs.knownShardOf(id)), zap.Duration("took_ms", time.Since(began)))
	return outcome
}

// cancelOutcome returns the outcome of a cancellation that was sent to the owner of its shard.
func cancelOutcome(a *ownerReply) StoredOutcome {
	switch {
	case !a.answered && a.maybeApplied:
		return StoredOutcome{Verdict: StoredUncertain, Reason: mayBeCancelledReason}
	case !a.answered:
		return StoredOutcome{Verdict: StoredNoOwner, Reason: noOwnerReason, RetryAfter: storedRetryAfter}
	case a.result == stored.Refused:
		return StoredOutcome{Verdict: StoredRefused, Reason: tooManyCancelledReason, RetryAfter: storedRetryAfter}
	case a.result == stored.NoSuchJob:
		return StoredOutcome{Verdict: StoredUnknownJob}
	}
	return StoredOutcome{Verdict: StoredDone, State: stored.Cancelled}
}

// StoredState returns the state of a stored job.
func (s *Service) StoredState(ctx context.Context, id leased.JobID) StoredOutcome {
	a := s.storedJobs.state(ctx, id)
	switch {
	case !a.answered:
		return StoredOutcome{Verdict: StoredNoOwner, Reason: noOwnerReason, RetryAfter: storedRetryAfter}
	case a.state == stored.Unknown:
		return StoredOutcome{Verdict: StoredUnknownJob}
	}
	return StoredOutcome{Verdict: StoredDone, State: a.state}
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
