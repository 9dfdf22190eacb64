package fleet

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/fleet/eventlog"
	"lovagespread.example/fleet/keep"
	"lovagespread.example/fleet/relay"
	"lovagespread.example/membership/cells"
	"lovagespread.example/peer/fleetpb"
)

// Process is an entry process. Create it with New and run it with Run.
type Process struct {
	settings   Settings
	log        *zap.Logger
	loop       *Loop
	service    *Service
	peers      *peers
	heartbeats *heartbeats
	metrics    *metrics
	storedJobs *storedJobs // nil: stored jobs are not served
	// endpointJournal is what this entry has read of the endpoints' records, for
	// other entries.
	endpointJournal atomic.Pointer[relay.Journal]
}

// New creates a process. It binds the heartbeat port, but serves no requests
// until Run. If jobLog is nil, stored jobs are not served.
func New(s Settings, endpoints EndpointClient, jobLog keep.Log, log *eventlog.Log) (*Process, error) {
	address, err := net.ResolveUDPAddr("udp4", s.HeartbeatAddress)
	if err != nil {
		return nil, errors.Wrap(err, "heartbeat address: write it as host:port")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for heartbeats: free the port or choose another one")
	}
	m := newMetrics(func() float64 { return float64(log.Dropped.Load()) })
	self := cells.Entry{
		Name: s.Name, Address: s.PeerAddress, HeartbeatAddress: s.HeartbeatAddress, FailureDomain: s.FailureDomain,
		Incarnation: incarnationOf(s.Name, time.Now()), Weight: s.Weight, Interval: heartbeatInterval,
	}
	p := &Process{settings: s, log: log.Logger, metrics: m}
	p.peers = newPeers(self.Incarnation, log.Logger)
	p.loop = newLoop(s, self, endpoints, log.Logger, m, p.peers, newFreezeDetector(readClocks, log.Logger))
	p.heartbeats = newHeartbeats(conn, s, m, log.Logger)
	p.loop.heartbeats = p.heartbeats
	p.peers.send = p.loop.send
	p.peers.latest = p.loop.Latest
	p.service = newService(p.loop, p.peers, log.Logger, m)
	if jobLog != nil && s.Stored.Shards > 0 {
		p.loop.jobLog = &observedLog{Log: jobLog}
		p.storedJobs = newStoredJobs(s.Stored, p.loop, p.peers, p.service, p.loop.jobLog, log.Logger, m)
		p.service.storedJobs = p.storedJobs
		p.loop.reporter = newReporter(p.storedJobs)
	}
	return p, nil
}

// incarnationOf returns the incarnation of a process: its start time in
// milliseconds, followed by a hash of its name to distinguish processes that
// start at the same time.
func incarnationOf(name string, start time.Time) cells.Incarnation {
	h := fnv.New32a()
	h.Write([]byte(name))
	const nameBits = 16
	return cells.Incarnation(uint64(start.UnixMilli())<<nameBits | uint64(h.Sum32()%(1<<nameBits)))
}

// Service returns the service for callers.
func (p *Process) Service() *Service { return p.service }

// AddSeeds adds the heartbeat addresses of other entries in the settings.
func (p *Process) AddSeeds(addresses []string) { p.loop.send(seedAddresses{addresses}) }

// Leave starts a planned stop: this entry gives up its endpoints and announces
// to the other entries that it is leaving.
func (p *Process) Leave() { p.loop.send(leave{}) }

// Run serves other entries until the context is done.
func (p *Process) Run(ctx context.Context) error {
	peerServer, err := p.servePeers()
	if err != nil {
		return err
	}
	defer peerServer.Close()
	if p.settings.MetricsAddress != "" {
		metricsServer, err := p.serveMetrics()
		if err != nil {
			return err
		}
		defer metricsServer.Close()
	}
	go p.heartbeats.receive(ctx, p.loop)
	if p.storedJobs != nil {
		go p.storedJobs.run(ctx)
		go p.loop.reporter.run(ctx)
	}
	p.loop.run(ctx)
	return p.heartbeats.conn.Close()
}

func (p *Process) servePeers() (*http.Server, error) {
	listener, err := net.Listen("tcp4", p.settings.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for other entries: free the port or choose another one")
	}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(true)
	s := &http.Server{
		Handler:           fleetpb.NewFleetServer(&server{p.loop, p.peers, p.storedJobs, &p.endpointJournal}),
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: peerPingAfter, PingTimeout: peerPingTimeout, MaxConcurrentStreams: maxPeerCalls},
		ReadHeaderTimeout: peerDialTimeout * 4,
	}
	go p.serve(s, listener, "peer_server")
	return s, nil
}

// maxPeerCalls is the maximum number of concurrent calls on a connection from
// another entry.
const maxPeerCalls = 4000

func (p *Process) serveMetrics() (*http.Server, error) {
	listener, err := net.Listen("tcp4", p.settings.MetricsAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics: free the port or choose another one")
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics.handler())
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go p.serve(s, listener, "metrics_server")
	return s, nil
}

func (p *Process) serve(s *http.Server, listener net.Listener, name string) {
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		p.log.Error("server_ended", zap.String("server", name), zap.Error(err))
	}
}

func newService(l *Loop, p *peers, log *zap.Logger, m *metrics) *Service {
	return &Service{loop: l, peers: p, log: log, metrics: m, running: make(map[leased.JobID]*submission)}
}

// ActiveWork returns the number of jobs and delegated tasks that have not ended.
func (p *Process) ActiveWork() int { return p.service.ActiveWork() }

// EndRequests ends the requests of callers who still wait, as Service.EndRequests does.
func (p *Process) EndRequests() { p.service.EndRequests() }

// Grace returns the time limit of a planned stop.
func (p *Process) Grace() time.Duration { return p.settings.Grace }

// HeartbeatAddress returns the address at which this entry receives heartbeats.
func (p *Process) HeartbeatAddress() string { return p.settings.HeartbeatAddress }
