package fleet

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/spread"
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
	if s.wasCancelled(sub) {
		outcome = Outcome{Verdict: leased.Abandoned, Reason: ReasonCancelled}
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
	return earlier
}

func (s *Service) untrack(id leased.JobID, sub *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[id] == sub {
		delete(s.running, id)
	}
	close(sub.ended)
}

// runAtHolder submits a job to a holder, and to another one if that holder is
// lost. If only the call to the holder broke, that one gets the job once more. The
// history holds the holders of an earlier submission, and those of this one at the end.
func (s *Service) runAtHolder(ctx context.Context, job leased.Job, history *holderHistory) Outcome {
	search := s.newSearch()
	wait := callerWait{since: search.began, timeout: job.CallerTimeout, before: job.Waited}
	backoff := minHolderBackoff
	history.unknown = history.unknown || job.Resubmitted && len(history.lost) == 0
	job.Movable = s.loop.settings.Balancing
	for {
		if pause := s.loop.freezeDetector.remainingPause(); pause > 0 && !pauseFor(ctx, pause) {
			return s.abandoned() // the caller disconnected during the freeze
		}
		latest := s.loop.Latest()
		holder, ok := s.chooseHolder(latest, &job, history.preferred)
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
			if !errors.Is(err, errNotHolder) {
				s.holderLost(holder, &job, err)
				history.lost.add(holder, err)
				search = s.newSearch()
				history.preferred = history.again.next(holder, err)
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

// holderFor returns the holder that a new job is submitted to: one of this
// entry's failure domain or, if that has none or is evacuated, one of any other.
// The random number draw, in [0, 1), selects among them by their announced free
// capacity. While the domain is drained or returned, a growing or falling share of
// its jobs goes to the others.
func holderFor(s *Snapshot, draw float64) (cells.Entry, bool) {
	own := s.View.Self.FailureDomain
	share := s.share(own)
	if draw < share {
		if holders, free := holdersIn(s, own); len(holders) > 0 {
			return pickHolder(holders, free, draw/share)
		}
		return otherHolder(s, draw/share)
	}
	return otherHolder(s, (draw-share)/(1-share))
}

// otherHolder returns a holder of any failure domain that is not evacuated.
func otherHolder(s *Snapshot, draw float64) (cells.Entry, bool) {
	var holders []cells.Entry
	var free []int
	for _, domain := range slices.Sorted(maps.Keys(s.CellCounts)) {
		if domain == s.View.Self.FailureDomain && s.share(domain) < 1 || !s.serving(domain) {
			continue
		}
		more, moreFree := holdersIn(s, domain)
		holders, free = append(holders, more...), append(free, moreFree...)
	}
	return pickHolder(holders, free, draw)
}

func pickHolder(holders []cells.Entry, free []int, draw float64) (cells.Entry, bool) {
	picked := spread.Pick(free, draw)
	if picked < 0 {
		return cells.Entry{}, false
	}
	return holders[picked], true
}

// holdersIn returns the holder of each cell of a failure domain, as far as it is
// known, and the free capacity that was announced for the cell.
func holdersIn(s *Snapshot, domain string) (holders []cells.Entry, free []int) {
	for _, cell := range cells.All(domain, s.CellCounts[domain]) {
		if e, ok := s.View.Holder(cell); ok {
			holders = append(holders, e)
			free = append(free, s.FreeMilliCores[cell])
		}
	}
	return holders, free
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
