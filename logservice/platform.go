// Package logservice is the client of the platform's services: the append-only
// log, the list of VMs and the usage reports.
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
	// Append writes the records in order, all or none. It returns the offset of
	// the first record after all of them are synced. After an error other than a
	// *RefusedError or an *UnavailableError the write may have taken effect.
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records starting at offset from: at least one if there is any,
	// and at most limit. It waits up to wait for the first record; if wait is zero,
	// it does not wait.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformapi.ReadResponse, error)
}

// VMQuery selects the VMs to list.
type VMQuery struct {
	// EndpointsIn is the failure domain whose endpoints are listed. If it is
	// empty, the endpoints of all failure domains are listed. Entries are always
	// listed.
	EndpointsIn string
	// Known is the Version of a list that the caller already has. Empty: none.
	Known string
}

// VMList is the platform's list of VMs, or the statement that the list known to
// the caller has not changed. The list lags behind the actual state.
type VMList struct {
	platformapi.VMList
	Version   string // opaque; empty if the platform gives none
	Unchanged bool   // if true, only Version is set in addition
}

// VMLister returns the platform's list of VMs.
type VMLister interface {
	VMs(ctx context.Context, query VMQuery) (VMList, error)
}

// UsageReader returns the latest usage report of each worker.
type UsageReader interface {
	Usage(ctx context.Context) (platformapi.UsageReport, error)
}
