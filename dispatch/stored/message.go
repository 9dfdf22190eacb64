package stored

import "lovagespread.example/dispatch/leased"

// Ticket identifies a request. The caller of Step chooses it; zero means that
// no reply is wanted.
type Ticket uint64

// Input is an input of Shard.Step.
type Input interface{ isInput() }

// Accept requests that a job is stored.
type Accept struct {
	Ticket Ticket
	Job    leased.Job
}

// Cancel requests that a job is cancelled.
type Cancel struct {
	Ticket Ticket
	Job    leased.JobID
}

// Query requests the state of a job.
type Query struct {
	Ticket Ticket
	Job    leased.JobID
}

// Report lists runs that have started or ended at an endpoint.
type Report struct {
	Ticket Ticket
	From   uint64 // incarnation of the entry that holds the endpoint
	Tasks  []TaskReport
}

// TaskReport reports the start or the end of one run.
type TaskReport struct {
	Task       leased.TaskID
	Run        leased.RunID
	Begun      bool // the run has started; false: it has ended
	Done       bool // of a run that has ended: it has succeeded; false: it has failed
	Lost       bool // the run's endpoint was lost, as Loss says
	Loss       leased.Loss
	Checkpoint string
	// Restart is the number of a request to start the task again, as in leased.Report; 0:
	// the report is about a run. Owners of earlier versions see that a run has begun.
	Restart uint64
	Offer   uint64 // that the holder has got the job by, with Restart
}

// Outcome reports how an offer to a holder ended.
type Outcome struct {
	Job     leased.JobID
	Attempt int // that of the Offer
	Verdict leased.Verdict
	Begun   bool // runs may have been started that were not reported
	Lost    bool // the holder was lost, or has returned the job
}

// Appended reports that a batch is stored.
type Appended struct {
	Sequence uint64
	Offset   int64 // of its record
}

// AppendRefused reports that a batch was not stored and never will be.
type AppendRefused struct{ Sequence uint64 }

// Tick triggers work that depends on time only.
type Tick struct{}

func (*Accept) isInput()        {}
func (*Cancel) isInput()        {}
func (*Query) isInput()         {}
func (*Report) isInput()        {}
func (*Outcome) isInput()       {}
func (*Appended) isInput()      {}
func (*AppendRefused) isInput() {}
func (*Tick) isInput()          {}

// Actions are what the caller of Step has to carry out. Slices are valid until
// the next Step.
type Actions struct {
	Appends     []Append
	Replies     []Reply
	Offers      []Offer
	Withdrawals []leased.JobID // jobs that have ended; their offers are to be withdrawn
	Updates     []TaskUpdate
	Trims       []int64 // offsets before which records are no longer needed
}

func (a *Actions) reset() {
	*a = Actions{a.Appends[:0], a.Replies[:0], a.Offers[:0], a.Withdrawals[:0], a.Updates[:0], a.Trims[:0]}
}

// Append is a batch of events to be stored as one record.
type Append struct {
	Sequence uint64 // increases by one with each batch
	Events   []Event
}

// Result is the answer to a request.
type Result uint8

// Results of a request.
const (
	Stored  Result = iota // the job, cancellation or report is stored, or the state is known
	Refused               // it is not stored and never will be
	// NoSuchJob answers Cancel and Report. After a Cancel, it is on the log that the
	// ID is cancelled: no submission of the job is accepted later, by any owner.
	NoSuchJob
	OtherOwner // this entry is not the owner and has done nothing: ask the owner
	Uncertain  // the owner was replaced during the request: ask the new owner
	// AlreadyCancelled answers Accept: the job was cancelled before it was stored. It is not
	// stored and never will be.
	AlreadyCancelled
)

// Reply answers a request.
type Reply struct {
	Ticket Ticket
	Result Result
	State  State // of the job, in the reply to a Query
	// Unconfirmed is set if the reply is valid only if the shard has no newer owner, which the
	// caller of Step must check.
	Unconfirmed bool
	// Progress lists what is known about the tasks of a Report, in their order, if the
	// Report has a run that has not succeeded, an end that does not count, or a request to
	// start a task again; otherwise it is nil.
	Progress []leased.TaskProgress
}

// Offer offers a job to a holder of endpoints.
type Offer struct {
	Attempt int
	Job     leased.Job // including its progress
}

// TaskUpdate says what has become known about a task of an offered job. The entry that
// reported it may differ from the one that the job was offered to.
type TaskUpdate struct {
	Task     leased.TaskID
	From     uint64 // incarnation of the entry that reported it
	Progress leased.TaskProgress
}
