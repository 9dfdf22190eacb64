// Package logservice is the client side of what the platform offers: the
// append-only log, the list of VMs and the usage reports.
package logservice

import (
	"context"
	"time"

	"lovagespread.example/logservice/platformapi"
)

// Streams of the log that the system uses.
const (
	StreamConfiguration = "configuration"
	StreamOutcomes      = "outcomes"
	StreamClaims        = "claims"
)

// Log is the append-only log.
type Log interface {
	// Append writes the records in order, all or none, and returns the offset
	// of the first once they are synced. After an error other than a
	// *RefusedError the write may have taken effect.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records from an offset on, at least one if there is any and
	// at most limit. It waits up to wait for the first one; zero does not wait.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformapi.ReadResponse, error)
}

// VMQuery says which VMs are wanted.
type VMQuery struct {
	// EndpointsIn names the failure domain whose endpoints are wanted. Empty:
	// those of all. Entries are always listed.
	EndpointsIn string
	// Known is the Version of a list that the caller has. Empty: none.
	Known string
}

// VMList is the platform's lagging list of VMs, or word that the one known to
// the caller has not changed.
type VMList struct {
	platformapi.VMList
	Version   string // opaque; empty if the platform gives none
	Unchanged bool   // nothing else is set but Version
}

// VMLister gives the platform's lagging list of VMs.
type VMLister interface {
	VMs(ctx context.Context, query VMQuery) (VMList, error)
}

// UsageReader gives the latest usage report of each worker.
type UsageReader interface {
	Usage(ctx context.Context) (platformapi.UsageReport, error)
}
