package heartbeat

import (
	"maps"
	"sync"

	"github.com/samber/lo"

	"lovagespread.example/entry/control"
	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

// Configuration returns the version and digest of this entry's configuration.
type Configuration interface {
	Version() (version uint64, digest []byte)
}

// Announcer builds the heartbeats that this entry sends. They describe this
// entry and other entries. It is safe for concurrent use.
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

// SetLeaving makes later heartbeats report that this entry is stopping and which
// entry takes over its jobs. successor is 0 as long as there is none.
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

// Response returns the reply to a heartbeat, with the same content as Request.
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

// hasUpdates reports whether there are updates to send to an entry.
func (a *Announcer) hasUpdates(t target) bool {
	snapshot := a.loop.Snapshot()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gossip.hasUpdates(&snapshot.View, t.name, t.domain)
}

// resendAll records that a message to an entry may not have arrived, so that
// everything is sent to it again.
func (a *Announcer) resendAll(receiver string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gossip.forget(receiver)
}

// retainOnly deletes the records of what was sent to entries with other names.
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
