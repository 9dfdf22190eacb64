// Package endpointapi defines the JSON bodies of the endpoint protocol, which
// every executor of a service implements.
//
//	POST /v1/tasks                 run one task and return its result
//	POST /v1/tasks/{id}/stop       stop a task
//	POST /v1/tasks/{id}/throttle   run a task slower
//	POST /v1/heartbeat             renew all leases of one entry
//
// A task is identified by its TaskID, which is unique for each attempt. An
// endpoint need not deduplicate requests. A Refusal guarantees that the attempt
// has not started and will not start.
package endpointapi

import "encoding/json"

// TaskRequest runs one task.
type TaskRequest struct {
	TaskID       string          `json:"task_id"` // built from job, index and attempt
	Job          string          `json:"job"`
	Index        int             `json:"index"`
	Attempt      int             `json:"attempt"`
	Entry        string          `json:"entry"` // incarnation of the sender
	Service      string          `json:"service"`
	LeaseMS      int64           `json:"lease_ms"` // the endpoint stops the task after this time without a heartbeat
	MilliCores   int             `json:"milli_cores,omitempty"`
	MemoryMiB    int             `json:"memory_mib,omitempty"`
	Accelerators int             `json:"accelerators,omitempty"`
	Payload      json.RawMessage `json:"payload,omitempty"`
}

// Load is the load that an endpoint reports.
type Load struct {
	Running int  `json:"running"` // running tasks of all entries
	Slots   int  `json:"slots"`
	Leaving bool `json:"leaving,omitempty"`
}

// TaskResponse is the result of a task that has run (status 200).
type TaskResponse struct {
	TaskID string          `json:"task_id"`
	Result json.RawMessage `json:"result"`
	RunMS  float64         `json:"run_ms"`
	Load   Load            `json:"load"`
}

// RefusalCode is the reason why a task was not started.
type RefusalCode string

// Refusal codes.
const (
	RefusedFull           RefusalCode = "full"
	RefusedLeaving        RefusalCode = "leaving"
	RefusedUnknownService RefusalCode = "unknown_service"
	RefusedLeaseExpired   RefusalCode = "lease_expired"
)

// StatusRefused is the HTTP status of a Refusal. No other reply proves that
// a task did not start.
const StatusRefused = 429

// Refusal reports that the task was not started (status StatusRefused).
type Refusal struct {
	TaskID     string      `json:"task_id"`
	NotStarted bool        `json:"not_started"` // always true
	Code       RefusalCode `json:"code"`
	Load       Load        `json:"load"`
}

// StatusFailed is the HTTP status of a Failure.
const StatusFailed = 500

// Failure reports that the task started and produced no result (status
// StatusFailed).
type Failure struct {
	TaskID string  `json:"task_id"`
	Detail string  `json:"detail"`
	RunMS  float64 `json:"run_ms"`
	Load   Load    `json:"load"`
}

// HeartbeatRequest renews the leases of all tasks that the entry runs on the
// endpoint.
type HeartbeatRequest struct {
	Entry   string `json:"entry"`
	LeaseMS int64  `json:"lease_ms"`
}

// HeartbeatResponse holds the endpoint's load.
type HeartbeatResponse struct {
	Load Load `json:"load"`
}
