package fleet

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// fakeEntry is another entry, which serves Submit and Lend by functions of a test.
type fakeEntry struct {
	fleetpb.Fleet
	entry   cells.Entry
	submits chan *fleetpb.SubmitRequest // received ones
	lends   chan *fleetpb.LendRequest

	mu     sync.Mutex
	calls  int                                                                  // of Submit
	submit func(ctx context.Context, call int) (*fleetpb.SubmitResponse, error) // nil: completes the job
	lend   func(ctx context.Context) error                                      // nil: the task is done
	// lendReply answers Lend instead; nil: lend does.
	lendReply func(context.Context, *fleetpb.LendRequest) (*fleetpb.LendResponse, error)
}

func (f *fakeEntry) setSubmit(submit func(context.Context, int) (*fleetpb.SubmitResponse, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submit = submit
}

func (f *fakeEntry) setLend(lend func(context.Context) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lend = lend
}

func (f *fakeEntry) setLendReply(reply func(context.Context, *fleetpb.LendRequest) (*fleetpb.LendResponse, error)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lendReply = reply
}

func (f *fakeEntry) Submit(ctx context.Context, r *fleetpb.SubmitRequest) (*fleetpb.SubmitResponse, error) {
	f.mu.Lock()
	submit, call := f.submit, f.calls
	f.calls++
	f.mu.Unlock()
	f.submits <- r
	if submit == nil {
		return &fleetpb.SubmitResponse{}, nil
	}
	return submit(ctx, call)
}

func (f *fakeEntry) Lend(ctx context.Context, r *fleetpb.LendRequest) (*fleetpb.LendResponse, error) {
	f.mu.Lock()
	lend, reply := f.lend, f.lendReply
	f.mu.Unlock()
	f.lends <- r
	if reply != nil {
		return reply(ctx, r)
	}
	if lend == nil {
		return &fleetpb.LendResponse{End: uint32(leased.EndDone)}, nil
	}
	return nil, lend(ctx)
}

type connectionKey struct{}

// startFakeEntry serves an entry at an address of its own.
func startFakeEntry(t *testing.T, e cells.Entry) *fakeEntry {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.Address = listener.Addr().String()
	f := &fakeEntry{entry: e, submits: make(chan *fleetpb.SubmitRequest, 100), lends: make(chan *fleetpb.LendRequest, 100)}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{
		Handler: fleetpb.NewFleetServer(f), Protocols: protocols, ReadHeaderTimeout: time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
	}
	t.Cleanup(func() { s.Close() })
	go func() { _ = s.Serve(listener) }() // ends with the test
	return f
}

// breakConnection closes the connection of a call, and returns when the server has
// noticed it.
func breakConnection(ctx context.Context) error {
	_ = ctx.Value(connectionKey{}).(net.Conn).Close() // it may be broken already
	<-ctx.Done()
	return ctx.Err()
}

// withHeartbeats gives a loop a socket for heartbeats and returns its address.
func withHeartbeats(t *testing.T, l *Loop) string {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	l.view.Self.Address, l.view.Self.HeartbeatAddress = "127.0.0.1:1", conn.LocalAddr().String()
	l.heartbeats = newHeartbeats(conn, Settings{}, l.metrics, zap.NewNop())
	return conn.LocalAddr().String()
}

// receiveHeartbeat passes the next datagram at a loop's socket to the loop.
func receiveHeartbeat(t *testing.T, l *Loop) {
	t.Helper()
	buffer := make([]byte, maxDatagram)
	if err := l.heartbeats.conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	n, _, err := l.heartbeats.conn.ReadFromUDP(buffer)
	if err != nil {
		t.Fatalf("no heartbeat: %v", err)
	}
	l.receiveDatagram(buffer[:n])
}

// receiveFrom returns the next value of a channel.
func receiveFrom[T any](t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case v := <-values:
		return v
	case <-time.After(5 * time.Second):
		var none T
		t.Fatalf("no %T within 5 s", none)
		return none
	}
}

// nextMessage returns the next message of a type to a loop, and drops those of other
// types before it.
func nextMessage[M message](t *testing.T, l *Loop) M {
	t.Helper()
	for {
		if m, ok := receiveFrom(t, l.messages).(M); ok {
			return m
		}
	}
}

// The epoch rises if and only if a call was given up without an answer. One that
// does not rise leaves runs that nobody stops; one that rises too often stops the
// runs of jobs whose callers still wait.
func TestEpochRisesWhenACallIsGivenUp(t *testing.T) {
	answered := func(context.Context, int) (*fleetpb.SubmitResponse, error) { return &fleetpb.SubmitResponse{}, nil }
	failed := func(context.Context, int) (*fleetpb.SubmitResponse, error) {
		return nil, twirp.InternalError("an error of the application")
	}
	broken := func(ctx context.Context, _ int) (*fleetpb.SubmitResponse, error) { return nil, breakConnection(ctx) }
	unanswered := func(ctx context.Context, _ int) (*fleetpb.SubmitResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for name, c := range map[string]struct {
		submit func(context.Context, int) (*fleetpb.SubmitResponse, error)
		during func(l *Loop, cancel context.CancelFunc) // the call
		epoch  uint64
		check  func(error) bool
	}{
		"answered":             {answered, nil, 0, func(err error) bool { return err == nil }},
		"answered by an error": {failed, nil, 0, func(err error) bool { return isAnswer(err) && !isBroken(err) }},
		"connection broken":    {broken, nil, 1, isBroken},
		"ended by its caller":  {unanswered, func(_ *Loop, cancel context.CancelFunc) { cancel() }, 0, func(err error) bool { return err != nil && !isBroken(err) }},
		"entry gone": {unanswered, func(l *Loop, _ context.CancelFunc) {
			before := l.view
			l.view = cells.New(before.Self, time.Now()).View(time.Now())
			l.entriesChanged(before, l.view)
		}, 1, func(err error) bool {
			var broken *brokenCallError
			return errors.As(err, &broken) && broken.gone
		}},
	} {
		t.Run(name, func(t *testing.T) {
			l := testLoop(t, nil)
			withHeartbeats(t, l)
			x := startFakeEntry(t, cells.Entry{Name: "x", HeartbeatAddress: "127.0.0.1:2", FailureDomain: "d0", Incarnation: 2, Interval: time.Second})
			x.setSubmit(c.submit)
			l.roster.ReceiveHeartbeat(time.Now(), x.entry)
			l.view = l.roster.View(time.Now())
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			result := make(chan error, 1)
			go func() {
				_, err := l.peers.submit(ctx, x.entry, &leased.Job{ID: "j"})
				result <- err
			}()
			receiveFrom(t, x.submits)
			if c.during != nil {
				c.during(l, cancel)
			}
			if err := receiveFrom(t, result); !c.check(err) {
				t.Errorf("error %v", err)
			}
			if got := l.peers.outbound.epochs.current(2); got != c.epoch {
				t.Errorf("epoch %d, want %d", got, c.epoch)
			}
			if got := l.heartbeat(true).CallEpochs; len(got) != int(c.epoch) {
				t.Errorf("heartbeats announce %v", got)
			}
		})
	}
}

func isBroken(err error) bool {
	var broken *brokenCallError
	return errors.As(err, &broken) && !broken.gone
}

// refusingAddress is an address at which connections are refused. The kernel never
// chooses its port for a listener or a connection.
const refusingAddress = "127.0.0.1:1"

// Nothing was sent, so there is nothing to withdraw.
func TestEpochDoesNotRiseWhenNothingWasSent(t *testing.T) {
	l := testLoop(t, nil)
	_, err := l.peers.submit(context.Background(), cells.Entry{Incarnation: 2, Address: refusingAddress}, &leased.Job{ID: "j"})
	var notSent *notSentError
	if got := l.peers.outbound.epochs.current(2); !errors.As(err, &notSent) || got != 0 {
		t.Errorf("epoch %d after %v, want 0 after an error of an entry that was not reached", got, err)
	}
}

// A delegated task whose call breaks is given up together with the jobs at the same
// entry, and later requests of both kinds carry the next epoch.
func TestCallsToAnEntryAreGivenUpTogether(t *testing.T) {
	l := testLoop(t, nil)
	x := startFakeEntry(t, cells.Entry{Name: "x", FailureDomain: "d0", Incarnation: 2, Interval: time.Second})
	l.roster.ReceiveHeartbeat(time.Now(), x.entry)
	l.view = l.roster.View(time.Now())
	l.publish()
	job := l.peers.outbound.open(context.Background(), 2) // on another connection
	x.setLend(breakConnection)
	request := &leased.Delegate{Holder: 2, Task: leased.DelegatedTask{ID: leased.TaskID{Job: "j"}, Run: 1}}
	if end := l.peers.delegate(context.Background(), request).End; end != leased.EndUnknown {
		t.Errorf("the task ended with %v, want %v", end, leased.EndUnknown)
	}
	if !errors.Is(context.Cause(job.ctx), errCallsGivenUp) {
		t.Errorf("the call for a job was ended by %v, want %v", context.Cause(job.ctx), errCallsGivenUp)
	}
	if m := nextMessage[callsGivenUp](t, l); m.to.Incarnation != 2 || m.epoch != 1 || m.calls != 2 {
		t.Errorf("%+v, want epoch 1 of entry 2 and two calls", m)
	}
	x.setLend(nil)
	l.peers.delegate(context.Background(), request)
	if _, err := l.peers.submit(context.Background(), x.entry, &leased.Job{ID: "j"}); err != nil {
		t.Fatal(err)
	}
	if first, second, submit := receiveFrom(t, x.lends), receiveFrom(t, x.lends), receiveFrom(t, x.submits); first.Epoch != 0 || second.Epoch != 1 || submit.Epoch != 1 {
		t.Errorf("requests of epochs %d, %d and %d, want 0, 1 and 1", first.Epoch, second.Epoch, submit.Epoch)
	}
}

// The connection's end reaches only the calling entry, and that entry does not count
// the other one as live any more. The other one must end the call nevertheless, or it
// goes on starting runs of a task that another holder starts, too.
func TestWithdrawalReachesTheOtherEntryWithoutItsConnection(t *testing.T) {
	caller, holder := testLoop(t, nil), testLoop(t, nil)
	withHeartbeats(t, caller)
	holder.view.Self.Incarnation = 2
	core, logs := observer.New(zapcore.WarnLevel)
	holder.log = zap.New(core)
	to := cells.Entry{Name: "x", HeartbeatAddress: withHeartbeats(t, holder), FailureDomain: "d0", Incarnation: 2}
	s := &server{loop: holder, peers: holder.peers}
	lend := func(epoch uint64) error {
		_, err := s.Lend(context.Background(), &fleetpb.LendRequest{
			From: 1, Job: "j", Step: &fleetpb.Step{Tasks: 1, MilliCores: 1000}, Run: 1, PatienceUs: 1_000_000, Adopt: true, Epoch: epoch})
		return err
	}
	result := make(chan error, 1)
	go func() { result <- lend(0) }() // its context does not end with the connection
	submitted := nextMessage[submitDelegated](t, holder)
	if submitted.caller != 1 {
		t.Errorf("the task is submitted for the entry %d, want 1", submitted.caller)
	}
	submitted.handle(holder)

	caller.peers.outbound.open(context.Background(), 2)
	caller.giveUpCalls(to)
	receiveHeartbeat(t, holder)
	nextMessage[peerHeartbeat](t, holder).handle(holder)
	if err := receiveFrom(t, result); !errors.Is(err, context.Canceled) {
		t.Errorf("the call ended with %v, want %v", err, context.Canceled)
	}
	nextMessage[cancelTicket](t, holder) // which stops the run
	receiveHeartbeat(t, holder)          // the second datagram changes nothing
	nextMessage[peerHeartbeat](t, holder).handle(holder)
	if n := logs.FilterMessage("calls_withdrawn").Len(); n != 1 {
		t.Errorf("%d log lines of the withdrawal, want 1", n)
	}
	var refused twirp.Error
	if err := lend(0); !errors.As(err, &refused) || refused.Code() != twirp.FailedPrecondition {
		t.Errorf("a delayed request: error %v, want %v", err, twirp.FailedPrecondition)
	}
	if n := len(holder.messages); n != 0 {
		t.Errorf("%d messages of a delayed request reached the loop, want none", n)
	}
	go func() { result <- lend(1) }()
	if nextMessage[submitDelegated](t, holder).task.ID.Job != "j" {
		t.Error("the task that was submitted again did not reach the loop")
	}
}

// The epochs of calls to others, or those of another entry, withdraw nothing here.
func TestOnlyTheNamedCallsAreWithdrawn(t *testing.T) {
	l := testLoop(t, nil)
	withHeartbeats(t, l)
	call, err := l.peers.inbound.admit(context.Background(), 2, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	toOthers, ofAnother, older := validHeartbeat(), validHeartbeat(), validHeartbeat()
	toOthers.CallEpochs = []*fleetpb.CallEpoch{{Incarnation: 3, Epoch: 9}}
	ofAnother.Name, ofAnother.Incarnation, ofAnother.CallEpochs = "e2", 4, []*fleetpb.CallEpoch{{Incarnation: 1, Epoch: 9}}
	for _, b := range []*fleetpb.Beat{toOthers, ofAnother, older} {
		peerHeartbeat{b}.handle(l)
	}
	if call.ctx.Err() != nil {
		t.Error("a call was withdrawn by an epoch of others")
	}
	toThis := validHeartbeat()
	toThis.CallEpochs = []*fleetpb.CallEpoch{{Incarnation: 3, Epoch: 9}, {Incarnation: 1, Epoch: 1}}
	peerHeartbeat{toThis}.handle(l)
	if call.ctx.Err() == nil {
		t.Error("the call was not withdrawn by the epoch that names this entry")
	}
}

// Leases must not be extended beyond the last contact with the caller's entry. Guards
// against an entry that counts as heard because it has a call, which may have been held
// up, and against one that is listed twice.
func TestCallerContacts(t *testing.T) {
	l := testLoop(t, nil)
	heardAt := time.Now().Add(-700 * time.Millisecond)
	l.roster.ReceiveHeartbeat(heardAt, cells.Entry{Name: "e1", FailureDomain: "d0", Incarnation: 3, Interval: heartbeatInterval})
	l.roster.ReceiveHeartbeat(heardAt, cells.Entry{Name: "e2", FailureDomain: "d0", Incarnation: 4, Interval: heartbeatInterval})
	if got := l.callerContacts(); len(got) != 0 {
		t.Errorf("%v without open calls, want none", got)
	}
	for _, id := range []cells.Incarnation{3, 2, 2, 3} {
		c, err := l.peers.inbound.admit(context.Background(), id, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer l.peers.inbound.end(c)
	}
	want := []leased.CallerContact{{Caller: 3, HeardAt: heardAt}}
	if got := l.callerContacts(); !slices.Equal(got, want) {
		t.Errorf("contacts %v, want %v", got, want)
	}
}

// The core needs to know whose call submits a job, or it cannot bound its leases.
func TestCallerIsPassedToTheLoop(t *testing.T) {
	l := testLoop(t, nil)
	now := time.Now()
	view := cells.New(l.view.Self, now.Add(-time.Minute)).View(now)
	l.snapshot.Store(&Snapshot{View: view, CellCounts: map[string]int{"d0": 1}})
	s := &server{loop: l, peers: l.peers}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	job := leased.Job{ID: "j", Service: "s", MaxAttempts: 1, CallerTimeout: time.Second, Steps: []leased.Step{{Tasks: 1, Demand: leased.Demand{MilliCores: 1000}}}}
	go func() { _, _ = s.Submit(ctx, jobToPB(&job, 5)) }() // ends with the test
	if m := nextMessage[submitJob](t, l); m.caller != 5 {
		t.Errorf("the job is submitted for the entry %d, want 5", m.caller)
	}
	go l.runLocally(ctx, job, origin{})
	if m := nextMessage[submitJob](t, l); m.caller != 0 {
		t.Errorf("the job of a local caller is submitted for the entry %d, want 0", m.caller)
	}
}
