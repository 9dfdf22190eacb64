package fleet

import (
	"time"

	"lovagespread.example/dispatch/leased"
)

// Settings are the fixed parameters of a process.
type Settings struct {
	Name             string
	FailureDomain    string
	PeerAddress      string   // host:port of the peer server
	HeartbeatAddress string   // host:port, UDP
	MetricsAddress   string   // host:port of the metrics server; empty: none
	Seeds            []string // heartbeat addresses of some entries; may be stale
	Weight           float64  // processor time of this process, in cores; it sets its share of the cells
	MaxLease         time.Duration
	// CallerRetry is how long after its connection broke a caller sends its job to
	// another entry. Less than leased.DefaultCallerRetry counts as that.
	CallerRetry time.Duration
	// EndpointsPerCell is the maximum number of endpoints in a cell on average.
	EndpointsPerCell int
	Grace            time.Duration // of a planned stop
	Stored           StoredSettings
	// EvacuationBound is the time after the acknowledgement of an operator's request
	// within which the evacuation of a failure domain must be in force. The entry holds
	// no endpoints until it has read the requests. 0: operators evacuate none.
	EvacuationBound time.Duration
	// Recovery rejects jobs that cannot be served in time because capacity is missing,
	// after a loss of endpoints or of power.
	Recovery bool
	// Admission rejects the jobs that cost callers least while capacity is short.
	Admission bool
	// AdmissionInEvacuations does the same, but only while a failure domain is
	// draining, evacuated or returning. It has no effect if Admission is set.
	AdmissionInEvacuations bool
	// Balancing sends and moves jobs to the holder that is expected to start them
	// sooner, while capacity is short.
	Balancing bool
}

// policy returns how jobs are admitted.
func (s *Settings) policy() leased.Policy {
	switch {
	case s.Admission:
		return leased.WithAdmission
	case s.AdmissionInEvacuations:
		return leased.AdmissionInEvacuations
	}
	return leased.WithoutAdmission
}

// StoredSettings are the settings of stored jobs, which outlive their callers.
type StoredSettings struct {
	Shards          int           // partitions of the log; 0: stored jobs are not served
	WritesPerSecond float64       // limit for all entries together
	Retention       time.Duration // how long the state of an ended job can be queried
	LogRetention    time.Duration // age at which the log deletes records
}

// Limits of the number of shards.
const (
	// WritesPerShard is the number of log appends per second for each shard.
	// With few shards events are stored sooner; with many shards the work of
	// owners is spread over more entries.
	WritesPerShard = 100
	MinShards      = 3
	MaxShards      = 12
)

// DefaultEndpointsPerCell limits the work of a cell, so that an entry on a small VM
// can hold it.
const DefaultEndpointsPerCell = 32
