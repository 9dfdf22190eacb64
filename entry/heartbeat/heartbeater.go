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

// Spacing of exchanges with one entry, and the budget that stretches it.
const (
	nearSpacing     = 500 * time.Millisecond
	farSpacing      = 2 * time.Second
	newsSpacing     = 100 * time.Millisecond // while there is news to tell
	lookSpacing     = 50 * time.Millisecond
	downFor         = 5 * time.Second // after a failed exchange
	bytesPerSecond  = 5 << 8          // of control, on the connections opened here; as much comes on those accepted
	typicalExchange = 800             // bytes, both directions
)

// Peers exchanges heartbeats.
type Peers interface {
	Heartbeat(ctx context.Context, address string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error)
}

// Options are the parts that a Heartbeater works with.
type Options struct {
	Loop      *control.Loop
	Announcer *Announcer
	Peers     Peers
	// OnNewerConfiguration is told that an entry has a newer configuration. It must not
	// block.
	OnNewerConfiguration func(address string, version uint64)
	CountMessage         func(kind string)
	Log                  *zap.Logger
}

// Heartbeater keeps in touch with other entries.
type Heartbeater struct {
	opts Options

	mu    sync.Mutex
	heard map[string]time.Time // last exchange or attempt, by name
	busy  map[string]bool
	down  map[string]time.Time // last failed exchange, by name

	met map[string]bool // entries that have said something

	settled settling
}

// New returns a heartbeater that does nothing until Run.
func New(opts Options) *Heartbeater {
	return &Heartbeater{
		opts:  opts,
		heard: make(map[string]time.Time),
		busy:  make(map[string]bool),
		down:  make(map[string]time.Time),
		met:   make(map[string]bool),
	}
}

// Run exchanges heartbeats until the context ends.
func (h *Heartbeater) Run(ctx context.Context) {
	h.settled.begin(time.Now())
	for ctx.Err() == nil {
		h.look(ctx)
		wait.For(ctx, lookSpacing/2+rand.N(lookSpacing))
	}
}

// Received takes a heartbeat that another entry has sent and returns the
// answer.
func (h *Heartbeater) Received(r *peerpb.HeartbeatRequest) *peerpb.HeartbeatResponse {
	h.note(r.GetFrom(), r.GetKnown(), r.GetConfigurationVersion())
	return h.opts.Announcer.Response(r.GetFrom().GetName(), r.GetFrom().GetFailureDomain())
}

// AnnounceNow tells every entry of the failure domain at once what this entry
// announces, and returns when they have heard or cannot be reached.
func (h *Heartbeater) AnnounceNow(ctx context.Context) {
	view := h.opts.Loop.Snapshot().View
	var calls sync.WaitGroup
	for _, t := range targets(&view, h.isDown) {
		calls.Go(func() { h.exchange(ctx, t) })
	}
	calls.Wait()
}

// look starts the exchanges that are due.
func (h *Heartbeater) look(ctx context.Context) {
	view := h.opts.Loop.Snapshot().View
	list := targets(&view, h.isDown)
	stretch := stretchFor(len(list))
	h.forget(&view)
	h.settle(&view, list)
	for _, t := range list {
		if h.begin(t, h.spacing(t, stretch)) {
			go func() {
				defer h.finish(t)
				h.exchange(ctx, t)
			}()
		}
	}
}

// spacing returns the pause between two exchanges, which is short while there
// is news to tell.
func (h *Heartbeater) spacing(t target, stretch float64) time.Duration {
	if h.opts.Announcer.hasNews(t) && !h.isDown(t.name) {
		return newsSpacing
	}
	return time.Duration(stretch * float64(t.spacing))
}

func (h *Heartbeater) isDown(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	failed, ok := h.down[name]
	return ok && time.Since(failed) < downFor
}

// stretchFor returns the factor by which spacings grow so that exchanges with
// n entries stay within the budget. Each pair shares its exchanges.
func stretchFor(n int) float64 {
	wanted := float64(n) / 2 * typicalExchange / nearSpacing.Seconds()
	return max(1, wanted/bytesPerSecond)
}

func (h *Heartbeater) begin(t target, spacing time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.busy[t.name] || time.Since(h.heard[t.name]) < spacing {
		return false
	}
	h.busy[t.name] = true
	return true
}

func (h *Heartbeater) finish(t target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[t.name] = time.Now()
	delete(h.busy, t.name)
}

// forget drops what is noted of entries that are not known any more.
func (h *Heartbeater) forget(view *membership.View) {
	names := make(map[string]bool, len(view.Others)+len(view.ListedOnly))
	for _, e := range view.Others {
		names[e.Name] = true
	}
	for _, e := range view.ListedOnly {
		names[e.Name] = true
	}
	h.opts.Announcer.keep(names)
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.heard, func(name string, _ time.Time) bool { return !names[name] })
	maps.DeleteFunc(h.down, func(name string, _ time.Time) bool { return !names[name] })
	maps.DeleteFunc(h.met, func(name string, _ bool) bool { return !names[name] })
}

func (h *Heartbeater) exchange(ctx context.Context, t target) {
	h.opts.CountMessage("heartbeat")
	resp, err := h.opts.Peers.Heartbeat(ctx, t.address, h.opts.Announcer.Request(t.name, t.domain))
	if err != nil {
		h.failed(t)
		h.opts.Log.Debug("heartbeat failed", zap.String("entry", t.name), zap.Error(err))
		return
	}
	h.note(resp.GetFrom(), resp.GetKnown(), resp.GetConfigurationVersion())
}

func (h *Heartbeater) failed(t target) {
	h.opts.Announcer.lost(t.name)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[t.name] = time.Now()
}

// note passes on what an entry has said.
func (h *Heartbeater) note(from *peerpb.Entry, known []*peerpb.Entry, version uint64) {
	h.mu.Lock()
	h.heard[from.GetName()] = time.Now()
	delete(h.down, from.GetName())
	h.met[from.GetName()] = true
	h.mu.Unlock()
	h.opts.Loop.UpdateMembership(heard(from, known))
	if own, _ := h.opts.Announcer.config.Version(); version > own {
		h.opts.OnNewerConfiguration(from.GetAddress(), version)
	}
}
