package membership

import "time"

// State is the state of a member as seen by this entry.
type State uint8

// States of a member.
const (
	Live State = iota
	Suspect
	Leaving
	Gone
)

// String returns the state as logs and status pages show it.
func (s State) String() string {
	return [...]string{"live", "suspect", "leaving", "gone"}[s]
}

// Incarnation identifies one run of an entry process.
type Incarnation uint64

// Entry is what this entry knows about an entry process.
type Entry struct {
	Name          string
	Address       string // peer listener, host:port
	Incarnation   Incarnation
	Region        string
	FailureDomain string
	State         State
	Successor     Incarnation // entry that took over the ledger; 0: none
	Sequence      uint64      // increases with every heartbeat of the incarnation
	LastHeartbeat time.Time   // when this entry last saw the sequence increase
	Ended         bool        // known for certain to have stopped
}

// Endpoint is what this entry knows about an executor of a service.
type Endpoint struct {
	Name          string
	Address       string // host:port
	Service       string
	Slots         int
	Region        string
	FailureDomain string
	Rack          string
	Worker        string
	MilliCores    int
	MemoryMiB     int
	Accelerators  int
	State         State
}
