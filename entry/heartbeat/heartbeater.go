package heartbeat

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/entry/control"
	"lovagespread.example/entry/wait"
	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

// Intervals between exchanges with one entry, and the byte budget that lengthens
// them.
const (
	domainInterval   = 500 * time.Millisecond
	remoteInterval   = 2 * time.Second
	updateInterval   = 100 * time.Millisecond // while there are updates to send
	checkInterval    = 50 * time.Millisecond
	unresponsiveTime = 5 * time.Second // for which an entry counts as unresponsive after a failed exchange
	bytesPerSecond   = 5 << 8          // of control traffic on connections that this entry opened; accepted ones carry as much
	typicalExchange  = 800             // bytes in both directions
)

// Peers exchanges heartbeats.
type Peers interface {
	Heartbeat(ctx context.Context, address string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)
}

// Options are the dependencies of a Heartbeater.
type Options struct {
	Loop      *control.Loop
	Announcer *Announcer
	Peers     Peers
	// OnNewerConfiguration is called if an entry has a newer configuration. It
	// must not block.
	OnNewerConfiguration func(address string, version uint64)
	CountMessage         func(kind string)
	Log                  *zap.Logger
}

// Heartbeater exchanges heartbeats with other entries.
type Heartbeater struct {
	opts Options

	mu           sync.Mutex
	lastExchange map[string]time.Time // last exchange or attempt, by name
	inFlight     map[string]bool
	lastFailure  map[string]time.Time // last failed exchange, by name

	answered map[string]bool // entries of which a heartbeat was received, by name

	announced announcement
}

// New returns a heartbeater that does nothing until Run.
func New(opts Options) *Heartbeater {
	return &Heartbeater{
		opts:         opts,
		lastExchange: make(map[string]time.Time),
		inFlight:     make(map[string]bool),
		lastFailure:  make(map[string]time.Time),
		answered:     make(map[string]bool),
	}
}

// Run exchanges heartbeats until the context ends.
func (h *Heartbeater) Run(ctx context.Context) {
	h.announced.begin(time.Now())
	for ctx.Err() == nil {
		h.startDueExchanges(ctx)
		wait.For(ctx, checkInterval/2+rand.N(checkInterval))
	}
}

// Received handles a heartbeat from another entry and returns the reply.
func (h *Heartbeater) Received(r *peerpb.HeartbeatRequest) *peerpb.HeartbeatResponse {
	h.receive(r.GetFrom(), r.GetKnown(), r.GetConfigurationVersion())
	return h.opts.Announcer.Response(r.GetFrom().GetName(), r.GetFrom().GetFailureDomain())
}

// AnnounceNow sends a heartbeat to every target at once. It returns when all
// exchanges have succeeded or failed.
func (h *Heartbeater) AnnounceNow(ctx context.Context) {
	view := h.opts.Loop.Snapshot().View
	var calls sync.WaitGroup
	for _, t := range targets(&view, h.isUnresponsive) {
		calls.Go(func() { h.exchange(ctx, t) })
	}
	calls.Wait()
}

// startDueExchanges starts the exchanges that are due.
func (h *Heartbeater) startDueExchanges(ctx context.Context) {
	view := h.opts.Loop.Snapshot().View
	list := targets(&view, h.isUnresponsive)
	factor := intervalFactor(len(list))
	h.forgetUnknown(&view)
	h.checkAnnounced(&view, list)
	for _, t := range list {
		if h.begin(t, h.interval(t, factor)) {
			go func() {
				defer h.finish(t)
				h.exchange(ctx, t)
			}()
		}
	}
}

// interval returns the time between two exchanges. It is short while there are
// updates to send.
func (h *Heartbeater) interval(t target, factor float64) time.Duration {
	if h.opts.Announcer.hasUpdates(t) && !h.isUnresponsive(t.name) {
		return updateInterval
	}
	return time.Duration(factor * float64(t.interval))
}

func (h *Heartbeater) isUnresponsive(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	failed, ok := h.lastFailure[name]
	return ok && time.Since(failed) < unresponsiveTime
}

// intervalFactor returns the factor that lengthens the intervals so that the
// exchanges with n entries stay within the byte budget. The two entries of a pair
// share their exchanges.
func intervalFactor(n int) float64 {
	demand := float64(n) / 2 * typicalExchange / domainInterval.Seconds()
	return max(1, demand/bytesPerSecond)
}

func (h *Heartbeater) begin(t target, interval time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[t.name] || time.Since(h.lastExchange[t.name]) < interval {
		return false
	}
	h.inFlight[t.name] = true
	return true
}

func (h *Heartbeater) finish(t target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastExchange[t.name] = time.Now()
	delete(h.inFlight, t.name)
}

// forgetUnknown deletes the records of entries that are no longer known.
func (h *Heartbeater) forgetUnknown(view *membership.View) {
	names := make(map[string]bool, len(view.Others)+len(view.ListedOnly))
	for _, e := range view.Others {
		names[e.Name] = true
	}
	for _, e := range view.ListedOnly {
		names[e.Name] = true
	}
	h.opts.Announcer.retainOnly(names)
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.lastExchange, func(name string, _ time.Time) bool { return !names[name] })
	maps.DeleteFunc(h.lastFailure, func(name string, _ time.Time) bool { return !names[name] })
	maps.DeleteFunc(h.answered, func(name string, _ bool) bool { return !names[name] })
}

func (h *Heartbeater) exchange(ctx context.Context, t target) {
	h.opts.CountMessage("heartbeat")
	resp, err := h.opts.Peers.Heartbeat(ctx, t.address, h.opts.Announcer.Request(t.name, t.domain))
	if err != nil {
		h.recordFailure(t)
		h.opts.Log.Debug("heartbeat failed", zap.String("entry", t.name), zap.Error(err))
		return
	}
	h.receive(resp.GetFrom(), resp.GetKnown(), resp.GetConfigurationVersion())
}

func (h *Heartbeater) recordFailure(t target) {
	h.opts.Announcer.resendAll(t.name)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastFailure[t.name] = time.Now()
}

// receive handles the content of a heartbeat.
func (h *Heartbeater) receive(from *peerpb.Entry, known []*peerpb.Entry, version uint64) {
	h.mu.Lock()
	h.lastExchange[from.GetName()] = time.Now()
	delete(h.lastFailure, from.GetName())
	h.answered[from.GetName()] = true
	h.mu.Unlock()
	h.opts.Loop.UpdateMembership(heartbeatOf(from, known))
	if own, _ := h.opts.Announcer.config.Version(); version > own {
		h.opts.OnNewerConfiguration(from.GetAddress(), version)
	}
}
