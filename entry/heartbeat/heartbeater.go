package heartbeat

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/entry/control"
	"lovagespread.example/peer/peerpb"
)

// Spacing of exchanges with one entry, and the budget that stretches it.
const (
	nearSpacing     = 500 * time.Millisecond
	farSpacing      = 2 * time.Second
	lookSpacing     = 100 * time.Millisecond
	bytesPerSecond  = 2 << 10 // of control, of the connections opened here
	typicalExchange = 700     // bytes
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
	// Newer is told that an entry has a newer configuration. It must not
	// block.
	Newer   func(address string, version uint64)
	Message func(kind string)
	Log     *zap.Logger
}

// Heartbeater keeps in touch with other entries.
type Heartbeater struct {
	opts Options

	mu    sync.Mutex
	heard map[string]time.Time // last exchange or attempt, by name
	busy  map[string]bool
}

// New returns a heartbeater that does nothing until Run.
func New(opts Options) *Heartbeater {
	return &Heartbeater{opts: opts, heard: make(map[string]time.Time), busy: make(map[string]bool)}
}

// Run exchanges heartbeats until the context ends.
func (h *Heartbeater) Run(ctx context.Context) {
	for ctx.Err() == nil {
		h.look(ctx)
		sleep(ctx, lookSpacing/2+rand.N(lookSpacing))
	}
}

// Received takes a heartbeat that another entry has sent and returns the
// answer.
func (h *Heartbeater) Received(r *peerpb.HeartbeatRequest) *peerpb.HeartbeatResponse {
	h.note(r.GetFrom(), r.GetKnown(), r.GetConfigurationVersion())
	return h.opts.Announcer.Response()
}

// Farewell tells every entry of the failure domain at once what this entry
// announces, and returns when they have heard or cannot be reached.
func (h *Heartbeater) Farewell(ctx context.Context) {
	view := h.opts.Loop.Snapshot().View
	var calls sync.WaitGroup
	for _, t := range targets(&view, nearSpacing, farSpacing) {
		calls.Go(func() { h.exchange(ctx, t) })
	}
	calls.Wait()
}

// look starts the exchanges that are due.
func (h *Heartbeater) look(ctx context.Context) {
	view := h.opts.Loop.Snapshot().View
	list := targets(&view, nearSpacing, farSpacing)
	stretch := stretchFor(len(list))
	h.forget(list)
	for _, t := range list {
		if h.begin(t, time.Duration(stretch*float64(t.spacing))) {
			go func() {
				defer h.finish(t)
				h.exchange(ctx, t)
			}()
		}
	}
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

// forget drops the times of entries that are no targets any more.
func (h *Heartbeater) forget(list []target) {
	names := make(map[string]bool, len(list))
	for _, t := range list {
		names[t.name] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.heard, func(name string, _ time.Time) bool { return !names[name] })
}

func (h *Heartbeater) exchange(ctx context.Context, t target) {
	h.opts.Message("heartbeat")
	resp, err := h.opts.Peers.Heartbeat(ctx, t.address, h.opts.Announcer.Request())
	if err != nil {
		h.opts.Log.Debug("heartbeat failed", zap.String("entry", t.name), zap.Error(err))
		return
	}
	h.note(resp.GetFrom(), resp.GetKnown(), resp.GetConfigurationVersion())
}

// note passes on what an entry has said.
func (h *Heartbeater) note(from *peerpb.Entry, known []*peerpb.Entry, version uint64) {
	h.mu.Lock()
	h.heard[from.GetName()] = time.Now()
	h.mu.Unlock()
	h.opts.Loop.Member(heard(from, known))
	if own, _ := h.opts.Announcer.config.Version(); version > own {
		h.opts.Newer(from.GetAddress(), version)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
