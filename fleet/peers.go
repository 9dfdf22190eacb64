package fleet

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Times of connections between entries.
const (
	peerDialTimeout = 250 * time.Millisecond
	// Heartbeats notice a dead entry; pings only a connection that has gone
	// silent. A busy entry on a small VM may answer late, and breaking its
	// connection would send all its jobs on their way again.
	peerPingAfter   = time.Second // without a frame
	peerPingTimeout = 2500 * time.Millisecond
	snapshotTimeout = 500 * time.Millisecond
)

// peers calls other entries. It is safe for concurrent use.
type peers struct {
	self   cells.Incarnation
	http   *http.Client
	log    *zap.Logger
	report func(message)    // to the loop
	latest func() *Snapshot // of the loop

	mu       sync.Mutex
	clients  map[string]fleetpb.Fleet // by address
	calls    map[cells.Incarnation]map[*call]struct{}
	fetching bool
}

// call is a call to or from an entry, which ends when the entry is lost.
type call struct{ cancel context.CancelFunc }

func newPeers(self cells.Incarnation, log *zap.Logger) *peers {
	dialer := &net.Dialer{Timeout: peerDialTimeout}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &peers{
		self: self, log: log,
		http: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, Protocols: protocols,
			HTTP2: &http.HTTP2Config{SendPingTimeout: peerPingAfter, PingTimeout: peerPingTimeout},
		}},
		clients: make(map[string]fleetpb.Fleet),
		calls:   make(map[cells.Incarnation]map[*call]struct{}),
	}
}

func (p *peers) client(address string) fleetpb.Fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = fleetpb.NewFleetProtobufClient("http://"+address, p.http)
		p.clients[address] = c
	}
	return c
}

// while returns a context that also ends when the entry is lost.
func (p *peers) while(ctx context.Context, id cells.Incarnation) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	c := &call{cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[id] == nil {
		p.calls[id] = make(map[*call]struct{})
	}
	p.calls[id][c] = struct{}{}
	return ctx, func() {
		cancel()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.calls[id], c)
		if len(p.calls[id]) == 0 {
			delete(p.calls, id)
		}
	}
}

// lost ends the calls to and from an entry.
func (p *peers) lost(id cells.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.calls[id] {
		c.cancel()
	}
}

// notSentError reports a call that never reached the other entry.
type notSentError struct{ cause error }

func (e *notSentError) Error() string {
	return "the entry cannot be reached, nothing was sent: " + e.cause.Error()
}
func (e *notSentError) Unwrap() error { return e.cause }

// observeSending tells whether a request may have left this process.
func observeSending(ctx context.Context) (context.Context, *bool) {
	sent := new(bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *sent = true }}
	return httptrace.WithClientTrace(ctx, trace), sent
}

// submit hands a job to a holder. A *notSentError says that it never arrived.
func (p *peers) submit(ctx context.Context, to cells.Entry, job *leased.Job) (*fleetpb.SubmitResponse, error) {
	ctx, done := p.while(ctx, to.Incarnation)
	defer done()
	traced, sent := observeSending(ctx)
	reply, err := p.client(to.Address).Submit(traced, jobToPB(job, uint64(p.self)))
	if err == nil {
		return reply, nil
	}
	if ctx.Err() == nil {
		p.report(suspectEntry{to.Incarnation})
	}
	if !*sent {
		return nil, &notSentError{err}
	}
	return nil, errors.Wrap(err, "the connection to the holder broke")
}

// lend asks a holder to run a task.
func (p *peers) lend(ctx context.Context, order *leased.Delegate) (leased.End, string) {
	holder := cells.Incarnation(order.Holder)
	address, ok := p.addressOf(holder)
	if !ok {
		return leased.EndNoCapacity, ""
	}
	ctx, done := p.while(ctx, holder)
	defer done()
	traced, sent := observeSending(ctx)
	reply, err := p.client(address).Lend(traced, guestToPB(&order.Task, uint64(p.self)))
	if err == nil {
		return leased.End(reply.End), reply.Saved
	}
	if ctx.Err() == nil {
		p.report(suspectEntry{holder})
	}
	p.log.Warn("lend_failed", zap.String("job", string(order.Task.ID.Job)), zap.Int("task", order.Task.ID.Index), zap.Int("run", order.Task.Run), zap.Bool("sent", *sent), zap.Error(err))
	if !*sent {
		return leased.EndNoCapacity, ""
	}
	return leased.EndUnknown, ""
}

func (p *peers) addressOf(id cells.Incarnation) (string, bool) {
	e, ok := p.latest().View.Find(id)
	return e.Address, ok
}

// fetchFrom asks an entry for its configuration and endpoints, one request at
// a time.
func (p *peers) fetchFrom(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetching {
		return
	}
	p.fetching = true
	go func() {
		defer p.fetched()
		ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
		defer cancel()
		reply, err := p.client(address).Snapshot(ctx, &fleetpb.SnapshotRequest{})
		if err != nil {
			p.log.Warn("snapshot_failed", zap.String("address", address), zap.Error(err))
			return
		}
		directory, err := decodeSnapshot(reply)
		if err != nil {
			p.log.Warn("snapshot_unreadable", zap.String("address", address), zap.Error(err))
			return
		}
		p.report(peerDirectory{directory})
	}()
}

func (p *peers) fetched() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetching = false
}

func decodeSnapshot(reply *fleetpb.SnapshotResponse) (Directory, error) {
	d := Directory{Version: reply.ConfigurationVersion}
	if len(reply.Configuration) > 0 {
		d.Configuration = &Configuration{}
		if err := json.Unmarshal(reply.Configuration, d.Configuration); err != nil {
			return d, errors.Wrap(err, "configuration of a peer")
		}
	}
	if len(reply.Endpoints) > 0 {
		if err := json.Unmarshal(reply.Endpoints, &d.Endpoints); err != nil {
			return d, errors.Wrap(err, "endpoints of a peer")
		}
	}
	return d, nil
}
