// Package callerapi defines the JSON bodies of the caller API. The entry serves
// the API; package client calls it.
//
//	POST   /v1/job-ids      obtain job IDs ahead of time
//	PUT    /v1/jobs/{id}    submit a job, wait up to ?wait= for its answer
//	GET    /v1/jobs/{id}    wait for the answer, or request it again
//	DELETE /v1/jobs/{id}    cancel
//
// The reply for a job whose answer is complete is 200 with an Answer. The reply
// for a job that is still running when the wait ends is 202 with a Pending. Every
// other reply is a Problem (RFC 9457, application/problem+json).
package callerapi

import (
	"encoding/json"
	"time"
)

// Limits of a job.
const (
	MaxTasks         = 760
	MaxIDs           = 1000             // job IDs in one request
	MaxWait          = 60 * time.Second // largest value of ?wait=
	MaxBodyBytes     = 8 << 20
	ProblemMediaType = "application/problem+json"
	HeaderRetryAfter = "Retry-After"
)

// IDsRequest asks for job IDs.
type IDsRequest struct {
	Count int `json:"count" minimum:"1" maximum:"1000" doc:"Number of job IDs to issue"`
}

// IDsResponse holds job IDs, each valid for one job.
type IDsResponse struct {
	IDs       []string  `json:"ids" doc:"Job IDs, each valid for one job"`
	ExpiresAt time.Time `json:"expires_at" doc:"Time from which the IDs are no longer accepted"`
}

// Job is the body of a submission.
type Job struct {
	Service string `json:"service" minLength:"1" maxLength:"128" doc:"Service that runs the tasks"`
	Tasks   []Task `json:"tasks" minItems:"1" maxItems:"760" doc:"Tasks of the job, all answered together"`
}

// Task is one task of a job.
type Task struct {
	Service    string          `json:"service,omitempty" maxLength:"128" doc:"Service of this task, if not that of the job"`
	Payload    json.RawMessage `json:"payload,omitempty" doc:"Passed to the endpoint unchanged"`
	DeclaredMS float64         `json:"declared_ms,omitempty" minimum:"0" doc:"Expected run time in milliseconds"`
	Needs      *Needs          `json:"needs,omitempty" doc:"Resources, if not those in the services file"`
}

// Needs are the resources that one task needs on its worker.
type Needs struct {
	MilliCores   int `json:"milli_cores,omitempty" minimum:"0" doc:"Thousandths of a processor core"`
	MemoryMiB    int `json:"memory_mib,omitempty" minimum:"0" doc:"Mebibytes of memory"`
	Accelerators int `json:"accelerators,omitempty" minimum:"0" doc:"Whole accelerators"`
}

// Answer is the complete answer of a job.
type Answer struct {
	ID         string            `json:"id"`
	Results    []json.RawMessage `json:"results" doc:"One result per task, in the order of submission"`
	ResponseMS float64           `json:"response_ms" doc:"From admission to the last result, in milliseconds"`
	IdealMS    float64           `json:"ideal_ms" doc:"Time that an idle system would have taken, in milliseconds"`
}

// Pending reports that a job was admitted and has not ended.
type Pending struct {
	ID    string `json:"id"`
	State string `json:"state" enum:"running"`
}

// Execution says whether any part of a job has run.
type Execution string

// Values of Execution.
const (
	NotRun  Execution = "not_run" // no task was started, and none will be
	Ran     Execution = "ran"     // at least one task was started
	Unknown Execution = "unknown" // the entry that replied does not know
)

// Code is the machine-readable reason in a Problem.
type Code string

// Codes that the API itself returns. Package dispatch defines the codes for the
// decisions about jobs.
const (
	CodeBadRequest       Code = "bad_request"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeUnauthorized     Code = "unauthorized"
	CodeForgedID         Code = "id_forged"
	CodeOwnerUnreachable Code = "owner_unreachable"
	CodeOwnerGone        Code = "owner_gone"
	CodeNotReady         Code = "not_ready"
	CodeNotFound         Code = "not_found"         // no such path
	CodeTooManyRequests  Code = "too_many_requests" // the entry has reached its limit of concurrent requests
	CodeInternal         Code = "internal"
	CodeDraining         Code = "draining"  // the same as in package dispatch
	CodeEvacuated        Code = "evacuated" // the same as in package dispatch
)

// Problem is the body of every error (RFC 9457).
type Problem struct {
	Type      string    `json:"type" doc:"URI reference of the code's documentation"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail,omitempty" doc:"What happened and what to do"`
	Code      Code      `json:"code"`
	Execution Execution `json:"execution" enum:"not_run,ran,unknown" doc:"Whether any task of the job was started"`
	// NotDelivered reports that this request did not reach the owner of its job ID
	// and never will. It says nothing about earlier requests with the same ID.
	NotDelivered bool  `json:"not_delivered,omitempty" doc:"This request did not reach the owner of its job ID and never will"`
	RetryAfterMS int64 `json:"retry_after_ms,omitempty" doc:"Time after which to retry, in milliseconds"`
}

// Error implements error.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }
