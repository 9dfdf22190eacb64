package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Timeouts of connections between entries.
const (
	peerDialTimeout = 250 * time.Millisecond
	// Heartbeats detect a dead entry; pings only detect a dead connection. A busy
	// entry on a small VM may answer pings late, and closing its connection would
	// cause all of its jobs to be resubmitted.
	peerPingAfter   = time.Second // without a received frame
	peerPingTimeout = 2500 * time.Millisecond
	snapshotTimeout = 500 * time.Millisecond
	// refusedPause is how long an entry whose directory was refused is not asked again.
	// Each of its heartbeats would be an occasion, and a directory may have megabytes.
	refusedPause = 10 * time.Second
)

// peers is the client for calls to other entries. It is safe for concurrent use.
type peers struct {
	self   cells.Incarnation
	http   *http.Client
	log    *zap.Logger
	send   func(message)    // to the loop
	latest func() *Snapshot // of the loop

	outbound *callSet // jobs and tasks submitted to other entries
	inbound  *callSet // the same from other entries
	requests *callSet // requests to other entries about stored jobs; they have no epochs

	mu       sync.Mutex
	clients  map[string]fleetpb.Fleet // by address
	fetching bool
	refused  map[string]time.Time // addresses whose directories were refused, and until when they are not asked
}

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
		outbound: newCallSet(), inbound: newCallSet(), requests: newCallSet(),
		clients: make(map[string]fleetpb.Fleet), refused: make(map[string]time.Time),
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

// notSentError reports a call of which nothing was sent to the other entry.
type notSentError struct{ cause error }

func (e *notSentError) Error() string {
	return "entry unreachable, nothing was sent: " + e.cause.Error()
}
func (e *notSentError) Unwrap() error { return e.cause }

// brokenCallError reports a call that was given up without an answer. The other
// entry may have begun what it was asked for.
type brokenCallError struct {
	gone  bool // the other entry counted as gone
	cause error
}

func (e *brokenCallError) Error() string {
	return "the connection to the other entry broke: " + e.cause.Error()
}
func (e *brokenCallError) Unwrap() error { return e.cause }

// isAnswer reports whether the error of a call is the other entry's answer. An
// error that the client detects wraps its cause.
func isAnswer(err error) bool {
	var answer twirp.Error
	return errors.As(err, &answer) && errors.Unwrap(answer) == nil
}

// callFailed returns the error of a call that has failed: a *notSentError if
// nothing was sent, and a *brokenCallError if there was no answer although the
// caller was waiting. The first call that breaks gives up all calls to the entry:
// what has become of them is not known either. A call whose caller waits no longer is
// withdrawn alone.
func (p *peers) callFailed(caller context.Context, to cells.Entry, c *call, sent bool, err error) error {
	if c.ctx.Err() == nil {
		p.send(suspectEntry{to.Incarnation})
	}
	switch {
	case !sent:
		return &notSentError{err}
	case isAnswer(err):
		return err
	case caller.Err() != nil:
		p.outbound.withdrawEnded(c)
		return err
	}
	if epoch, calls := p.outbound.giveUpBroken(c); calls > 0 {
		p.send(callsGivenUp{to, epoch, calls})
	}
	return &brokenCallError{gone: errors.Is(context.Cause(c.ctx), errEntryGone), cause: err}
}

// traceSent returns a context for a request, and a flag that is set once a part
// of the request may have been sent.
func traceSent(ctx context.Context) (context.Context, *bool) {
	sent := new(bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *sent = true }}
	return httptrace.WithClientTrace(ctx, trace), sent
}

// submit submits a job to a holder. A *notSentError means that the holder has
// not received it, and a *brokenCallError that the call was given up.
func (p *peers) submit(ctx context.Context, to cells.Entry, job *leased.Job) (*fleetpb.SubmitResponse, error) {
	c := p.outbound.open(ctx, to.Incarnation)
	defer p.outbound.end(c)
	traced, sent := traceSent(c.ctx)
	request := jobToPB(job, uint64(p.self))
	request.Epoch, request.Call, request.SentUs = c.epoch, c.number, bootMicroseconds(readClocks)
	reply, err := p.client(to.Address).Submit(traced, request)
	if err == nil {
		return reply, nil
	}
	return nil, p.callFailed(ctx, to, c, *sent, err)
}

// delegate asks another holder to run a task. If the call fails, it returns
// EndNoCapacity if nothing was sent, and EndUnknown otherwise.
func (p *peers) delegate(ctx context.Context, request *leased.Delegate) leased.DelegateReply {
	failed := leased.DelegateReply{Task: request.Task.ID, Run: request.Task.Run, End: leased.EndNoCapacity}
	holder, ok := p.latest().View.Find(cells.Incarnation(request.Holder))
	if !ok {
		return failed
	}
	c := p.outbound.open(ctx, holder.Incarnation)
	defer p.outbound.end(c)
	traced, sent := traceSent(c.ctx)
	lend := delegatedTaskToPB(&request.Task, uint64(p.self))
	lend.Epoch, lend.Call, lend.SentUs = c.epoch, c.number, bootMicroseconds(readClocks)
	reply, err := p.client(holder.Address).Lend(traced, lend)
	if err == nil {
		if reply.CallerWithdrew {
			p.causeWithdrawn(&request.Task)
		}
		return delegateReplyFromPB(request, reply)
	}
	err = p.callFailed(ctx, holder, c, *sent, err)
	p.log.Warn("lend_failed", zap.String("job", string(request.Task.ID.Job)), zap.Int("task", request.Task.ID.Index), zap.Int("run", request.Task.Run), zap.Bool("sent", *sent), zap.Error(err))
	if *sent {
		failed.End = leased.EndUnknown
	}
	return failed
}

// fetchSnapshot requests the configuration and the endpoints of an entry. It
// does nothing while another such request is open.
func (p *peers) fetchSnapshot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetching || time.Now().Before(p.refused[address]) {
		return
	}
	p.fetching = true
	go func() {
		defer p.fetchDone()
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
			p.refuse(address)
			return
		}
		p.send(peerDirectory{directory})
	}()
}

// refuse makes fetchSnapshot leave an entry alone for a while.
func (p *peers) refuse(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(p.refused, func(_ string, until time.Time) bool { return !now.Before(until) })
	p.refused[address] = now.Add(refusedPause)
}

func (p *peers) fetchDone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetching = false
}

func decodeSnapshot(reply *fleetpb.SnapshotResponse) (Directory, error) {
	d := Directory{Version: reply.ConfigurationVersion}
	if len(reply.Configuration) > 0 {
		d.Configuration = &Configuration{}
		if err := json.Unmarshal(reply.Configuration, d.Configuration); err != nil {
			return d, errors.Wrap(err, "decode the configuration of a peer")
		}
	}
	if len(reply.Endpoints) > 0 {
		if err := json.Unmarshal(reply.Endpoints, &d.Endpoints); err != nil {
			return d, errors.Wrap(err, "decode the endpoints of a peer")
		}
	}
	if len(reply.Evacuations) > 0 {
		d.Evacuations = &Evacuations{}
		if err := json.Unmarshal(reply.Evacuations, d.Evacuations); err != nil {
			return d, errors.Wrap(err, "decode the evacuations of a peer")
		}
	}
	return d, d.validate()
}
