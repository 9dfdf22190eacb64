package heartbeat

import (
	"maps"
	"sync"

	"github.com/samber/lo"

	"lovagespread.example/entry/control"
	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

// Configuration tells which configuration this entry has.
type Configuration interface {
	Version() (version uint64, digest []byte)
}

// Announcer builds what this entry says of itself and of others. It is safe
// for concurrent use.
type Announcer struct {
	loop   *control.Loop
	config Configuration

	mu        sync.Mutex
	sequence  uint64
	leaving   bool
	successor membership.Incarnation
	gossip    gossip
}

// NewAnnouncer returns an announcer of a live entry.
func NewAnnouncer(loop *control.Loop, config Configuration) *Announcer {
	return &Announcer{
		loop:   loop,
		config: config,
		gossip: gossip{sent: make(map[string]map[membership.Incarnation]sentState)},
	}
}

// SetLeaving announces that this entry is stopping and who takes over its jobs;
// 0 if nobody does yet.
func (a *Announcer) SetLeaving(successor membership.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.successor = successor
}

// Request returns the next heartbeat to an entry.
func (a *Announcer) Request(receiver, domain string) *peerpb.HeartbeatRequest {
	snapshot := a.loop.Snapshot()
	version, digest := a.config.Version()
	a.mu.Lock()
	defer a.mu.Unlock()
	return &peerpb.HeartbeatRequest{
		From:                 toProto(a.self(snapshot)),
		ConfigurationVersion: version,
		ConfigurationDigest:  digest,
		Loads:                loadsOf(snapshot),
		Known:                a.gossip.pick(&snapshot.View, receiver, domain),
	}
}

// Response returns the same as an answer.
func (a *Announcer) Response(receiver, domain string) *peerpb.HeartbeatResponse {
	r := a.Request(receiver, domain)
	return &peerpb.HeartbeatResponse{
		From:                 r.From,
		ConfigurationVersion: r.ConfigurationVersion,
		ConfigurationDigest:  r.ConfigurationDigest,
		Loads:                r.Loads,
		Known:                r.Known,
	}
}

// hasUpdates reports whether an entry should hear from this one soon.
func (a *Announcer) hasUpdates(t target) bool {
	snapshot := a.loop.Snapshot()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gossip.hasUpdates(&snapshot.View, t.name, t.domain)
}

// resendAll notes that a message to an entry may not have arrived, so that all is
// told again.
func (a *Announcer) resendAll(receiver string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gossip.forget(receiver)
}

// retainOnly forgets what was told to entries of other names.
func (a *Announcer) retainOnly(names map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.gossip.sent, func(name string, _ map[membership.Incarnation]sentState) bool { return !names[name] })
}

func (a *Announcer) self(snapshot *control.Snapshot) membership.Entry {
	a.sequence++
	self := snapshot.View.Self
	self.Sequence = a.sequence
	self.Successor = a.successor
	if a.leaving {
		self.State = membership.Leaving
	}
	return self
}

func loadsOf(snapshot *control.Snapshot) []*peerpb.ServiceLoad {
	return lo.Map(snapshot.Loads, func(l control.ServiceLoad, _ int) *peerpb.ServiceLoad {
		return &peerpb.ServiceLoad{Service: l.Service, Running: uint32(max(l.Running, 0))}
	})
}
