package fleet

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// holdingRelay passes on connections. During a cut it holds back what is sent to the target, and
// passes it on in order when the cut ends.
type holdingRelay struct {
	mu     sync.Mutex
	cut    bool
	wasCut bool
	end    *sync.Cond // of the cut
}

// startRelay returns a relay to a target, and its address.
func startRelay(t *testing.T, target string) (*holdingRelay, string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	r := &holdingRelay{}
	r.end = sync.NewCond(&r.mu)
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			to, err := net.Dial("tcp4", target)
			if err != nil {
				_ = from.Close()
				continue
			}
			go r.pass(from, to, true)
			go r.pass(to, from, false)
		}
	}()
	return r, listener.Addr().String()
}

// chunk is a part of a stream.
type chunk struct {
	data   []byte
	readAt time.Time
}

func (r *holdingRelay) pass(from, to net.Conn, held bool) {
	defer to.Close()
	chunks := make(chan chunk, 1000)
	go func() {
		defer close(chunks)
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			chunks <- chunk{slices.Clone(buffer[:n]), time.Now()}
			if err != nil {
				return
			}
		}
	}()
	var last time.Time
	for c := range chunks {
		if held && r.wait() && c.readAt.Sub(last) > 500*time.Millisecond {
			time.Sleep(cancellationDelay)
		}
		last = c.readAt
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// cancellationDelay is the time between a call that was held up and its cancellation,
// which was sent later. Without it, most calls would end before their turn.
const cancellationDelay = 40 * time.Millisecond

// wait waits for the end of a cut, and reports whether there has been one.
func (r *holdingRelay) wait() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut {
		r.wasCut = true
		r.end.Wait()
	}
	return r.wasCut
}

func (r *holdingRelay) setCut(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = on
	r.end.Broadcast()
}

// countingEndpoint counts the Starts that it gets.
type countingEndpoint struct {
	freeEndpoint
	starts *atomic.Int32
}

func (e countingEndpoint) Start(ctx context.Context, s *leased.Start) leased.StartReply {
	e.starts.Add(1)
	return e.freeEndpoint.Start(ctx, s)
}

// cutPair is a delegator and a delegate that runs, with a relay between them.
type cutPair struct {
	delegator *Loop
	delegate  *receiver
	entry     cells.Entry // the delegate, as the delegator knows it
	relay     *holdingRelay
	starts    atomic.Int32 // at the delegate
}

func newCutPair(t *testing.T) *cutPair {
	t.Helper()
	p := &cutPair{delegator: testLoop(t, nil)}
	p.delegate = newReceiver(t, countingEndpoint{starts: &p.starts})
	p.delegate.freezeDetector = newFreezeDetector(readClocks, zap.NewNop())
	p.delegate.resumedAt = p.delegate.freezeDetector.check()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: fleetpb.NewFleetServer(p.delegate.server), Protocols: protocols, ReadHeaderTimeout: time.Second}
	t.Cleanup(func() { s.Close() })
	go func() { _ = s.Serve(listener) }() // ends with the test
	relay, address := startRelay(t, listener.Addr().String())
	p.relay = relay
	p.entry = p.delegate.view.Self
	p.entry.Address, p.entry.Interval = address, time.Minute

	withHeartbeats(t, p.delegator)
	self := p.delegator.view.Self
	self.Name, self.Incarnation = "e1", 2
	p.delegator.peers.self = self.Incarnation
	now := time.Now()
	p.delegator.roster = cells.New(self, now.Add(-time.Minute))
	p.delegator.roster.ReceiveHeartbeat(now, p.entry)
	p.delegator.view = p.delegator.roster.View(now)
	p.delegator.publish()

	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.delegate.heartbeats.receive(ctx, p.delegate.Loop)
	go p.delegate.run(ctx)
	// A cut does not affect the beginning of the connection, before any call.
	if _, err := p.delegator.peers.client(address).Snapshot(ctx, &fleetpb.SnapshotRequest{}); err != nil {
		t.Fatal(err)
	}
	return p
}

// sendHeartbeats sends heartbeats of the delegator for a time.
func (p *cutPair) sendHeartbeats(d time.Duration) {
	for end := time.Now().Add(d); ; time.Sleep(50 * time.Millisecond) {
		p.delegator.heartbeats.write(p.entry.HeartbeatAddress, p.delegator.encodeHeartbeat(true, false))
		if time.Now().After(end) {
			return
		}
	}
}

func (p *cutPair) lend(id leased.JobID) {
	p.delegator.delegate(leased.Delegate{Holder: uint64(p.entry.Incarnation), Task: leased.DelegatedTask{
		ID: leased.TaskID{Job: id}, Service: "s", Run: 1, CallerTimeout: time.Minute, Step: leased.Step{Tasks: 1, Demand: leased.Demand{MilliCores: 1000}},
	}})
}

// Guards against form B of the double runs of incident 8 between real entries: a cut holds
// a delegated task up for 2.8 s, its delegator gives it up after 0.8 s, and the delegate
// starts it before it reads that its caller has disconnected. It was heard before the cut,
// or was not heard yet. Without a cut the task is started.
func TestDelegationHeldUpByACutIsNotStarted(t *testing.T) {
	for name, heardBefore := range map[string]bool{"heard before the cut": true, "not heard before the cut": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newCutPair(t)
			if heardBefore {
				p.sendHeartbeats(300 * time.Millisecond)
				p.lend("before")
				time.Sleep(200 * time.Millisecond)
				if n := p.starts.Load(); n != 1 {
					t.Fatalf("%d starts before the cut, want one", n)
				}
				p.sendHeartbeats(0)
			}
			before := p.starts.Load()
			p.relay.setCut(true)
			p.lend("held up")
			time.Sleep(760 * time.Millisecond)
			if _, calls := p.delegator.peers.outbound.giveUp(p.entry.Incarnation, errEntryGone); calls == 0 {
				t.Fatal("there was no open call to the delegate")
			}
			time.Sleep(2 * time.Second)
			p.relay.setCut(false)
			time.Sleep(300 * time.Millisecond)
			p.sendHeartbeats(300 * time.Millisecond)
			if n := p.starts.Load() - before; n != 0 {
				t.Errorf("%d starts after the cut, want none", n)
			}
			p.lend("after")
			time.Sleep(300 * time.Millisecond)
			if n := p.starts.Load() - before; n != 1 {
				t.Errorf("%d starts of a task that was delegated after the cut, want one", n)
			}
		})
	}
}
