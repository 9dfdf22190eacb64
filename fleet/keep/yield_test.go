package keep_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/fleet/keep/keeptest"
)

// delayingLog delivers the calls of one owner late, even if the owner has given
// them up. The calls of other owners go to the log directly.
type delayingLog struct {
	keep.Log
	mu      sync.Mutex
	hold    chan struct{} // calls wait until it is closed; nil: they do not wait
	results chan error    // of appends that were delivered late
}

func (l *delayingLog) holdCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold = make(chan struct{})
}

func (l *delayingLog) deliver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.hold)
	l.hold = nil
}

func (l *delayingLog) wait() (late bool) {
	l.mu.Lock()
	hold := l.hold
	l.mu.Unlock()
	if hold == nil {
		return false
	}
	<-hold
	return true
}

func (l *delayingLog) Append(_ context.Context, shard int, epoch, sequence int64, record []byte) (int64, error) {
	late := l.wait()
	offset, err := l.Log.Append(context.Background(), shard, epoch, sequence, record)
	if late {
		l.results <- err
	}
	return offset, err
}

func (l *delayingLog) Read(_ context.Context, shard int, from int64) ([][]byte, int64, error) {
	l.wait()
	return l.Log.Read(context.Background(), shard, from)
}

// Guards against a job that is acknowledged or started by an owner that has yielded
// its shard: its append, which arrives late, must be fenced off by the epoch of the
// next owner, and the log must not make it owner again once it serves it.
func TestOwnerThatHasYieldedAcknowledgesAndStartsNothing(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	log := keeptest.NewLog()
	late := &delayingLog{Log: log, results: make(chan error, 1)}
	first, second := newTestOwner(t, late), newTestOwner(t, log)
	first.shouldOwn.Store(true)
	first.accept(t, job(1))
	eventually(t, "offered", func(context.Context) bool { return len(first.offered()) == 1 })
	late.holdCalls()
	answer := make(chan stored.Result, 1)
	go func() { answer <- first.Accept(ctx, job(2)) }()
	time.Sleep(50 * time.Millisecond) // the append is under way

	first.shouldOwn.Store(false) // it yields
	second.shouldOwn.Store(true)
	second.wantState(t, "j1", stored.Queued)
	late.deliver()

	if _, fenced := errors.Into[*keep.FencedError](<-late.results); !fenced {
		t.Error("an append of the owner that has yielded was not fenced off")
	}
	if r := <-answer; r != stored.Uncertain && r != stored.OtherOwner {
		t.Errorf("the owner that has yielded answers %v, want uncertain or other_owner", r)
	}
	second.wantState(t, "j2", stored.Unknown)
	requests := map[string]stored.Result{
		"accept": first.Accept(ctx, job(3)),
		"cancel": first.Cancel(ctx, "j1"),
		"report": first.report(ctx, []stored.TaskReport{{Task: leased.TaskID{Job: "j1"}, Run: leased.RunID{Number: 1}, Done: true}}),
	}
	for name, r := range requests {
		if r != stored.OtherOwner {
			t.Errorf("%s: the owner that has yielded answers %v, want other_owner", name, r)
		}
	}
	if n := first.activeOffers.Load(); n != 0 || len(first.offered()) != 1 {
		t.Errorf("the owner that has yielded has %d offers, %d in all, want 0, 1 in all", n, len(first.offered()))
	}
}

// Guards against offers of an entry that yields a shard while it takes it over: the
// takeover succeeds late, and its jobs belong to another entry by then.
func TestTakeoverOfYieldedShardOffersNothing(t *testing.T) {
	log := keeptest.NewLog()
	before := newTestOwner(t, log)
	before.shouldOwn.Store(true)
	before.accept(t, job(1))
	late := &delayingLog{Log: log, results: make(chan error, 1)}
	late.holdCalls()
	o := newTestOwner(t, late)
	o.shouldOwn.Store(true)
	time.Sleep(50 * time.Millisecond) // the takeover is under way
	o.shouldOwn.Store(false)
	late.deliver()
	time.Sleep(50 * time.Millisecond)
	if jobs := o.offered(); len(jobs) != 0 {
		t.Errorf("offered %d jobs of a shard that it has yielded, want none", len(jobs))
	}
}
