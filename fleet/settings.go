package fleet

import "time"

// Settings are the fixed parameters of a process.
type Settings struct {
	Name          string
	FailureDomain string
	PeerAddress   string   // host:port of the peer server
	BeatAddress   string   // host:port, UDP
	Metrics       string   // host:port of the metrics server; empty: none
	Seeds         []string // heartbeat addresses of some entries; may be stale
	Weight        float64  // share of a processor
	MaxLease      time.Duration
	// EndpointsPerCell bounds how many endpoints one entry holds for a cell.
	EndpointsPerCell int
	Grace            time.Duration // of a planned stop
}

// DefaultEndpointsPerCell keeps a cell's work within a small VM: some 400
// starts a second.
const DefaultEndpointsPerCell = 32
