package keep_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/fleet/keep/keeptest"
)

// sharedEpochs makes each owner that uses it open the log for the first time with the
// epoch of the owner before, as if both had read the same millisecond.
type sharedEpochs struct {
	*keeptest.Log
	mu      sync.Mutex
	highest int64
}

func (s *sharedEpochs) forOwner() keep.Log { return &sharedEpochLog{sharedEpochs: s} }

// sharedEpochLog is the log as one owner uses it.
type sharedEpochLog struct {
	*sharedEpochs
	first, shared int64 // the owner's first epoch, and that of the owner before
}

func (l *sharedEpochLog) epoch(epoch int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.first == 0 {
		l.first, l.shared = epoch, max(l.highest, 1)
		if l.highest == 0 {
			l.shared = epoch
		}
	}
	if epoch == l.first {
		epoch = l.shared
	}
	l.highest = max(l.highest, epoch)
	return epoch
}

func (l *sharedEpochLog) Open(ctx context.Context, shard int, epoch int64) error {
	return l.Log.Open(ctx, shard, l.epoch(epoch))
}

func (l *sharedEpochLog) Append(ctx context.Context, shard int, epoch, sequence int64, record []byte) (int64, error) {
	return l.Log.Append(ctx, shard, l.epoch(epoch), sequence, record)
}

// Two entries take a shard over with the same epoch, so the log fences off neither.
// Guards against two owners at a time: a job that the second one acknowledges is not
// stored, because the log takes its append for a repeat, and the first one denies it.
func TestOwnersWithTheSameEpoch(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	requests := map[string]func(*testOwner) stored.Result{
		"report": func(o *testOwner) stored.Result {
			return o.report(ctx, []stored.TaskReport{{Task: leased.TaskID{Job: "j2"}, Run: leased.RunID{Number: 1}, Done: true}})
		},
		"cancel": func(o *testOwner) stored.Result { return o.Cancel(ctx, "j2") },
	}
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			log := &sharedEpochs{Log: keeptest.NewLog()}
			first, second := newTestOwner(t, log.forOwner()), newTestOwner(t, log.forOwner())
			first.shouldOwn.Store(true)
			first.accept(t, job(1))
			second.shouldOwn.Store(true)
			second.accept(t, job(2))
			if r := request(first); r == stored.NoSuchJob {
				t.Error("the replaced owner says that there is no such job")
			}
			first.shouldOwn.Store(false)
			second.shouldOwn.Store(false)
			third := newTestOwner(t, log.Log)
			third.shouldOwn.Store(true)
			third.wantState(t, "j1", stored.Queued)
			eventually(t, "known to the next owner", func(ctx context.Context) bool {
				state, result := third.State(ctx, "j2")
				if result == stored.Stored && state == stored.Unknown {
					t.Fatal("an acknowledged job is not on the log")
				}
				return result == stored.Stored
			})
		})
	}
}

// Guards against jobs that nobody owns while the log is full: their owner trims it.
func TestShardIsTakenOverWhileTheLogRefusesAppends(t *testing.T) {
	log := keeptest.NewLog()
	first := newTestOwner(t, log)
	first.shouldOwn.Store(true)
	first.accept(t, job(1))
	log.SetFaults(keeptest.Faults{RefuseAppends: true})
	first.shouldOwn.Store(false)
	second := newTestOwner(t, log)
	second.shouldOwn.Store(true)
	second.wantState(t, "j1", stored.Queued)
	log.SetFaults(keeptest.Faults{})
	second.accept(t, job(2))
	second.wantState(t, "j2", stored.Queued)
}
