package dispatch

import (
	"time"

	"lovagespread.example/dispatch/evacuation"
	"lovagespread.example/dispatch/jobid"
)

// Ready holds the actions that result from one input.
type Ready struct {
	Starts     []Start
	Stops      []Stop
	Answers    []Answer
	Rejections []Rejection
	Admissions []jobid.ID
	// Evacuations are the changes of the phases of failure domains.
	Evacuations []evacuation.Change
	HandoverActions
}

func (r *Ready) reset() {
	r.Starts = r.Starts[:0]
	r.Stops = r.Stops[:0]
	r.Answers = r.Answers[:0]
	r.Rejections = r.Rejections[:0]
	r.Admissions = r.Admissions[:0]
	r.Evacuations = r.Evacuations[:0]
	r.HandoverActions.reset()
}

// Start requests that a task be sent to an endpoint once. Eligible, Reason and
// Urgency are for the decision log.
type Start struct {
	Task     TaskRef
	Service  string
	Attempt  int
	Endpoint string
	Address  string
	// LeaseEnd is the time after which the task must no longer be written to
	// the endpoint. The shell checks it right before the write.
	LeaseEnd time.Time
	Hedge    bool
	Eligible int     // endpoints that could have taken the task
	Reason   Reason  // for the choice of this endpoint
	Urgency  float64 // inferred; larger is more urgent
}

// Reason is the reason that decided a placement.
type Reason string

// Reasons of a placement.
const (
	ReasonLeastLoaded  Reason = "least_loaded"
	ReasonOnlyEligible Reason = "only_eligible"
	ReasonSpreadRacks  Reason = "spread_racks"
	ReasonProbation    Reason = "probation"
	ReasonSpill        Reason = "spill"
	ReasonHedge        Reason = "hedge"
	ReasonRetry        Reason = "retry"
)

// Stop requests that a running task be stopped at its endpoint.
type Stop struct {
	Task     TaskRef
	Attempt  int
	Endpoint string
	Address  string
}

// Execution states whether any task of a job was started.
type Execution string

// Values of Execution.
const (
	NotRun  Execution = "not_run" // no task was started, and none will be
	Ran     Execution = "ran"     // at least one task was started
	Unknown Execution = "unknown" // the record of its starts is no longer available
)

// Code is the machine-readable reason of a rejection or of a job's failure. The
// caller API returns it as the code of its problem details.
type Code string

// Codes of the rejections and failures that the core returns.
const (
	CodeUnknownService Code = "unknown_service"
	CodeUnknownTeam    Code = "unknown_team"
	CodeQuota          Code = "quota_exceeded"
	CodeOverload       Code = "overloaded"
	CodeNeverRuns      Code = "can_never_run"
	CodeNoEndpoint     Code = "no_endpoint"
	CodeDraining       Code = "draining"
	CodeEvacuated      Code = "evacuated" // operators have evacuated the failure domain
	CodeExpired        Code = "id_expired"
	CodeUnknownJob     Code = "unknown_job"
	CodeClosed         Code = "id_closed" // an earlier rejection closed the ID
	CodeTaskFailed     Code = "task_failed"
	CodeTaskLost       Code = "task_outcome_unknown"
	CodeCancelled      Code = "cancelled"
	CodeNotOwner       Code = "not_owner" // another entry answers for the ID
	CodeOwnerGone      Code = "owner_gone"
)

// Problem describes why a job was rejected or failed.
type Problem struct {
	Code       Code
	Execution  Execution
	Detail     string        // one sentence that names the cause and the remedy
	RetryAfter time.Duration // 0: a retry cannot succeed
}

// Rejection answers a Submit that is not admitted, or an Ask or Cancel for a job
// that is not open here and has no cached answer. It also ends the open jobs of a
// handover whose outcome will never be known.
type Rejection struct {
	ID      jobid.ID
	Problem Problem
}

// Answer is the outcome of an admitted job. Problem is nil if and only if
// Results holds the result of every task, in the order of submission.
type Answer struct {
	ID       jobid.ID
	Service  string
	Results  [][]byte
	Problem  *Problem
	Response time.Duration // from admission to this answer
	Ideal    time.Duration // response time in an idle system
}
