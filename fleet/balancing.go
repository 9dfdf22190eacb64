package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/balance"
	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Time that a job takes to reach another holder. The latency between failure
// domains is 0.5 ms one way; the rest is the handling of the call.
const (
	transferWithinDomain   = time.Millisecond
	transferBetweenDomains = 2 * time.Millisecond
)

// balancer holds the loads of all holders for the choice of the holder of a new
// job. It is safe for concurrent use. The zero value is ready for use.
type balancer struct {
	mu    sync.Mutex
	table balance.Table
}

// receive replaces the load of a holder, or discards it if load is nil.
func (b *balancer) receive(now time.Time, holder cells.Incarnation, load *balance.Load, transfer time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if load == nil {
		b.table.Forget(uint64(holder))
		return
	}
	b.table.Receive(now, uint64(holder), *load, transfer)
}

// isShort reports whether the predicted wait at a holder exceeds the threshold.
func (b *balancer) isShort(now time.Time, holder cells.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait, known := b.table.Expected(now, uint64(holder))
	return known && wait > balance.Threshold
}

// prefersSecond decides between two holders for a job of the given work. It
// counts the work at the second one if that gets the job.
func (b *balancer) prefersSecond(now time.Time, first, second cells.Incarnation, work float64) (here, there time.Duration, better bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	here, _ = b.table.Expected(now, uint64(first))
	there, _ = b.table.Expected(now, uint64(second))
	better = b.table.Better(now, uint64(first), uint64(second))
	if better {
		b.table.Sent(uint64(second), work)
	}
	return here, there, better
}

// observe records how long a job has waited at a holder.
func (b *balancer) observe(now time.Time, holder cells.Incarnation, wait time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Observe(now, uint64(holder), wait)
}

// movedError reports a job that its holder has returned unbegun, because another
// holder is expected to start it sooner.
type movedError struct{ to cells.Incarnation }

func (e *movedError) Error() string { return "another holder is expected to start the job sooner" }

// returnedError returns the error of a holder that has returned a job unbegun: a
// *movedError if it names another holder, and errNotHolder otherwise. A job moves
// once, whatever holders answer, so that it cannot circulate.
func returnedError(job *leased.Job, to uint64) error {
	if to == 0 || !job.Movable {
		return errNotHolder
	}
	return &movedError{cells.Incarnation(to)}
}

// chooseHolder returns the holder that a job is submitted to: the preferred one
// if it is live, or else the one of holderOfJob, unless balancing is on, the queue
// there is long and that of a random other holder is shorter.
func (s *Service) chooseHolder(latest *Snapshot, job *leased.Job, preferred cells.Incarnation, passed *passedOver) (cells.Entry, bool) {
	if e, live := latest.View.Find(preferred); live && preferred != 0 && !e.Leaving && latest.serving(e.FailureDomain) {
		return e, true
	}
	first, ok := holderOfJob(latest, job.ID, passed)
	now := time.Now()
	if !ok || !s.loop.settings.Balancing || job.Resubmitted || !s.loop.balancer.isShort(now, first.Incarnation) {
		return first, ok
	}
	others := otherHolders(latest, first.Incarnation)
	if len(others) == 0 {
		return first, true
	}
	second := others[rand.IntN(len(others))]
	here, there, better := s.loop.balancer.prefersSecond(now, first.Incarnation, second.Incarnation, workOf(job))
	if !better {
		return first, true
	}
	s.metrics.balanced.WithLabelValues("sent").Inc()
	s.log.Info("balanced", zap.String("job", string(job.ID)), zap.String("holder", second.Name), zap.String("instead_of", first.Name),
		zap.Duration("wait_there_ms", there), zap.Duration("wait_here_ms", here))
	return second, true
}

// otherHolders returns the holders of all failure domains that are not evacuated,
// except one holder, each once.
func otherHolders(s *Snapshot, except cells.Incarnation) []cells.Entry {
	seen := map[cells.Incarnation]bool{except: true}
	var others []cells.Entry
	for _, domain := range slices.Sorted(maps.Keys(s.CellCounts)) {
		if !s.serving(domain) {
			continue
		}
		holders, _ := holdersIn(s, domain)
		for _, e := range holders {
			if !seen[e.Incarnation] {
				seen[e.Incarnation] = true
				others = append(others, e)
			}
		}
	}
	return others
}

// workOf returns the estimated work of a job in core-seconds.
func workOf(job *leased.Job) float64 {
	var work float64
	for i := range job.Steps {
		step := &job.Steps[i]
		work += float64(step.Tasks) * float64(step.Demand.MilliCores) / 1000 * step.Estimate.Seconds()
	}
	return work
}

// jobMoved prepares a job that a holder has returned for its next submission,
// after which it stays. It returns the holder to submit it to, or false if the
// error is another one.
func (s *Service) jobMoved(err error, from cells.Entry, job *leased.Job, sent time.Time) (cells.Incarnation, bool) {
	var moved *movedError
	if !errors.As(err, &moved) {
		return 0, false
	}
	now := time.Now()
	waited := now.Sub(sent)
	s.loop.balancer.observe(now, from.Incarnation, waited)
	job.Movable = false
	s.metrics.balanced.WithLabelValues("moved").Inc()
	s.log.Info("job_moved", zap.String("job", string(job.ID)), zap.String("holder", from.Name), zap.Uint64("to", uint64(moved.to)), zap.Duration("waited_ms", waited))
	return moved.to, true
}

// answerOf returns the answer to another entry for a job that was run here.
func answerOf(a *leased.Answer, movable bool) *fleetpb.SubmitResponse {
	r := &fleetpb.SubmitResponse{Verdict: verdicts[a.Verdict], Reason: a.Reason, RetryAfterUs: a.RetryAfter.Microseconds(), EarlierRuns: a.EarlierRuns}
	if a.Verdict == leased.Moved && a.To != 0 && movable {
		r.Verdict, r.To = fleetpb.Verdict_MOVED, a.To
	}
	return r
}

// loadOf returns the load that a heartbeat announces, or nil if it announces none
// or one that no correct holder announces. The latter is logged.
func (l *Loop) loadOf(b *fleetpb.Beat) *balance.Load {
	for _, r := range b.Rooms {
		if r.WaitUs == nil {
			continue
		}
		load := &balance.Load{
			Wait: boundedMicroseconds(*r.WaitUs), Trend: float64(r.Trend), Cores: float64(r.MilliCores) / 1000, Age: boundedMicroseconds(r.WaitAgeUs),
		}
		if err := load.Validate(); err != nil {
			l.log.Warn("announced_load_invalid", zap.String("entry", b.Name), zap.Error(err))
			return nil
		}
		return load
	}
	return nil
}

// boundedMicroseconds converts without overflow.
func boundedMicroseconds(n int64) time.Duration {
	const bound = int64(24 * time.Hour / time.Microsecond)
	return microseconds(max(-bound, min(bound, n)))
}

// receiveLoad records the load that a heartbeat announces, and returns it with
// the time that a job takes to its sender.
func (l *Loop) receiveLoad(now time.Time, b *fleetpb.Beat) (*balance.Load, time.Duration) {
	transfer := transferBetweenDomains
	if b.FailureDomain == l.view.Self.FailureDomain {
		transfer = transferWithinDomain
	}
	load := l.loadOf(b)
	l.balancer.receive(now, cells.Incarnation(b.Incarnation), load, transfer)
	return load, transfer
}

// announceLoad adds the load of the own queue to the announcement of a cell.
func (l *Loop) announceLoad(r *fleetpb.Room) {
	load, ok := l.core.Load(time.Now())
	if !ok {
		return
	}
	wait := load.Wait.Microseconds()
	r.WaitUs, r.Trend, r.MilliCores, r.WaitAgeUs = &wait, float32(load.Trend), uint64(load.Cores*1000), load.Age.Microseconds()
}

// updateOwnLoad records the load of the own queue for the choice of holders.
func (l *Loop) updateOwnLoad(now time.Time) {
	load, ok := l.core.Load(now)
	if !ok {
		l.balancer.receive(now, l.view.Self.Incarnation, nil, 0)
		return
	}
	l.balancer.receive(now, l.view.Self.Incarnation, &load, 0)
	l.metrics.predictedWait.Set(load.Wait.Seconds())
	l.metrics.waitTrend.Set(load.Trend)
}
