package fleet

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
)

// A caller whose connection broke sends its job again, to any entry. The entry that had it
// may not have noticed that, and its holders run the tasks on. So an entry asks all others
// for such a submission before it submits the job, and they end it. See
// docs/design/returning-callers.md.

const reasonSentAgain = "its caller has sent the job to another entry since"

// submitOnce runs a job at a holder. If its caller may have sent it to another entry
// before, that submission is ended first.
func (s *Service) submitOnce(ctx context.Context, job leased.Job, sub *submission) Outcome {
	if !s.mayHaveReturned(&job) {
		return s.run(ctx, job, &sub.history)
	}
	// Right after a freeze the heartbeats of the other entries are not read yet.
	if pause := s.loop.freezeDetector.remainingPause(); pause > 0 && !pauseFor(ctx, pause) {
		return s.abandoned()
	}
	question := s.questions.ask(returnedJob{job.ID, sub.patience})
	defer s.questions.end(question)
	select {
	case <-question.decided:
	case <-ctx.Done():
		sub.history.unknown = true // the holders of submissions that the others have ended
		return s.abandoned()
	}
	return s.runReturned(ctx, job, sub, question)
}

// longRun is the estimated duration of a task from which on an entry also asks if the
// deadline shows nothing. Shorter runs have mostly ended by themselves when their callers
// come back, and are far more: asking for them would cost more than all else.
const longRun = 500 * time.Millisecond

// mayHaveReturned reports whether the caller of a job may have sent it before: it has less
// time left than its queue gives, or is known to have sent it to another entry later, so
// that this request was held up on its way. If it has more time left than its queue gives,
// the deadline shows nothing: then only jobs with long tasks count.
func (s *Service) mayHaveReturned(job *leased.Job) bool {
	if job.Waited > 0 || s.asked.sentLater(returnedJob{job.ID, job.CallerTimeout}) {
		return true
	}
	timeout := s.loop.Latest().Configuration.timeoutOf(job.Queue)
	return timeout > 0 && job.CallerTimeout > timeout && hasLongTasks(job)
}

// hasLongTasks reports whether a task of a job may run for longRun.
func hasLongTasks(job *leased.Job) bool {
	return slices.ContainsFunc(job.Steps, func(s leased.Step) bool { return s.Estimate == 0 || s.Estimate >= longRun })
}

// timeoutOf returns the timeout of a queue; 0: it has none, or is not known.
func (c *Configuration) timeoutOf(queue string) time.Duration {
	if c == nil {
		return 0
	}
	for i := range c.Queues {
		if c.Queues[i].Name == queue {
			return c.Queues[i].Timeout
		}
	}
	return 0
}

// runReturned runs a job whose question is decided. If an entry answers later that it had
// the job, the job is submitted once more, and waits anew.
func (s *Service) runReturned(ctx context.Context, job leased.Job, sub *submission, question *returnQuestion) Outcome {
	wait := callerWait{since: sub.receivedAt, timeout: job.CallerTimeout, before: job.Waited}
	for first := true; ; first = false {
		found := question.take()
		decision, outcome := found.apply(&job, &sub.history)
		s.logReturned(&job, decision, &found, first)
		if decision == returnOver {
			return outcome
		}
		wait.apply(&job, time.Now())
		outcome, late := s.runUntilFound(ctx, job, sub, question)
		if !late {
			return outcome
		}
	}
}

// runUntilFound runs a job until it has ended, or until an entry answers that it had the
// job. It returns true in the latter case.
func (s *Service) runUntilFound(ctx context.Context, job leased.Job, sub *submission, question *returnQuestion) (Outcome, bool) {
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-question.late:
			cancel()
		case <-attempt.Done():
		}
	}()
	outcome := s.run(attempt, job, &sub.history)
	return outcome, outcome.Verdict == leased.Abandoned && attempt.Err() != nil && ctx.Err() == nil
}

// returnDecision is what becomes of a job whose caller may have come back.
type returnDecision string

// Decisions about jobs whose callers may have come back.
const (
	returnNew         returnDecision = "new"         // no other entry had it
	returnResubmitted returnDecision = "resubmitted" // a holder may have begun it
	returnUnanswered  returnDecision = "unanswered"  // the same, since an entry has not answered
	returnOver        returnDecision = "over"        // it has its outcome, or was sent elsewhere later
)

// apply applies what was found to a job and its history. The outcome is valid if the job
// is over.
func (f *returnFindings) apply(job *leased.Job, history *holderHistory) (returnDecision, Outcome) {
	if slices.ContainsFunc(f.submissions, func(s foundSubmission) bool { return s.newer }) {
		return returnOver, Outcome{Verdict: leased.Abandoned, Reason: reasonSentAgain}
	}
	for i := range f.submissions {
		history.takeOver(&f.submissions[i].earlierSubmission)
	}
	history.unknown = history.unknown || f.unanswered > 0
	job.Resubmitted = job.Resubmitted || history.mayHaveBegun()
	for _, s := range f.submissions {
		if s.answered {
			return returnOver, abandonIfResubmitted(s.outcome, job)
		}
	}
	switch {
	case f.unanswered > 0:
		return returnUnanswered, Outcome{}
	case job.Resubmitted:
		return returnResubmitted, Outcome{}
	}
	return returnNew, Outcome{}
}

// takeOver adds the holders of an earlier submission at another entry. The latest one is
// asked first, as after a call that has ended here.
func (h *holderHistory) takeOver(s *earlierSubmission) {
	h.unknown = h.unknown || s.unknownHolders
	for _, holder := range s.holders {
		h.lost = append(h.lost, holder)
		h.preferred, h.again.tried = holder, holder
	}
}

// logReturned logs the decision about a job, and the entries that had it.
func (s *Service) logReturned(job *leased.Job, decision returnDecision, found *returnFindings, first bool) {
	s.metrics.returnedJobs.WithLabelValues(string(decision)).Inc()
	s.log.Info("returned_job", zap.String("job", string(job.ID)), zap.String("decision", string(decision)), zap.Int("entries", found.entries),
		zap.Int("unanswered", found.unanswered), zap.Int("found", len(found.submissions)), zap.Duration("took_ms", found.took), zap.Bool("late", !first))
	for _, f := range found.submissions {
		s.log.Warn("earlier_submission_found", zap.String("job", string(job.ID)), zap.Uint64("at", uint64(f.at)), zap.Bool("newer", f.newer),
			zap.Bool("answered", f.answered), zap.Int("holders", len(f.holders)), zap.Bool("unknown_holders", f.unknownHolders), zap.Duration("age_ms", f.age))
	}
}
