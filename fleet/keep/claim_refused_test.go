package keep_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/fleet/keep/keeptest"
)

// refusingLog refuses one append, as the store does with 429 or 503: nothing was done.
type refusingLog struct {
	keep.Log
	refused atomic.Bool
}

func (l *refusingLog) Append(ctx context.Context, shard int, epoch, sequence int64, record []byte) (int64, error) {
	if l.refused.CompareAndSwap(false, true) {
		return 0, &keep.RefusedError{Cause: errors.New("429")}
	}
	return l.Log.Append(ctx, shard, epoch, sequence, record)
}

// ownersWithARefusedClaim returns two entries that have taken a shard over with the same
// epoch, while the log has refused the claim of the second one.
func ownersWithARefusedClaim(t *testing.T, log *sharedEpochs, afterFirst func(*testOwner)) (first, second *testOwner) {
	first = newTestOwner(t, log.forOwner())
	first.shouldOwn.Store(true)
	afterFirst(first)
	second = newTestOwner(t, &refusingLog{Log: log.forOwner()})
	second.shouldOwn.Store(true)
	return first, second
}

// Guards against two owners at a time, both of which offer the stored jobs.
func TestRefusedClaimMakesNoSecondOwner(t *testing.T) {
	log := &sharedEpochs{Log: keeptest.NewLog()}
	first, second := ownersWithARefusedClaim(t, log, func(o *testOwner) { o.accept(t, job(1)) })
	eventually(t, "offered by the second owner", func(context.Context) bool { return second.activeOffers.Load() == 1 })
	// Longer than an owner goes on without a confirmation by the log.
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && first.activeOffers.Load() > 0; {
		time.Sleep(10 * time.Millisecond)
	}
	if first.activeOffers.Load() > 0 && second.activeOffers.Load() > 0 {
		t.Error("two owners offer the same job for 2 s")
	}
}

// Guards against a job that is acknowledged but not stored, because the log takes the
// append for a repeat of the other owner's claim.
func TestJobIsStoredAfterARefusedClaim(t *testing.T) {
	log := &sharedEpochs{Log: keeptest.NewLog()}
	first, second := ownersWithARefusedClaim(t, log, func(o *testOwner) { o.wantState(t, "j1", stored.Unknown) })
	second.accept(t, job(2))
	first.shouldOwn.Store(false)
	second.shouldOwn.Store(false)
	third := newTestOwner(t, log.Log)
	third.shouldOwn.Store(true)
	third.wantState(t, "j2", stored.Queued)
}
