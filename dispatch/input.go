package dispatch

import (
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/jobid"
)

// Input is anything that Core.Step takes.
type Input interface{ isInput() }

// TaskSpec is one task of a submitted job.
type TaskSpec struct {
	Service  string             // empty: the service of the job
	Declared time.Duration      // run time that the caller expects; 0: none declared
	Needs    *catalog.Resources // nil: what the services text says
}

// TaskRef names one task of one job.
type TaskRef struct {
	Job   jobid.ID
	Index int
}

// Submit offers a job for admission. The shell has verified the ID.
type Submit struct {
	ID      jobid.ID
	Team    string
	Service string
	Tasks   []TaskSpec
	// Bytes is the size of what the shell keeps of the job and would hand over
	// with it.
	Bytes int
	// TraceID is the trace ID of the request that this job serves, from the
	// standard traceparent header. Empty if there is none.
	TraceID string
}

// Ask is a caller's request for the answer of a job submitted earlier.
type Ask struct{ ID jobid.ID }

// Disconnect says that a caller stopped waiting for a job without cancelling it.
type Disconnect struct{ ID jobid.ID }

// Cancel asks that a job be given up. Tasks of idempotent services are
// stopped; started non-idempotent tasks run on.
type Cancel struct{ ID jobid.ID }

// Done says that a task has run and gives its result.
type Done struct {
	Task    TaskRef
	Attempt int
	RunTime time.Duration // measured at the endpoint
	Result  []byte
	Load    *EndpointLoad // nil: the endpoint reported none
}

// RefusalReason is why an endpoint did not start a task.
type RefusalReason int

// Reasons of a typed refusal.
const (
	RefusedFull RefusalReason = iota
	RefusedDraining
	RefusedUnknownService
	RefusedLeaseExpired
)

// Refused is an endpoint's typed statement that it did not start the task and
// will not start it.
type Refused struct {
	Task    TaskRef
	Attempt int
	Reason  RefusalReason
	Load    *EndpointLoad
}

// Failed says that a task started and ended without a result.
type Failed struct {
	Task    TaskRef
	Attempt int
	RunTime time.Duration
	Detail  string
	Load    *EndpointLoad
}

// Lost says that the connection gave no answer. NotSent is true only if no
// byte of the request was written, which proves that the task did not start.
type Lost struct {
	Task    TaskRef
	Attempt int
	NotSent bool
	Detail  string
}

// EndpointLoad is what an endpoint reports of itself with each answer.
type EndpointLoad struct {
	Running int // tasks that run at the endpoint now, of all entries
}

// EndpointState is the membership state of an endpoint.
type EndpointState int

// States of an endpoint. Only a live endpoint gets new tasks; a suspect one
// gets them when no live one is left.
const (
	EndpointLive EndpointState = iota
	EndpointSuspect
	EndpointLeaving
)

// Endpoint is one executor of a service.
type Endpoint struct {
	Name          string
	Address       string // host:port
	Service       string
	Slots         int // tasks at once
	FailureDomain string
	Rack          string
	Worker        string            // host of the endpoint
	Capacity      catalog.Resources // of the worker, shared by its endpoints
	State         EndpointState
}

// SetEndpoints replaces the endpoints that tasks may be placed on. Core keeps
// what it has learned of an endpoint whose name stays.
type SetEndpoints struct{ Endpoints []Endpoint }

// SetCatalog puts a version of the configuration in force.
type SetCatalog struct{ Catalog *catalog.Catalog }

// SetShare tells which part of every endpoint's slots this entry owns:
// the entries of its failure domain are numbered 0 to Entries-1.
type SetShare struct {
	Rank    int
	Entries int
}

// Drain makes Core refuse new jobs; those admitted run to their end.
type Drain struct{}

// Tick lets time pass: timeouts, hedges, ageing and expiry.
type Tick struct{}

func (*Submit) isInput()       {}
func (*Ask) isInput()          {}
func (*Disconnect) isInput()   {}
func (*Cancel) isInput()       {}
func (*Done) isInput()         {}
func (*Refused) isInput()      {}
func (*Failed) isInput()       {}
func (*Lost) isInput()         {}
func (*SetEndpoints) isInput() {}
func (*SetCatalog) isInput()   {}
func (*SetShare) isInput()     {}
func (*Drain) isInput()        {}
func (*Tick) isInput()         {}
