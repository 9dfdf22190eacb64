package fakeendpoint

import (
	"encoding/json"
	"time"
)

// Payload tells an endpoint what a task does. All fields are optional.
type Payload struct {
	// RunMS is the true run time in milliseconds on an undisturbed endpoint.
	RunMS float64 `json:"run_ms,omitempty"`
	// UsesMilliCores is what the task really uses, in thousandths of a core.
	UsesMilliCores int `json:"uses_milli_cores,omitempty"`
	// UsesMemoryMiB is what the task really uses, in mebibytes.
	UsesMemoryMiB int `json:"uses_memory_mib,omitempty"`
	// Request names the caller's request, whatever job ID it runs under.
	Request string `json:"request,omitempty"`
	// Task is the position of the task in its request.
	Task int `json:"task,omitempty"`
	// Fail makes every attempt of the task fail.
	Fail bool `json:"fail,omitempty"`
}

// RunTime returns the true run time.
func (p Payload) RunTime() time.Duration {
	return time.Duration(p.RunMS * float64(time.Millisecond))
}

// Result is what an endpoint returns for a task.
type Result struct {
	Payload  json.RawMessage `json:"payload"`
	Endpoint string          `json:"endpoint"`
}

// parsePayload reads a payload. Anything else than an object of the known
// fields counts as an empty one: endpoints run what they get.
func parsePayload(raw json.RawMessage) Payload {
	var p Payload
	if len(raw) == 0 || json.Unmarshal(raw, &p) != nil {
		return Payload{}
	}
	return p
}
