package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// KeptVerdict is the answer to a request about a kept job.
type KeptVerdict uint8

// Verdicts.
const (
	KeptDone       KeptVerdict = iota // stored, cancelled, or its state is known
	KeptRefused                       // nothing is stored, and nothing will be run
	KeptUnknownJob                    // there is no such job
	KeptNoOwner                       // nobody could answer; nothing was stored
	KeptUncertain                     // nobody has answered; it may be stored
)

// String returns the word for the verdict in logs and metrics.
func (v KeptVerdict) String() string {
	return [...]string{"stored", "refused", "unknown_job", "no_owner", "uncertain"}[v]
}

// KeptOutcome is the answer to a request about a kept job.
type KeptOutcome struct {
	Verdict    KeptVerdict
	State      stored.State // of a job that is known
	Reason     string       // of a refusal
	RetryAfter time.Duration
}

// keptRetryAfter is when a refused caller may come back: most often the log
// answers again, or a shard has its next owner.
const keptRetryAfter = time.Second

const noOwnerReason = "nobody owns the job's shard for now"

// hopelessRetryAfter is when a caller may come back whose job no endpoint can
// hold: larger ones come with a change of the deployment.
const hopelessRetryAfter = time.Minute

// KeepsJobs reports whether jobs that outlive their callers are served.
func (s *Service) KeepsJobs() bool { return s.kept != nil }

// Store accepts a job that outlives its caller. It returns once that is stored.
func (s *Service) Store(ctx context.Context, job leased.Job) KeptOutcome {
	began := time.Now()
	if job.Unschedulable(s.loop.Latest().Endpoints) {
		outcome := KeptOutcome{Verdict: KeptRefused, Reason: "no endpoint of the service is large enough or has the label", RetryAfter: hopelessRetryAfter}
		s.logStored(&job, &outcome, 0)
		return outcome
	}
	ctx, cancel := context.WithTimeout(ctx, job.CallerTimeout)
	defer cancel()
	a := s.kept.accept(ctx, job)
	outcome := KeptOutcome{Verdict: storeVerdict(&a), State: stored.Queued, Reason: "the log of jobs cannot be used for now", RetryAfter: keptRetryAfter}
	if outcome.Verdict == KeptDone {
		outcome.Reason = ""
	}
	took := time.Since(began)
	s.metrics.answers.WithLabelValues(job.Queue, outcome.Verdict.String()).Inc()
	s.metrics.answerSeconds.WithLabelValues(job.Queue).Observe(took.Seconds())
	s.logStored(&job, &outcome, took)
	return outcome
}

func (s *Service) logStored(job *leased.Job, outcome *KeptOutcome, took time.Duration) {
	write := s.log.Info
	if outcome.Verdict != KeptDone {
		write = s.log.Warn
	}
	write("stored", zap.String("job", string(job.ID)), zap.String("queue", job.Queue), zap.String("verdict", outcome.Verdict.String()),
		zap.Int("shard", s.kept.shardOf(job.ID)), zap.String("reason", outcome.Reason), zap.Duration("took_ms", took))
}

func storeVerdict(a *answer) KeptVerdict {
	switch {
	case !a.found && a.reached:
		return KeptUncertain
	case !a.found:
		return KeptNoOwner
	case a.result == stored.Refused:
		return KeptRefused
	}
	return KeptDone
}

// CancelStored ends a kept job.
func (s *Service) CancelStored(ctx context.Context, id leased.JobID) KeptOutcome {
	a := s.kept.cancel(ctx, id)
	outcome := KeptOutcome{Verdict: lookVerdict(&a), State: stored.Cancelled, Reason: noOwnerReason, RetryAfter: keptRetryAfter}
	s.log.Info("cancelled", zap.String("job", string(id)), zap.String("verdict", outcome.Verdict.String()))
	return outcome
}

// StateOf tells what has become of a kept job.
func (s *Service) StateOf(ctx context.Context, id leased.JobID) KeptOutcome {
	a := s.kept.state(ctx, id)
	outcome := KeptOutcome{Verdict: lookVerdict(&a), State: a.state, Reason: noOwnerReason, RetryAfter: keptRetryAfter}
	if outcome.Verdict == KeptDone && a.state == stored.Unknown {
		outcome.Verdict = KeptUnknownJob
	}
	return outcome
}

func lookVerdict(a *answer) KeptVerdict {
	switch {
	case !a.found:
		return KeptNoOwner
	case a.result == stored.NoSuchJob:
		return KeptUnknownJob
	}
	return KeptDone
}

// PendingStored counts the kept jobs of a queue that no task has started of.
func (s *Service) PendingStored(ctx context.Context, queue string) int {
	if s.kept == nil {
		return 0
	}
	return s.kept.pendingJobs(ctx, queue)
}
