package fakeendpoint

import (
	"encoding/json"
	"time"
)

// Payload describes to an endpoint what a task does. All fields are optional.
type Payload struct {
	// RunMS is the actual run time in milliseconds on an endpoint without faults.
	RunMS float64 `json:"run_ms,omitempty"`
	// UsesMilliCores is the CPU that the task actually uses, in thousandths of a core.
	UsesMilliCores int `json:"uses_milli_cores,omitempty"`
	// UsesMemoryMiB is the memory that the task actually uses, in mebibytes.
	UsesMemoryMiB int `json:"uses_memory_mib,omitempty"`
	// Request identifies the caller's request, independent of its job ID.
	Request string `json:"request,omitempty"`
	// Task is the position of the task in its request.
	Task int `json:"task,omitempty"`
	// Fail makes every attempt of the task fail.
	Fail bool `json:"fail,omitempty"`
}

// RunTime returns the actual run time.
func (p Payload) RunTime() time.Duration {
	return time.Duration(p.RunMS * float64(time.Millisecond))
}

// Result is what an endpoint returns for a task.
type Result struct {
	Payload  json.RawMessage `json:"payload"`
	Endpoint string          `json:"endpoint"`
}

// parsePayload parses a payload. Endpoints run any payload, so one that cannot be
// parsed counts as empty.
func parsePayload(raw json.RawMessage) Payload {
	var p Payload
	if len(raw) == 0 || json.Unmarshal(raw, &p) != nil {
		return Payload{}
	}
	return p
}
