package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice"
)

// RejectedError says that a change is not in force and never will be: another
// one on the same base came first.
type RejectedError struct {
	ChangeID string
	Base     uint64
	AcceptedID   string // ID of the other change
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("change %s was rejected: change %s on version %d came first: compare with the version in force and publish again",
		e.ChangeID, e.AcceptedID, e.Base)
}

// OutcomeUnknownError says that a change may be in force, or may come into force
// later.
type OutcomeUnknownError struct {
	ChangeID string
	Base     uint64
	Cause    error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s on version %d is in force (%v): publish it again with the same change ID to learn its fate",
		e.ChangeID, e.Base, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// waiter waits for the fate of a change.
type waiter struct {
	id   string
	base uint64
	fate chan result // capacity 1
}

type result struct {
	fate   change.Outcome
	winner string
}

var errNoRecord = errors.New("its base has passed, and the log has forgotten by which change")

// Publish appends a change and waits for its fate. It returns the version
// that the change made, or an error that tells the truth about it:
// a *RejectedError, an *UnknownError, or, if nothing was written, a
// *logservice.RefusedError or a *logservice.UnavailableError.
//
// Further copies of the change are harmless, so an append of unknown outcome
// is repeated until the context ends.
func (f *Follower) Publish(ctx context.Context, c change.Change) (version uint64, err error) {
	record, err := change.EncodeChange(c)
	if err != nil {
		return 0, err
	}
	w := &waiter{id: c.ID, base: c.Base, fate: make(chan result, 1)}
	registered := f.do(ctx, func() {
		f.waiters = append(f.waiters, w)
		f.settleWaiters()
	})
	if !registered {
		return 0, &logservice.UnavailableError{Operation: "publish change " + c.ID, Cause: errors.New("the follower has stopped")}
	}
	defer f.forget(w)
	p := &publication{follower: f, waiter: w, record: record, backoff: logservice.NewBackoff(seeded(c.ID))}
	return p.run(ctx)
}

// seeded returns a source of jitter that differs between changes.
func seeded(changeID string) *rand.Rand {
	var seed [32]byte
	copy(seed[:], changeID)
	return rand.New(rand.NewChaCha8(seed))
}

func (f *Follower) forget(w *waiter) {
	f.do(context.Background(), func() {
		f.waiters = slices.DeleteFunc(f.waiters, func(other *waiter) bool { return other == w })
	})
}

// settleWaiters tells waiters the fates that have become known.
func (f *Follower) settleWaiters() {
	f.waiters = slices.DeleteFunc(f.waiters, func(w *waiter) bool {
		fate, winner := f.replica.Outcome(w.id, w.base)
		if fate == change.OutcomeOpen {
			return false
		}
		w.fate <- result{fate: fate, winner: winner}
		return true
	})
}

// publication is one run of Publish.
type publication struct {
	follower *Follower
	waiter   *waiter
	record   []byte
	backoff  logservice.Backoff
	written  bool  // some append may have taken effect
	last     error // of the last append
}

func (p *publication) run(ctx context.Context) (uint64, error) {
	for {
		select {
		case r := <-p.waiter.fate:
			return p.settle(r)
		default:
		}
		appended, err := p.append(ctx)
		if err != nil {
			return 0, err
		}
		if done, version, err := p.wait(ctx, appended); done {
			return version, err
		}
	}
}

// append writes the change once. Its error is final.
func (p *publication) append(ctx context.Context) (appended bool, err error) {
	_, err = p.follower.opts.Log.Append(ctx, p.follower.opts.Stream, [][]byte{p.record})
	if err == nil {
		p.written = true
		return true, nil
	}
	p.last = err
	p.follower.opts.Logger.Warn("appending a change failed", zap.String("change", p.waiter.id), zap.Error(err))
	var refused *logservice.RefusedError
	if errors.As(err, &refused) {
		if !p.written && !refused.Temporary() {
			return false, err
		}
		return false, nil
	}
	var unavailable *logservice.UnavailableError
	if !errors.As(err, &unavailable) {
		p.written = true
	}
	return false, nil
}

// wait waits for the fate: until the context ends after a good append, and
// for the back-off otherwise.
func (p *publication) wait(ctx context.Context, appended bool) (done bool, version uint64, err error) {
	var retry <-chan time.Time
	if !appended {
		timer := time.NewTimer(p.backoff.Next())
		defer timer.Stop()
		retry = timer.C
	}
	select {
	case r := <-p.waiter.fate:
		version, err = p.settle(r)
		return true, version, err
	case <-p.follower.done:
		return true, 0, p.unsettled(errors.New("the follower has stopped"))
	case <-ctx.Done():
		return true, 0, p.unsettled(context.Cause(ctx))
	case <-retry:
		return false, 0, nil
	}
}

func (p *publication) settle(r result) (uint64, error) {
	switch r.fate {
	case change.OutcomeAccepted:
		return p.waiter.base + 1, nil
	case change.OutcomeRejected:
		return 0, &RejectedError{ChangeID: p.waiter.id, Base: p.waiter.base, AcceptedID: r.winner}
	}
	return 0, &OutcomeUnknownError{ChangeID: p.waiter.id, Base: p.waiter.base, Cause: errNoRecord}
}

// unsettled is the answer when the fate did not become known in time.
func (p *publication) unsettled(cause error) error {
	if !p.written && p.last != nil {
		return p.last
	}
	return &OutcomeUnknownError{ChangeID: p.waiter.id, Base: p.waiter.base, Cause: cause}
}
