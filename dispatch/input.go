package dispatch

import (
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/jobid"
)

// Input is an input of Core.Step.
type Input interface{ isInput() }

// TaskSpec is one task of a submitted job.
type TaskSpec struct {
	Service  string             // empty: the service of the job
	Declared time.Duration      // run time that the caller expects; 0: none declared
	Needs    *catalog.Resources // nil: the needs in the services file
}

// TaskRef identifies one task of a job.
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
	// Bytes is the size of the data that the shell stores for the job and
	// transfers with it in a handover.
	Bytes int
	// TraceID is the trace ID of the request that this job serves, from the
	// standard traceparent header, or empty.
	TraceID string
}

// Ask requests the answer of a job submitted earlier.
type Ask struct{ ID jobid.ID }

// Disconnect reports that a caller stopped waiting for a job without cancelling
// it.
type Disconnect struct{ ID jobid.ID }

// Cancel ends a job. Its running tasks of idempotent services are stopped;
// started non-idempotent tasks run to their end.
type Cancel struct{ ID jobid.ID }

// Done reports the result of a task that has run.
type Done struct {
	Task    TaskRef
	Attempt int
	RunTime time.Duration // measured at the endpoint
	Result  []byte
	Load    *EndpointLoad // nil: the endpoint reported none
}

// RefusalReason is why an endpoint did not start a task.
type RefusalReason int

// Reasons of a refusal.
const (
	RefusedFull RefusalReason = iota
	RefusedDraining
	RefusedUnknownService
	RefusedLeaseExpired
)

// Refused reports an endpoint's statement that it did not start the task and
// will not start it.
type Refused struct {
	Task    TaskRef
	Attempt int
	Reason  RefusalReason
	Load    *EndpointLoad
}

// Failed reports that a task started and ended without a result.
type Failed struct {
	Task    TaskRef
	Attempt int
	RunTime time.Duration
	Detail  string
	Load    *EndpointLoad
}

// Lost reports that the connection returned no reply. NotSent is true only if
// no byte of the request was written, which proves that the task did not start.
type Lost struct {
	Task    TaskRef
	Attempt int
	NotSent bool
	Detail  string
}

// EndpointLoad is the load that an endpoint reports with each reply.
type EndpointLoad struct {
	Running int // running tasks of all entries
}

// EndpointState is the membership state of an endpoint.
type EndpointState int

// States of an endpoint. Live endpoints get new tasks; suspect ones get them
// only if no live one is left; leaving ones get none.
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
	Slots         int // concurrent tasks
	FailureDomain string
	Rack          string
	Worker        string            // host of the endpoint
	Capacity      catalog.Resources // of the worker, shared by its endpoints
	State         EndpointState
}

// SetEndpoints replaces the endpoints that tasks may be placed on. Core keeps
// its observations of an endpoint whose name and service stay the same.
type SetEndpoints struct{ Endpoints []Endpoint }

// SetCatalog applies a version of the configuration. Late tells that the version
// may have been in force elsewhere for some time; failure domains that it
// evacuates are then not drained in steps.
type SetCatalog struct {
	Catalog *catalog.Catalog
	Late    bool
}

// SetShare sets the share of every endpoint's slots that this entry owns. The
// entries of its failure domain have the ranks 0 to Entries-1.
type SetShare struct {
	Rank    int
	Entries int
}

// Drain makes Core reject new jobs. Admitted jobs run to their end.
type Drain struct{}

// Tick triggers time-based work: lease timeouts, hedges, endpoint reviews and
// expiry.
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
