package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Limits of the search for a holder.
const (
	// The backoff between two attempts to find a holder doubles between these
	// limits, because a holder that is just starting has no time to reject
	// every request.
	minHolderBackoff = 15 * time.Millisecond
	maxHolderBackoff = 120 * time.Millisecond
	// holderTimeout is how long a job waits for a holder before it is rejected, from
	// its request, the loss of its last holder or the end of a freeze on, whichever
	// is last. It is longer than the time in which a lost holder is detected and replaced.
	holderTimeout      = 1100 * time.Millisecond
	noHolderRetryAfter = time.Second
)

// runAtHolder submits a job to a holder, and to another one if that holder is
// lost. If only the call to the holder broke, that one gets the job once more. The
// history holds the holders of an earlier submission, and those of this one at the end.
func (s *Service) runAtHolder(ctx context.Context, job leased.Job, history *holderHistory) Outcome {
	search := s.newSearch()
	wait := callerWait{since: search.began, timeout: job.CallerTimeout, before: job.Waited}
	backoff := minHolderBackoff
	var passed passedOver
	history.unknown = history.unknown || job.Resubmitted && len(history.lost) == 0
	job.Movable = s.loop.settings.Balancing
	for {
		if pause := s.loop.freezeDetector.remainingPause(); pause > 0 && !pauseFor(ctx, pause) {
			return s.abandoned() // the caller disconnected during the freeze
		}
		latest := s.loop.Latest()
		holder, ok := s.chooseHolder(latest, &job, history.preferred, &passed)
		history.preferred = 0
		if ok {
			sent := time.Now()
			wait.apply(&job, sent)
			job.OnlyHolder = !history.unknown && history.lost.only(holder)
			outcome, err := s.offer(ctx, latest, holder, &job)
			if err == nil {
				if outcome.Verdict == leased.Abandoned {
					history.callEnded(holder, nil)
				}
				return abandonIfResubmitted(outcome, &job)
			}
			history.unknown = history.unknown || job.Resubmitted && len(history.lost) == 0
			if ctx.Err() != nil {
				history.callEnded(holder, err)
				return s.abandoned() // the call was ended here, and the holder is not lost
			}
			if to, moved := s.jobMoved(err, holder, &job, sent); moved {
				history.preferred = to
				continue
			}
			if errors.Is(err, errNotHolder) {
				passed.refused(holder)
			} else {
				s.holderLost(holder, &job, err)
				history.lost.add(holder, err)
				search = s.newSearch()
				history.preferred = history.again.next(holder, err)
				passed.lost(holder, err, history.preferred != 0)
			}
		}
		if ctx.Err() != nil {
			return s.abandoned()
		}
		if s.searchIsOver(latest, ok, search) {
			return s.rejectWithoutHolder(&job)
		}
		if !pauseFor(ctx, backoff) {
			return s.abandoned()
		}
		backoff = min(2*backoff, maxHolderBackoff)
	}
}

// search is a search for a holder.
type search struct {
	began       time.Time
	stallBefore time.Duration // for how long the process had not been scheduled when it began
}

func (s *Service) newSearch() search {
	_, stalled := s.loop.freezeDetector.stalls()
	return search{stallBefore: stalled, began: time.Now()}
}

// searchIsOver reports whether a job that no holder has taken since the search began is
// to be rejected. The time of a freeze does not count, and after it the other entries
// are unknown until their next heartbeats, so the search begins anew at its end. Of
// shorter times in which the process was not scheduled, as much as holderTimeout does
// not count either: it has not read which entry holds the endpoints meanwhile.
func (s *Service) searchIsOver(latest *Snapshot, found bool, current search) bool {
	resumedAt, stalled := s.loop.freezeDetector.stalls()
	stalled = min(stalled-current.stallBefore, holderTimeout)
	if resumedAt.After(current.began) {
		current.began, stalled = resumedAt, 0
	}
	if time.Since(current.began)-stalled > holderTimeout {
		return true
	}
	// The callers of an evacuated domain depend on entries of the others. If none
	// can be reached, none is expected to return within holderTimeout.
	return !found && !latest.serving(latest.View.Self.FailureDomain) && time.Since(resumedAt) > holderTimeout
}

// callerWait is the time that a caller has waited and still waits.
type callerWait struct {
	since   time.Time     // when the caller's request arrived
	timeout time.Duration // of the caller, from since on
	before  time.Duration // how long the caller had waited before since
}

// apply sets the times of a job that is sent to a holder.
func (w *callerWait) apply(job *leased.Job, sent time.Time) {
	passed := sent.Sub(w.since)
	job.CallerTimeout = w.timeout - passed
	job.Waited = w.before + passed
}

// rejectWithoutHolder rejects a job for which no holder was found, or abandons
// it if an earlier holder may have begun it.
func (s *Service) rejectWithoutHolder(job *leased.Job) Outcome {
	o := Outcome{Verdict: leased.Rejected, Reason: "no entry holds endpoints", RetryAfter: noHolderRetryAfter}
	return abandonIfResubmitted(o, job)
}

// errNotHolder is the error of an entry that holds no cell. It has started
// nothing.
var errNotHolder = errors.New("the entry holds no cell")

// offer submits a job to a holder. After an error the caller should try another
// holder.
func (s *Service) offer(ctx context.Context, latest *Snapshot, holder cells.Entry, job *leased.Job) (Outcome, error) {
	if holder.Incarnation == latest.View.Self.Incarnation {
		a, ended := s.loop.runLocally(ctx, *job, origin{})
		if !ended {
			return s.abandoned(), nil
		}
		if a.Verdict == leased.Moved {
			job.Resubmitted = job.Resubmitted || a.EarlierRuns
			return Outcome{}, returnedError(job, a.To)
		}
		return Outcome{Verdict: a.Verdict, Reason: a.Reason, RetryAfter: a.RetryAfter}, nil
	}
	s.log.Info("forwarded", zap.String("job", string(job.ID)), zap.String("holder", holder.Name), zap.Bool("resubmitted", job.Resubmitted))
	reply, err := s.peers.submit(ctx, holder, job)
	if err != nil {
		return Outcome{}, err
	}
	if reply.Verdict == fleetpb.Verdict_NOT_HOLDER || reply.Verdict == fleetpb.Verdict_MOVED {
		job.Resubmitted = job.Resubmitted || reply.EarlierRuns
		return Outcome{}, returnedError(job, reply.To)
	}
	if reply.Verdict < fleetpb.Verdict_COMPLETED || reply.Verdict > fleetpb.Verdict_ABANDONED {
		return Outcome{}, &InvalidAnswerError{holder.Name, fmt.Sprintf("verdict %d", reply.Verdict)}
	}
	return Outcome{
		Verdict: leased.Verdict(reply.Verdict), Reason: reply.Reason, RetryAfter: min(max(0, microseconds(reply.RetryAfterUs)), maxRetryAfter),
	}, nil
}

// InvalidAnswerError reports an answer of another entry that no supported version sends.
// The entry may have done what it was asked for.
type InvalidAnswerError struct {
	Name   string // of the entry
	Reason string
}

func (e *InvalidAnswerError) Error() string {
	return fmt.Sprintf("the answer of entry %q is not valid: %s; check that it runs a supported version", e.Name, e.Reason)
}

// maxRetryAfter bounds the time after which another entry has callers retry.
const maxRetryAfter = 10 * time.Minute

// holderLost logs the loss of a holder, and marks the job as resubmitted unless
// nothing was sent to the holder.
func (s *Service) holderLost(holder cells.Entry, job *leased.Job, err error) {
	var notSent *notSentError
	if !errors.As(err, &notSent) {
		job.Resubmitted = true
	}
	s.log.Warn("holder_lost", zap.String("job", string(job.ID)), zap.String("holder", holder.Name),
		zap.Bool("may_have_begun", job.Resubmitted), zap.Error(err))
}
