package fleet

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Times of finding a holder.
const (
	// Pauses between two looks for a holder double between these bounds: a
	// holder that is just starting has no time to turn everybody away.
	holderPause    = 15 * time.Millisecond
	maxHolderPause = 120 * time.Millisecond
	// holderTime is how long a job waits for a holder before it is rejected:
	// longer than it takes to notice that one is lost and to replace it.
	holderTime         = 1100 * time.Millisecond
	noHolderRetryAfter = time.Second
)

// Outcome is the end of a job, for its caller.
type Outcome struct {
	Verdict    leased.Verdict
	Reason     string
	RetryAfter time.Duration // of a rejected job
}

// Service serves callers. It is safe for concurrent use.
type Service struct {
	loop    *Loop
	peers   *peers
	kept    *kept // nil: kept jobs are not served
	log     *zap.Logger
	metrics *metrics

	mu      sync.Mutex
	running map[leased.JobID]*submission
}

// submission is a job whose callers wait here.
type submission struct {
	queue  string
	begun  time.Time
	cancel context.CancelFunc
	told   bool // cancelled by a caller
}

// Resolve returns the queue that a request's host and path belong to, and the
// rest of the path. It returns false if there is none.
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

// Limits returns the bounds of requests; zero values mean none are known yet.
func (s *Service) Limits() Configuration {
	if c := s.loop.Latest().Configuration; c != nil {
		return Configuration{MaxBody: c.MaxBody, MaxHead: c.MaxHead, HeadTime: c.HeadTime, IdleTime: c.IdleTime}
	}
	return Configuration{}
}

// Ready reports whether new callers should come to this entry.
func (s *Service) Ready() bool {
	latest := s.loop.Latest()
	if latest.Configuration == nil || latest.Stopping || len(latest.Endpoints) == 0 {
		return false
	}
	_, ok := holderFor(latest)
	return ok
}

// Stopping reports whether this entry is about to exit.
func (s *Service) Stopping() bool { return s.loop.Latest().Stopping }

// Pending returns how many jobs of a queue have callers that wait here. Some
// may have begun at their holder, so it may be too high, never too low.
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

// Known reports whether a caller waits for a job here.
func (s *Service) Known(id leased.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id] != nil
}

// Cancel ends a job whose caller waits here. It returns false if there is
// none.
func (s *Service) Cancel(id leased.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := s.running[id]
	if sub == nil {
		return false
	}
	sub.told = true
	sub.cancel()
	return true
}

// Cancelled is the verdict's reason for a job that its caller has cancelled.
const Cancelled = "cancelled by its caller"

// Submit runs a job and returns when it has ended. If the context ends first,
// the job's runs are stopped.
func (s *Service) Submit(ctx context.Context, job leased.Job) Outcome {
	ctx, cancel := context.WithTimeout(ctx, job.CallerTimeout)
	defer cancel()
	sub := &submission{queue: job.Queue, begun: time.Now(), cancel: cancel}
	s.track(job.ID, sub)
	defer s.untrack(job.ID, sub)
	outcome := s.relay(ctx, job)
	if s.wasTold(sub) {
		outcome = Outcome{Verdict: leased.Abandoned, Reason: Cancelled}
	}
	took := time.Since(sub.begun)
	s.metrics.answers.WithLabelValues(job.Queue, outcome.Verdict.String()).Inc()
	s.metrics.answerSeconds.WithLabelValues(job.Queue).Observe(took.Seconds())
	s.logAnswer(&job, &outcome, took)
	return outcome
}

func (s *Service) logAnswer(job *leased.Job, o *Outcome, took time.Duration) {
	write := s.log.Info
	if o.Verdict != leased.Completed {
		write = s.log.Warn
	}
	write("answered", zap.String("job", string(job.ID)), zap.String("queue", job.Queue), zap.String("verdict", o.Verdict.String()),
		zap.String("reason", o.Reason), zap.Duration("took_ms", took), zap.Duration("retry_after_ms", o.RetryAfter))
}

func (s *Service) wasTold(sub *submission) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sub.told
}

func (s *Service) track(id leased.JobID, sub *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id] = sub
}

func (s *Service) untrack(id leased.JobID, sub *submission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[id] == sub {
		delete(s.running, id)
	}
}

// relay hands a job to a holder, and to the next one if that is lost.
func (s *Service) relay(ctx context.Context, job leased.Job) Outcome {
	began := time.Now()
	deadline := began.Add(job.CallerTimeout)
	lost := time.Time{}
	pause := holderPause
	if rest := s.loop.freezes.rest(); rest > 0 && !pauseFor(ctx, rest) {
		return s.abandoned() // its caller left during the freeze
	}
	for {
		latest := s.loop.Latest()
		holder, ok := holderFor(latest)
		if ok {
			job.CallerTimeout = time.Until(deadline)
			outcome, err := s.offer(ctx, latest, holder, &job)
			if err == nil {
				return honest(outcome, &job)
			}
			if !errors.Is(err, errNotHolder) {
				s.noteLost(holder, &job, err)
				lost = time.Now()
			}
		}
		if ctx.Err() != nil {
			return s.abandoned()
		}
		if time.Since(later(began, lost)) > holderTime {
			return s.noHolder(&job)
		}
		if !pauseFor(ctx, pause) {
			return s.abandoned()
		}
		pause = min(2*pause, maxHolderPause)
	}
}

// honest keeps a job from being called not run if an earlier holder may have
// begun it.
func honest(o Outcome, job *leased.Job) Outcome {
	if o.Verdict == leased.Rejected && job.Resubmitted {
		return Outcome{Verdict: leased.Abandoned, Reason: o.Reason + "; an earlier holder was lost"}
	}
	return o
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

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
	return Outcome{Verdict: leased.Abandoned, Reason: "its caller has gone, or the deadline has passed"}
}

// noHolder rejects a job that no holder has been found for. One that an
// earlier holder had may have run.
func (s *Service) noHolder(job *leased.Job) Outcome {
	o := Outcome{Verdict: leased.Rejected, Reason: "no entry holds endpoints", RetryAfter: noHolderRetryAfter}
	return honest(o, job)
}

// errNotHolder reports an entry that holds no cell: it has started nothing.
var errNotHolder = errors.New("the entry holds no cell")

// offer hands a job to one holder. After an error another one is to be looked
// for.
func (s *Service) offer(ctx context.Context, latest *Snapshot, holder cells.Entry, job *leased.Job) (Outcome, error) {
	if holder.Incarnation == latest.View.Self.Incarnation {
		a, ended := s.loop.runHere(ctx, *job)
		if !ended {
			return s.abandoned(), nil
		}
		if a.Verdict == leased.Moved {
			return Outcome{}, errNotHolder
		}
		return Outcome{Verdict: a.Verdict, Reason: a.Reason, RetryAfter: a.RetryAfter}, nil
	}
	s.log.Info("forwarded", zap.String("job", string(job.ID)), zap.String("holder", holder.Name), zap.Bool("resubmitted", job.Resubmitted))
	reply, err := s.peers.submit(ctx, holder, job)
	if err != nil {
		return Outcome{}, err
	}
	if reply.Verdict == fleetpb.Verdict_NOT_HOLDER {
		return Outcome{}, errNotHolder
	}
	return Outcome{
		Verdict: leased.Verdict(reply.Verdict), Reason: reply.Reason, RetryAfter: microseconds(reply.RetryAfterUs),
	}, nil
}

func (s *Service) noteLost(holder cells.Entry, job *leased.Job, err error) {
	var notSent *notSentError
	if !errors.As(err, &notSent) {
		job.Resubmitted = true
	}
	s.log.Warn("holder_lost", zap.String("job", string(job.ID)), zap.String("holder", holder.Name),
		zap.Bool("may_have_begun", job.Resubmitted), zap.Error(err))
}

// holderFor picks the holder that a new job goes to: of the own failure
// domain's cells the one with most free room, else of any other domain's.
func holderFor(s *Snapshot) (cells.Entry, bool) {
	if e, ok := bestHolder(s, s.View.Self.FailureDomain); ok {
		return e, true
	}
	var best cells.Entry
	found := false
	for domain := range s.CellsOf {
		if e, ok := bestHolder(s, domain); ok && (!found || e.Name < best.Name) {
			best, found = e, true
		}
	}
	return best, found
}

func bestHolder(s *Snapshot, domain string) (best cells.Entry, found bool) {
	most := -1
	for _, cell := range cells.All(domain, s.CellsOf[domain]) {
		e, ok := s.View.Holder(cell)
		if !ok || s.Free[cell] <= most {
			continue
		}
		best, found, most = e, true, s.Free[cell]
	}
	return best, found
}

// Peers returns how many other entries are heard.
func (s *Service) Peers() int { return len(s.loop.Latest().View.Live) }

// Busy returns how many jobs and tasks of others this entry works for.
func (s *Service) Busy() int {
	status := s.loop.Latest().Status
	return status.Jobs + status.DelegatedTasks
}

// Holding returns how many endpoints this entry holds.
func (s *Service) Holding() int { return s.loop.Latest().Status.Held }
