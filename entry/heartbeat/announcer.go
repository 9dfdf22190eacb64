package heartbeat

import (
	"sync"

	"github.com/samber/lo"

	"lovagespread.example/entry/control"
	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

// maxKnown is the number of other entries passed on in one message.
const maxKnown = 4

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
	passedOn  map[membership.Incarnation]uint64 // sequence last passed on
	next      int                               // rotates over the others
}

// NewAnnouncer returns an announcer of a live entry.
func NewAnnouncer(loop *control.Loop, config Configuration) *Announcer {
	return &Announcer{loop: loop, config: config, passedOn: make(map[membership.Incarnation]uint64)}
}

// Leave announces that this entry is stopping and who takes over its jobs;
// 0 if nobody does yet.
func (a *Announcer) Leave(successor membership.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
	a.successor = successor
}

// Request returns the next heartbeat.
func (a *Announcer) Request() *peerpb.HeartbeatRequest {
	snapshot := a.loop.Snapshot()
	version, digest := a.config.Version()
	return &peerpb.HeartbeatRequest{
		From:                 toProto(a.self(snapshot)),
		ConfigurationVersion: version,
		ConfigurationDigest:  digest,
		Loads:                loadsOf(snapshot),
		Known:                a.known(snapshot),
	}
}

// Response returns the same as an answer.
func (a *Announcer) Response() *peerpb.HeartbeatResponse {
	r := a.Request()
	return &peerpb.HeartbeatResponse{
		From:                 r.From,
		ConfigurationVersion: r.ConfigurationVersion,
		ConfigurationDigest:  r.ConfigurationDigest,
		Loads:                r.Loads,
		Known:                r.Known,
	}
}

func (a *Announcer) self(snapshot *control.Snapshot) membership.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	self := snapshot.View.Self
	self.Sequence = a.sequence
	self.Successor = a.successor
	if a.leaving {
		self.State = membership.Leaving
	}
	return self
}

// known picks entries whose sequence has risen since they were last passed
// on, in rotation.
func (a *Announcer) known(snapshot *control.Snapshot) []*peerpb.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	others := snapshot.View.Others
	var list []*peerpb.Entry
	for range others {
		a.next = (a.next + 1) % len(others)
		e := others[a.next]
		if e.State == membership.Gone || e.Sequence <= a.passedOn[e.Incarnation] {
			continue
		}
		a.passedOn[e.Incarnation] = e.Sequence
		list = append(list, toProto(e))
		if len(list) == maxKnown {
			break
		}
	}
	return list
}

func loadsOf(snapshot *control.Snapshot) []*peerpb.ServiceLoad {
	return lo.Map(snapshot.Loads, func(l control.ServiceLoad, _ int) *peerpb.ServiceLoad {
		return &peerpb.ServiceLoad{Service: l.Service, Running: uint32(max(l.Running, 0))}
	})
}
