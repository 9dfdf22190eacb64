// Package platformapi defines the JSON bodies of the platform's services: the
// append-only log, the list of VMs and the usage reports.
//
//	POST /v1/log/{stream}                append records, synced before the reply
//	GET  /v1/log/{stream}?from=N&limit=M read records; ?wait=5s waits for new ones
//	GET  /v1/vms                         list live and leaving VMs, with a lag;
//	                                     ?endpoints_in=D omits the endpoints of
//	                                     other failure domains; If-None-Match
//	                                     with the ETag of an earlier list returns
//	                                     304 if nothing has changed since
//	GET  /v1/usage                       latest usage report of each worker
package platformapi

import "time"

// Limits of the log.
const (
	MaxRecordBytes  = 1 << 20
	MaxBatchRecords = 500
	MaxReadRecords  = 1000
)

// AppendRequest appends records in order, all or none.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse holds the offset of the first record. The offsets of the other
// records follow it.
type AppendResponse struct {
	FirstOffset int64 `json:"first_offset"`
}

// Record is one record of a stream.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// ReadResponse holds records starting at the requested offset. Oldest is the
// first offset that the log still retains. Next is the offset that the next
// append gets. A read from an offset before Oldest starts at Oldest; the reader
// must compare the requested offset with Oldest to notice a gap.
type ReadResponse struct {
	Records []Record `json:"records"`
	Oldest  int64    `json:"oldest"`
	Next    int64    `json:"next"`
}

// Role is the purpose of a VM.
type Role string

// Roles.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// VMState is the state of a VM as known to the platform.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one element of the list of VMs.
type VM struct {
	Name          string  `json:"name"`
	Role          Role    `json:"role"`
	Address       string  `json:"address"` // host:port; for an entry, the peer listener
	State         VMState `json:"state"`
	Region        string  `json:"region"`
	FailureDomain string  `json:"failure_domain"`
	Rack          string  `json:"rack,omitempty"`

	// Set for endpoints only.
	Service      string `json:"service,omitempty"`
	Slots        int    `json:"slots,omitempty"`
	Worker       string `json:"worker,omitempty"`
	MilliCores   int    `json:"milli_cores,omitempty"` // capacity of the worker
	MemoryMiB    int    `json:"memory_mib,omitempty"`  // capacity of the worker
	Accelerators int    `json:"accelerators,omitempty"`
}

// VMList is the platform's list of VMs. It lags behind the actual state by
// seconds.
type VMList struct {
	AsOf time.Time `json:"as_of"`
	VMs  []VM      `json:"vms"`
}

// Usage is the latest usage report of one worker.
type Usage struct {
	Worker       string    `json:"worker"`
	AsOf         time.Time `json:"as_of"`
	MilliCores   int       `json:"milli_cores"` // in use
	MemoryMiB    int       `json:"memory_mib"`  // in use
	Accelerators int       `json:"accelerators"`
	Tasks        int       `json:"tasks"` // running
}

// UsageReport is the body of GET /v1/usage.
type UsageReport struct {
	Usages []Usage `json:"usages"`
}

// ErrorBody is the body of every error response of the platform.
type ErrorBody struct {
	Error string `json:"error"`
}
