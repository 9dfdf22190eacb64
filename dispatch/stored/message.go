package stored

import "lovagespread.example/dispatch/leased"

// Ticket identifies a request. The caller of Step chooses it.
type Ticket uint64

// Input is anything that Shard.Step takes.
type Input interface{ isInput() }

// Accept asks for a job to be stored.
type Accept struct {
	Ticket Ticket
	Job    leased.Job
}

// Cancel asks for a job to be ended.
type Cancel struct {
	Ticket Ticket
	Job    leased.JobID
}

// Report tells of tasks that have begun or ended at an endpoint.
type Report struct {
	Ticket Ticket
	From   uint64 // incarnation of the entry that holds the endpoint
	Tasks  []TaskReport
}

// TaskReport tells of one run.
type TaskReport struct {
	Task  leased.TaskID
	Run   int
	Begun bool // the run has begun; else it has ended
	Done  bool // an ended run did its work; else it has failed
	Saved string
}

// Outcome is how an offer to a holder ended.
type Outcome struct {
	Job     leased.JobID
	Attempt int // of the Offer
	Verdict leased.Verdict
	Begun   bool // runs may have been started and not been reported
	Lost    bool // the holder was lost, or gave the job back
}

// Appended says that a batch is stored.
type Appended struct {
	Sequence uint64
	Offset   int64 // of its record
}

// AppendRefused says that a batch was not stored and will not be.
type AppendRefused struct{ Sequence uint64 }

// Tick lets time pass.
type Tick struct{}

func (*Accept) isInput()        {}
func (*Cancel) isInput()        {}
func (*Report) isInput()        {}
func (*Outcome) isInput()       {}
func (*Appended) isInput()      {}
func (*AppendRefused) isInput() {}
func (*Tick) isInput()          {}

// Actions are what a Step decides. Slices are valid until the next Step.
type Actions struct {
	Appends     []Append
	Replies     []Reply
	Offers      []Offer
	Withdrawals []leased.JobID // of offers whose jobs have been cancelled
	DoneTasks   []DoneTask
	Trims       []int64 // records before this offset are needed no more
}

func (a *Actions) reset() {
	*a = Actions{a.Appends[:0], a.Replies[:0], a.Offers[:0], a.Withdrawals[:0], a.DoneTasks[:0], a.Trims[:0]}
}

// Append orders a batch of events to be stored as one record.
type Append struct {
	Sequence uint64 // rises by one from batch to batch
	Events   []Event
}

// Result is the answer to a request.
type Result uint8

// Results.
const (
	Stored     Result = iota // accepted, cancelled or noted, and stored
	Refused                  // it is not stored and never will be
	NoSuchJob                // of Cancel and Report
	OtherOwner               // this is not the owner and has done nothing: ask the right one
	Uncertain                // the owner has been replaced meanwhile: ask the new one
)

// Reply answers a request.
type Reply struct {
	Ticket Ticket
	Result Result
}

// Offer hands a job to a holder of endpoints.
type Offer struct {
	Attempt int
	Job     leased.Job // with its progress
}

// DoneTask tells that a task is done, as an entry has reported that may not be
// the one that the job was offered to.
type DoneTask struct {
	Task leased.TaskID
	From uint64 // incarnation of the entry that reported it
}
