package leased

import "time"

// Input is anything that Core.Step takes.
type Input interface{ isInput() }

// SetEndpoints names the endpoints that this core is to hold.
type SetEndpoints struct{ Endpoints []Endpoint }

// SetFreeCapacity tells how much room the holders of other cells have announced.
type SetFreeCapacity struct{ Announced []FreeCapacity }

// SetReachability tells whether some entries cannot be reached: ends that they have
// seen may be unknown to everybody else.
type SetReachability struct{ SomeUnreachable bool }

// Submit offers a job.
type Submit struct {
	Ticket Ticket
	Job    Job
}

// SubmitDelegated offers one task of a job whose queue is elsewhere. It is
// answered at once with NoRoom if it cannot start now.
type SubmitDelegated struct {
	Ticket Ticket
	Task   DelegatedTask
}

// Cancel withdraws a ticket: nobody waits for its answer any more.
type Cancel struct{ Ticket Ticket }

// StartReply is what became of a Start.
type StartReply struct {
	Endpoint EndpointID
	Task     TaskID
	Run      int
	Result   StartResult
	Clock    time.Duration // the endpoint's clock; 0: not told
}

// StopReply is what became of a Stop.
type StopReply struct {
	Endpoint EndpointID
	Task     TaskID
	Run      int
	Answered bool
}

// HoldReply is what became of a Hold.
type HoldReply struct {
	Endpoint         EndpointID
	Sequence         uint64 // of the Hold
	Result           HoldResult
	Clock            time.Duration // the endpoint's clock
	IncarnationStart int64         // start of the endpoint's incarnation; 0: not told
	Running          []ActiveRun
	Ended            []EndedRun
	More             bool // further ends are left out
}

// DelegateReply is what became of a Lend.
type DelegateReply struct {
	Task       TaskID
	Run        int
	Result     End
	Checkpoint string
}

// ReportStored says that the end with a number, which was reported, is stored: the
// endpoint may forget it.
type ReportStored struct {
	Endpoint         EndpointID
	IncarnationStart int64 // incarnation of the endpoint
	Number           int64
}

// DoneTask says that a task of a kept job is done, as another holder has found.
type DoneTask struct{ Task TaskID }

// Pause says that this process stood still. Nothing is started for a while:
// what waits here may have been withdrawn meanwhile.
type Pause struct{ For time.Duration }

// Tick lets time pass.
type Tick struct{}

func (*SetEndpoints) isInput()    {}
func (*SetFreeCapacity) isInput() {}
func (*SetReachability) isInput() {}
func (*Submit) isInput()          {}
func (*SubmitDelegated) isInput() {}
func (*Cancel) isInput()          {}
func (*StartReply) isInput()      {}
func (*StopReply) isInput()       {}
func (*HoldReply) isInput()       {}
func (*DelegateReply) isInput()   {}
func (*ReportStored) isInput()    {}
func (*DoneTask) isInput()        {}
func (*Pause) isInput()           {}
func (*Tick) isInput()            {}

// StartResult is an endpoint's answer to a Start.
type StartResult uint8

// Answers to a Start.
const (
	StartAccepted         StartResult = iota // it runs, or ran before
	StartNoCapacity                          // the endpoint has no room for it
	StartOldRun                              // a run with that number or a higher one has ended there
	StartLate                                // the lease was over on arrival
	StartFenced                              // another holder has a higher token
	StartUnhealthy                           // the endpoint refuses work for now
	StartOtherIncarnation                    // the endpoint is not the incarnation that was meant
	StartInvalid                             // the endpoint cannot read the order
	StartNotSent                             // provably never arrived
	StartUnanswered                          // may have been executed, or may be executed later
)

// String returns the word for the result in logs and metrics.
func (r StartResult) String() string {
	return [...]string{"accepted", "no_room", "old_run", "late", "fenced", "unhealthy",
		"other_incarnation", "invalid", "not_sent", "unanswered"}[r]
}

// HoldResult is an endpoint's answer to a Hold.
type HoldResult uint8

// Answers to a Hold.
const (
	HoldAnswered         HoldResult = iota
	HoldFenced                      // another holder has a higher token
	HoldOtherIncarnation            // the endpoint is not the incarnation that was meant
	HoldUnhealthy                   // the endpoint refuses to answer for now
	HoldNotSent                     // provably never arrived
	HoldUnanswered                  // may have been executed
)

// String returns the word for the result in logs and metrics.
func (r HoldResult) String() string {
	return [...]string{"answered", "fenced", "other_incarnation", "unhealthy", "not_sent", "unanswered"}[r]
}

// End is how a run ended.
type End uint8

// Ends of a run.
const (
	EndDone       End = iota
	EndFailed         // by the task's or the endpoint's fault; counts as an attempt
	EndStopped        // by a Stop
	EndLapsed         // its lease ran out, or its group of tasks broke up
	EndNoCapacity     // it never started: there was no room
	EndNotRun         // it never started, for another reason
	EndUnknown        // the borrower was lost: the run may go on until its lease ends
)

// String returns the word for the end in logs and metrics.
func (e End) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "no_room", "not_run", "unknown"}[e]
}

// ActiveRun is a run that an endpoint lists as under way.
type ActiveRun struct {
	Task       TaskID
	Run        int
	Checkpoint string // newest checkpoint
	Percent    int    // progress
}

// EndedRun is a run that an endpoint lists as ended.
type EndedRun struct {
	Number     int64 // of the end, from 1 in each incarnation
	Task       TaskID
	Run        int
	End        End
	Checkpoint string
}

// FreeCapacity is the free room that the holder of another cell has announced.
type FreeCapacity struct {
	Holder uint64 // identifies the holder
	Cell   string
	Age    time.Duration
	Free   []int // thousandths of a core, one for each endpoint with room
}

// Actions are what a Step decides. Slices are valid until the next Step.
type Actions struct {
	Starts           []Start
	Stops            []Stop
	Holds            []Hold
	Answers          []Answer
	DelegatedAnswers []DelegatedAnswer
	Delegations      []Delegate
	DelegateCancels  []DelegateCancel
	EndpointEvents   []EndpointEvent
	RunEnds          []RunEnd
	Reports          []Report
}

func (a *Actions) reset() {
	*a = Actions{a.Starts[:0], a.Stops[:0], a.Holds[:0], a.Answers[:0], a.DelegatedAnswers[:0],
		a.Delegations[:0], a.DelegateCancels[:0], a.EndpointEvents[:0], a.RunEnds[:0], a.Reports[:0]}
}

// Start orders an endpoint to run a task.
type Start struct {
	Endpoint   EndpointID
	Address    string
	Task       TaskID
	Run        int
	Spec       string
	Checkpoint string        // checkpoint; empty: none
	Until      time.Duration // end of the lease on the endpoint's clock
	Token      int64
	// What decided.
	Waited   time.Duration // of the job, until now
	Free     Demand        // of the endpoint, before
	Expected time.Duration // run time there
}

// Stop orders an endpoint to end a run.
type Stop struct {
	Endpoint EndpointID
	Address  string
	Task     TaskID
	Run      int
	Token    int64
	Reason   string
}

// Hold extends the lease of all that runs on an endpoint, takes note of ends
// and asks what runs.
type Hold struct {
	Endpoint EndpointID
	Address  string
	Sequence uint64
	Token    int64
	Until    time.Duration // on the endpoint's clock; 0: extend nothing
	LastSeen int64         // ends up to this number are taken note of
	Wait     time.Duration // the answer may wait this long for an end
}

// Verdict is how a job ended.
type Verdict uint8

// Verdicts.
const (
	Completed Verdict = iota // every task is done
	Failed                   // a task failed too often
	Rejected                 // no run was ever started
	Abandoned                // the caller's deadline passed after a start
	Moved                    // nothing was started, and this core holds nothing any more: offer it elsewhere
)

// String returns the word for the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"completed", "failed", "rejected", "abandoned", "moved"}[v]
}

// Answer ends a ticket of a job.
type Answer struct {
	Ticket     Ticket
	Job        JobID
	Verdict    Verdict
	Reason     string
	RetryAfter time.Duration // of a rejected job
	Took       time.Duration // since the job arrived here
}

// DelegatedAnswer ends a ticket of a guest.
type DelegatedAnswer struct {
	Ticket     Ticket
	Task       TaskID
	Run        int
	Result     End
	Checkpoint string
}

// Delegate asks the holder of another cell to run a task.
type Delegate struct {
	Holder uint64
	Cell   string
	Task   DelegatedTask
}

// DelegateCancel withdraws a lent task.
type DelegateCancel struct{ Task TaskID }

// RunEnd reports the end of a run that a task has waited for.
type RunEnd struct {
	Endpoint EndpointID
	Task     TaskID
	Run      int
	End      End
	Took     time.Duration
	Expected time.Duration
	Failures int // of the task before this run
}

// Report tells the owner of a kept job of a run that has begun or ended. An end
// is answered by Reported once it is stored.
type Report struct {
	Endpoint         EndpointID
	IncarnationStart int64 // incarnation of the endpoint
	Number           int64 // of the end
	Task             TaskID
	Run              int
	Begun            bool // else it has ended
	End              End  // EndDone or EndFailed
	Checkpoint       string
}

// EndpointEvent reports a change of what the core believes of an endpoint.
type EndpointEvent struct {
	Event    string
	Endpoint EndpointID
	Reason   string
	Token    int64
	Runs     int
}
