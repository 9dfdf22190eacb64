package fleet

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Guards against a job that is submitted again right after a freeze, because its holder
// has ended the call in the meantime. The caller may have left during the freeze and may
// have submitted the job to another entry; that its connection has ended is not read yet.
// A holder that is the only one that had the job starts the tasks at once.
func TestJobIsNotSubmittedAgainRightAfterAFreeze(t *testing.T) {
	clocks := &fakeClocks{monotonic: time.Now()}
	var resumedAt time.Time
	s, _, y := breakingHolders(t, false, func(ctx context.Context, l *Loop) (*fleetpb.SubmitResponse, error) {
		clocks.freeze(3 * time.Second)
		resumedAt = time.Now()
		return refusesJob(ctx, l)
	})
	s.loop.freezeDetector = newFreezeDetector(clocks.read, zap.NewNop())
	got := s.runAtHolder(context.Background(), leased.Job{ID: "j", CallerTimeout: 5 * time.Second}, &holderHistory{})
	if got.Verdict != leased.Completed || len(y.submits) != 1 {
		t.Fatalf("%v after %d calls to the other holder", got.Verdict, len(y.submits))
	}
	if passed := time.Since(resumedAt); passed < resumePause {
		t.Errorf("submitted again within %v of the freeze, want %v at least", passed, resumePause)
	}
}

// Guards against a call that its caller ends while the connection to the holder is
// silent: the cancellation does not arrive, and the holder hears heartbeats, so that it
// goes on starting and renewing the runs until its ping fails, after 3.5 s. The caller
// submits the job to another entry after 1.3 s.
func TestHeartbeatsWithdrawACancelledCall(t *testing.T) {
	caller, holder := testLoop(t, nil), testLoop(t, nil)
	withHeartbeats(t, caller)
	withHeartbeats(t, holder)
	holder.view.Self.Incarnation = 2
	x := startFakeEntry(t, cells.Entry{Name: "x", HeartbeatAddress: "127.0.0.1:2", FailureDomain: "d0", Incarnation: 2, Interval: time.Second})
	silent := make(chan struct{})
	defer close(silent)
	x.setSubmit(func(context.Context, int) (*fleetpb.SubmitResponse, error) {
		<-silent // the handler gets no cancellation
		return &fleetpb.SubmitResponse{}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := caller.peers.submit(ctx, x.entry, &leased.Job{ID: "j"})
		result <- err
	}()
	request := receiveFrom(t, x.submits)
	call, err := holder.peers.inbound.admit(context.Background(), 1, request.Epoch, request.Call)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := receiveFrom(t, result); err == nil {
		t.Fatal("the call was answered")
	}
	peerHeartbeat{caller.heartbeat(true)}.handle(holder)
	if call.ctx.Err() == nil {
		t.Error("the holder has heard the caller's entry, and goes on with the call that it has ended")
	}
}
