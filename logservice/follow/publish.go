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

// RejectedError reports that a change is not in force and never will be, because
// another change on the same base was accepted first.
type RejectedError struct {
	ChangeID   string
	Base       uint64
	AcceptedID string // ID of the accepted change
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("change %s was rejected: change %s on version %d came first: compare with the version in force and publish again",
		e.ChangeID, e.AcceptedID, e.Base)
}

// OutcomeUnknownError reports that a change may be in force or may come into force
// later.
type OutcomeUnknownError struct {
	ChangeID string
	Base     uint64
	Cause    error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s on version %d is in force (%v): publish it again with the same change ID to learn its outcome",
		e.ChangeID, e.Base, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// waiter waits for the outcome of a change.
type waiter struct {
	id     string
	base   uint64
	result chan result // capacity 1
}

type result struct {
	outcome    change.Outcome
	acceptedID string
}

var errNoRecord = errors.New("a change on its base was accepted, and the log no longer retains the record of that change")

// Publish appends a change and waits for its outcome. It returns the version that
// the change created. Otherwise it returns a *RejectedError, an
// *OutcomeUnknownError, or, if nothing was written, a *logservice.RefusedError or
// a *logservice.UnavailableError.
//
// Duplicates of a change are harmless, so Publish retries an append whose outcome
// is unknown until the context ends.
func (f *Follower) Publish(ctx context.Context, c change.Change) (version uint64, err error) {
	record, err := change.EncodeChange(c)
	if err != nil {
		return 0, err
	}
	w := &waiter{id: c.ID, base: c.Base, result: make(chan result, 1)}
	registered := f.runOnOwner(ctx, func() {
		f.waiters = append(f.waiters, w)
		f.notifyWaiters()
	})
	if !registered {
		return 0, &logservice.UnavailableError{Operation: "publish change " + c.ID, Cause: errors.New("the follower has stopped")}
	}
	defer f.removeWaiter(w)
	p := &publication{follower: f, waiter: w, record: record, backoff: logservice.NewBackoff(jitterSource(c.ID))}
	return p.run(ctx)
}

// jitterSource returns a random source that is seeded with the ID of a change, so
// that the jitter differs between changes.
func jitterSource(changeID string) *rand.Rand {
	var seed [32]byte
	copy(seed[:], changeID)
	return rand.New(rand.NewChaCha8(seed))
}

func (f *Follower) removeWaiter(w *waiter) {
	f.runOnOwner(context.Background(), func() {
		f.waiters = slices.DeleteFunc(f.waiters, func(other *waiter) bool { return other == w })
	})
}

// notifyWaiters sends the outcomes that have become known to their waiters.
func (f *Follower) notifyWaiters() {
	f.waiters = slices.DeleteFunc(f.waiters, func(w *waiter) bool {
		outcome, acceptedID := f.replica.Outcome(w.id, w.base)
		if outcome == change.OutcomeOpen {
			return false
		}
		w.result <- result{outcome: outcome, acceptedID: acceptedID}
		return true
	})
}

// publication is the state of one call of Publish.
type publication struct {
	follower     *Follower
	waiter       *waiter
	record       []byte
	backoff      logservice.Backoff
	maybeWritten bool  // at least one append may have taken effect
	lastErr      error // error of the last failed append
}

func (p *publication) run(ctx context.Context) (uint64, error) {
	for {
		select {
		case r := <-p.waiter.result:
			return p.finish(r)
		default:
		}
		appended, err := p.append(ctx)
		if err != nil {
			return 0, err
		}
		if done, version, err := p.awaitOutcome(ctx, appended); done {
			return version, err
		}
	}
}

// append tries once to append the change. It returns an error only if a retry is
// pointless.
func (p *publication) append(ctx context.Context) (appended bool, err error) {
	_, err = p.follower.opts.Log.Append(ctx, p.follower.opts.Stream, [][]byte{p.record})
	if err == nil {
		p.maybeWritten = true
		return true, nil
	}
	p.lastErr = err
	p.follower.opts.Logger.Warn("appending a change failed", zap.String("change", p.waiter.id), zap.Error(err))
	var refused *logservice.RefusedError
	if errors.As(err, &refused) {
		if !p.maybeWritten && !refused.Temporary() {
			return false, err
		}
		return false, nil
	}
	var unavailable *logservice.UnavailableError
	if !errors.As(err, &unavailable) {
		p.maybeWritten = true
	}
	return false, nil
}

// awaitOutcome waits for the outcome: until the context ends if the append has
// succeeded, and for the backoff delay otherwise.
func (p *publication) awaitOutcome(ctx context.Context, appended bool) (done bool, version uint64, err error) {
	var retry <-chan time.Time
	if !appended {
		timer := time.NewTimer(p.backoff.Next())
		defer timer.Stop()
		retry = timer.C
	}
	select {
	case r := <-p.waiter.result:
		version, err = p.finish(r)
		return true, version, err
	case <-p.follower.done:
		return true, 0, p.undecided(errors.New("the follower has stopped"))
	case <-ctx.Done():
		return true, 0, p.undecided(context.Cause(ctx))
	case <-retry:
		return false, 0, nil
	}
}

func (p *publication) finish(r result) (uint64, error) {
	switch r.outcome {
	case change.OutcomeAccepted:
		return p.waiter.base + 1, nil
	case change.OutcomeRejected:
		return 0, &RejectedError{ChangeID: p.waiter.id, Base: p.waiter.base, AcceptedID: r.acceptedID}
	}
	return 0, &OutcomeUnknownError{ChangeID: p.waiter.id, Base: p.waiter.base, Cause: errNoRecord}
}

// undecided returns the error for an outcome that did not become known in time.
func (p *publication) undecided(cause error) error {
	if !p.maybeWritten && p.lastErr != nil {
		return p.lastErr
	}
	return &OutcomeUnknownError{ChangeID: p.waiter.id, Base: p.waiter.base, Cause: cause}
}
