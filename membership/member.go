package membership

import "time"

// State is what is known of a member.
type State uint8

// States of a member.
const (
	Live State = iota
	Suspect
	Leaving
	Gone
)

// String returns the word for the state that logs and status pages show.
func (s State) String() string {
	return [...]string{"live", "suspect", "leaving", "gone"}[s]
}

// Incarnation identifies one run of an entry process.
type Incarnation uint64

// Entry is an entry process as it is known here.
type Entry struct {
	Name          string
	Address       string // peer listener, host:port
	Incarnation   Incarnation
	Region        string
	FailureDomain string
	State         State
	Successor     Incarnation // took over the ledger; 0: none
	Sequence      uint64      // rises with every heartbeat of the incarnation
	LastHeartbeat time.Time   // when the sequence last rose here
	Ended         bool        // it is certain that it does not run any more
}

// Endpoint is an executor of a service as it is known here.
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
