package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// StoredVerdict is the answer to a request about a kept job.
type StoredVerdict uint8

// Verdicts.
const (
	StoredDone       StoredVerdict = iota // stored, cancelled, or its state is known
	StoredRefused                         // nothing is stored, and nothing will be run
	StoredUnknownJob                      // there is no such job
	StoredNoOwner                         // nobody could answer; nothing was stored
	StoredUncertain                       // nobody has answered; it may be stored
)

// String returns the word for the verdict in logs and metrics.
func (v StoredVerdict) String() string {
	return [...]string{"stored", "refused", "unknown_job", "no_owner", "uncertain"}[v]
}

// StoredOutcome is the answer to a request about a kept job.
type StoredOutcome struct {
	Verdict    StoredVerdict
	State      stored.State // of a job that is known
	Reason     string       // of a refusal
	RetryAfter time.Duration
}

// storedRetryAfter is when a refused caller may come back: most often the log
// answers again, or a shard has its next owner.
const storedRetryAfter = time.Second

const noOwnerReason = "nobody owns the job's shard for now"

// neverFitsRetryAfter is when a caller may come back whose job no endpoint can
// hold: larger ones come with a change of the deployment.
const neverFitsRetryAfter = time.Minute

// StoresJobs reports whether jobs that outlive their callers are served.
func (s *Service) StoresJobs() bool { return s.storedJobs != nil }

// Store accepts a job that outlives its caller. It returns once that is stored.
func (s *Service) Store(ctx context.Context, job leased.Job) StoredOutcome {
	began := time.Now()
	if job.FitsNowhere(s.loop.Latest().Endpoints) {
		outcome := StoredOutcome{Verdict: StoredRefused, Reason: "no endpoint of the service is large enough or has the label", RetryAfter: neverFitsRetryAfter}
		s.logStored(&job, &outcome, 0)
		return outcome
	}
	ctx, cancel := context.WithTimeout(ctx, job.Patience)
	defer cancel()
	a := s.storedJobs.accept(ctx, job)
	outcome := StoredOutcome{Verdict: storeVerdict(&a), State: stored.Queued, Reason: "the log of jobs cannot be used for now", RetryAfter: storedRetryAfter}
	if outcome.Verdict == StoredDone {
		outcome.Reason = ""
	}
	took := time.Since(began)
	s.metrics.answers.WithLabelValues(job.Queue, outcome.Verdict.String()).Inc()
	s.metrics.answerSeconds.WithLabelValues(job.Queue).Observe(took.Seconds())
	s.logStored(&job, &outcome, took)
	return outcome
}

func (s *Service) logStored(job *leased.Job, outcome *StoredOutcome, took time.Duration) {
	write := s.log.Info
	if outcome.Verdict != StoredDone {
		write = s.log.Warn
	}
	write("stored", zap.String("job", string(job.ID)), zap.String("queue", job.Queue), zap.String("verdict", outcome.Verdict.String()),
		zap.Int("shard", s.storedJobs.shardOf(job.ID)), zap.String("reason", outcome.Reason), zap.Duration("took_ms", took))
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

// CancelStored ends a kept job.
func (s *Service) CancelStored(ctx context.Context, id leased.JobID) StoredOutcome {
	a := s.storedJobs.cancel(ctx, id)
	outcome := StoredOutcome{Verdict: queryVerdict(&a), State: stored.Cancelled, Reason: noOwnerReason, RetryAfter: storedRetryAfter}
	s.log.Info("cancelled", zap.String("job", string(id)), zap.String("verdict", outcome.Verdict.String()))
	return outcome
}

// StoredState tells what has become of a kept job.
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

// PendingStored counts the kept jobs of a queue that no task has started of.
func (s *Service) PendingStored(ctx context.Context, queue string) int {
	if s.storedJobs == nil {
		return 0
	}
	return s.storedJobs.pendingJobs(ctx, queue)
}
