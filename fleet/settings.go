package fleet

import "time"

// Settings are the fixed parameters of a process.
type Settings struct {
	Name             string
	FailureDomain    string
	PeerAddress      string   // host:port of the peer server
	HeartbeatAddress string   // host:port, UDP
	MetricsAddress   string   // host:port of the metrics server; empty: none
	Seeds            []string // heartbeat addresses of some entries; may be stale
	Weight           float64  // share of a processor
	MaxLease         time.Duration
	// EndpointsPerCell bounds how many endpoints one entry holds for a cell.
	EndpointsPerCell int
	Grace            time.Duration // of a planned stop
	Stored           StoredSettings
}

// StoredSettings are those of jobs that outlive their callers.
type StoredSettings struct {
	Shards          int           // partitions of the log; 0: such jobs are not served
	WritesPerSecond float64       // of all entries together
	Retention       time.Duration // how long an ended job is known
	LogRetention    time.Duration // age at which the log drops records
}

// Bounds of the number of shards.
const (
	// WritesPerShard are the log's appends a second for which there is a shard:
	// few shards store events soon, many spread the work of owners.
	WritesPerShard = 100
	MinShards      = 3
	MaxShards      = 12
)

// DefaultEndpointsPerCell keeps a cell's work within a small VM: some 400
// starts a second.
const DefaultEndpointsPerCell = 32
