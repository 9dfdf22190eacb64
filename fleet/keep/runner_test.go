package keep_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/fleet/keep/keeptest"
	"lovagespread.example/peer/fleetpb"
)

func TestLogInMemory(t *testing.T) { keeptest.Contract(t, keeptest.NewLog()) }

// codec preserves only the fields that the tests use.
var codec = keep.JobCodec{
	ToPB: func(j *leased.Job) *fleetpb.SubmitRequest {
		return &fleetpb.SubmitRequest{Id: string(j.ID), Queue: j.Queue, MaxAttempts: uint32(j.MaxAttempts), Steps: []*fleetpb.Step{{Tasks: uint32(j.Steps[0].Tasks)}}}
	},
	FromPB: func(r *fleetpb.SubmitRequest) leased.Job {
		return leased.Job{ID: leased.JobID(r.Id), Queue: r.Queue, MaxAttempts: int(r.MaxAttempts), Steps: []leased.Step{{Tasks: int(r.Steps[0].Tasks)}}}
	},
}

// testOwner is a runner that records its offers.
type testOwner struct {
	*keep.Runner
	shouldOwn    atomic.Bool
	activeOffers atomic.Int64

	mu     sync.Mutex
	offers []leased.Job
}

func newTestOwner(t *testing.T, log keep.Log) *testOwner {
	o := &testOwner{}
	ctx, cancel := context.WithCancel(context.Background())
	o.Runner = keep.NewRunner(keep.Environment{
		Log: log, Codec: codec, ShouldOwn: func(int) bool { return o.shouldOwn.Load() }, MayTakeOver: func(int) bool { return true }, OnFenced: func(int) {},
		Offer: func(ctx context.Context, job leased.Job, _ *keep.Updates) stored.Outcome {
			o.mu.Lock()
			o.offers = append(o.offers, job)
			o.mu.Unlock()
			o.activeOffers.Add(1)
			defer o.activeOffers.Add(-1)
			<-ctx.Done()
			return stored.Outcome{}
		},
		AppendInterval: time.Millisecond, Options: stored.Options{Retain: time.Minute, SnapshotAge: time.Minute}, Logger: zap.NewNop(),
		ObserveAppend: func(string, time.Duration) {}, OnOwnershipChange: func(int, bool) {},
	}, 0)
	done := make(chan struct{})
	go func() { defer close(done); o.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return o
}

func (o *testOwner) offered() []leased.Job {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]leased.Job(nil), o.offers...)
}

func job(n int) leased.Job {
	return leased.Job{ID: leased.JobID(fmt.Sprintf("j%d", n)), Queue: "q", MaxAttempts: 2, Steps: []leased.Step{{Tasks: 1}}}
}

// report reports runs of an entry.
func (o *testOwner) report(ctx context.Context, tasks []stored.TaskReport) stored.Result {
	result, _ := o.Report(ctx, 1, tasks)
	return result
}

// accept retries until the runner owns its shard.
func (o *testOwner) accept(t *testing.T, j leased.Job) {
	t.Helper()
	eventually(t, "accepted", func(ctx context.Context) bool { return o.Accept(ctx, j) == stored.Stored })
}

func eventually(t *testing.T, what string, condition func(context.Context) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for !condition(ctx) {
		if ctx.Err() != nil {
			t.Fatalf("not %s within 10 s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (o *testOwner) wantState(t *testing.T, id leased.JobID, want stored.State) {
	t.Helper()
	eventually(t, want.String(), func(ctx context.Context) bool {
		state, result := o.State(ctx, id)
		return result == stored.Stored && state == want
	})
}

func TestNextOwnerReplaysStoredJobs(t *testing.T) {
	log := keeptest.NewLog()
	first, second := newTestOwner(t, log), newTestOwner(t, log)
	first.shouldOwn.Store(true)
	first.accept(t, job(1))
	first.accept(t, job(2))
	done := []stored.TaskReport{{Task: leased.TaskID{Job: "j2"}, Run: leased.RunID{Number: 1}, Done: true}}
	if r := first.report(context.Background(), done); r != stored.Stored {
		t.Fatalf("report: %v", r)
	}
	second.shouldOwn.Store(true) // the first has not noticed
	second.wantState(t, "j1", stored.Queued)
	second.wantState(t, "j2", stored.Completed)
	eventually(t, "offered by the next owner", func(context.Context) bool { return len(second.offered()) == 1 })
	if j := second.offered()[0]; j.ID != "j1" || !j.Resubmitted {
		t.Errorf("offered %+v", j)
	}
	first.shouldOwn.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if r := first.Accept(ctx, job(3)); r == stored.Stored {
		t.Error("an owner that was fenced off has accepted a job")
	}
}

func TestAppendWithLostReplyIsRetried(t *testing.T) {
	log := keeptest.NewLog()
	o := newTestOwner(t, log)
	o.shouldOwn.Store(true)
	o.accept(t, job(1))
	log.SetFaults(keeptest.Faults{LoseReplies: true})
	answered := make(chan stored.Result, 1)
	go func() { answered <- o.Accept(context.Background(), job(2)) }()
	time.Sleep(100 * time.Millisecond)
	log.SetFaults(keeptest.Faults{})
	if r := <-answered; r != stored.Stored {
		t.Errorf("answer %v, want stored", r)
	}
	const afterClaim = 1 // the owner's first record, which it may have trimmed
	if records, end, err := log.Read(context.Background(), 0, afterClaim); err != nil || len(records) != 2 || end != afterClaim+2 {
		t.Errorf("%d records up to %d, %v, want 2 up to %d", len(records), end, err, afterClaim+2)
	}
}

func TestJobIsRefusedWhileTheLogRefuses(t *testing.T) {
	log := keeptest.NewLog()
	o := newTestOwner(t, log)
	o.shouldOwn.Store(true)
	o.accept(t, job(1))
	log.SetFaults(keeptest.Faults{RefuseAppends: true})
	if r := o.Accept(context.Background(), job(2)); r != stored.Refused {
		t.Errorf("answer %v, want refused", r)
	}
	log.SetFaults(keeptest.Faults{})
	o.wantState(t, "j2", stored.Unknown)
	o.accept(t, job(3))
}

// An owner that was fenced off does not know that until it asks the log. It must
// not say that a job does not exist.
func TestReplacedOwnerDoesNotDenyJobs(t *testing.T) {
	log := keeptest.NewLog()
	first, second := newTestOwner(t, log), newTestOwner(t, log)
	first.shouldOwn.Store(true)
	first.accept(t, job(1))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	done := []stored.TaskReport{{Task: leased.TaskID{Job: "j1"}, Run: leased.RunID{Number: 1}, Done: true}}
	if r := first.report(ctx, done); r != stored.Stored { // without open jobs the owner does not ask the log
		t.Fatalf("report: %v", r)
	}
	second.shouldOwn.Store(true)
	second.accept(t, job(2))
	time.Sleep(1100 * time.Millisecond) // the last confirmation of the first owner is outdated now
	if state, result := first.State(ctx, "j2"); result == stored.Stored && state == stored.Unknown {
		t.Error("the first owner says that there is no such job")
	}
	second.wantState(t, "j3", stored.Unknown)
}

// An owner that has no reply from the log for some time withdraws its offers,
// and offers the jobs again later.
func TestOffersAreWithdrawnWhileTheLogIsUnresponsive(t *testing.T) {
	log := keeptest.NewLog()
	o := newTestOwner(t, log)
	o.shouldOwn.Store(true)
	o.accept(t, job(1))
	eventually(t, "offered", func(context.Context) bool { return len(o.offered()) == 1 })
	log.SetFaults(keeptest.Faults{Unresponsive: true})
	eventually(t, "withdrawn", func(context.Context) bool { return o.activeOffers.Load() == 0 })
	log.SetFaults(keeptest.Faults{})
	eventually(t, "offered again", func(context.Context) bool { return len(o.offered()) == 2 })
	if j := o.offered()[1]; !j.Resubmitted {
		t.Errorf("offered %+v, want one that is marked as resubmitted", j)
	}
}

func TestNextOwnerReadsTrimmedLog(t *testing.T) {
	log := keeptest.NewLog()
	first := newTestOwner(t, log)
	first.shouldOwn.Store(true)
	for i := range 5 {
		first.accept(t, job(i))
	}
	if err := log.Trim(context.Background(), 0, 3); err != nil {
		t.Fatal(err)
	}
	second := newTestOwner(t, log)
	second.shouldOwn.Store(true)
	second.wantState(t, "j3", stored.Queued)
	second.wantState(t, "j4", stored.Queued)
}

// Guards against a task that runs twice, or a job that runs on after it was
// cancelled: an owner that was replaced, and has not noticed, was told of a job
// that only the next owner knows, and answered as if nothing needed to be stored.
func TestReplacedOwnerDoesNotTakeNoteOfOthersJobs(t *testing.T) {
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
			log := keeptest.NewLog()
			first, second := newTestOwner(t, log), newTestOwner(t, log)
			first.shouldOwn.Store(true)
			first.accept(t, job(1))
			second.shouldOwn.Store(true)
			second.accept(t, job(2))
			if r := request(first); r != stored.OtherOwner && r != stored.Uncertain {
				t.Errorf("the replaced owner answers %v, want other_owner or uncertain", r)
			}
			first.shouldOwn.Store(false)
			if r := request(second); r != stored.Stored {
				t.Errorf("the owner answers %v, want stored", r)
			}
		})
	}
}

// An owner that is asked about a job that does not exist says so once it is sure.
func TestOwnerAnswersAboutJobsThatDoNotExist(t *testing.T) {
	o := newTestOwner(t, keeptest.NewLog())
	o.shouldOwn.Store(true)
	o.accept(t, job(1))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if r := o.Cancel(ctx, "none"); r != stored.NoSuchJob {
		t.Errorf("cancel: %v, want no such job", r)
	}
	if r := o.report(ctx, []stored.TaskReport{{Task: leased.TaskID{Job: "none"}, Run: leased.RunID{Number: 1}, Done: true}}); r != stored.NoSuchJob {
		t.Errorf("report: %v, want no such job", r)
	}
}
