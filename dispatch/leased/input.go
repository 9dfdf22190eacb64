package leased

import (
	"time"

	"lovagespread.example/dispatch/admission"
	"lovagespread.example/dispatch/balance"
)

// Input is an input of Core.Step.
type Input interface{ isInput() }

// SetEndpoints lists the endpoints that this core should hold.
type SetEndpoints struct{ Endpoints []Endpoint }

// AnnounceFreeCapacity lists new announcements of the holders of other cells.
// Each replaces the earlier announcement for its cell. The others stay as they
// are, less what was delegated since.
type AnnounceFreeCapacity struct{ Announced []FreeCapacity }

// SetEvacuations lists all failure domains that operators have evacuated: their
// endpoints get no new tasks.
type SetEvacuations struct {
	Domains []string
	Late    bool // the list may have been in force for some time
}

// SetReachability reports whether some entries cannot be reached. Ended runs
// that they have seen may be unknown to all others.
type SetReachability struct{ SomeUnreachable bool }

// Submit submits a job.
type Submit struct {
	Ticket Ticket
	Job    Job
	Caller uint64 // incarnation of the entry that waits for the answer; 0: this one
	// CallerHeardAt is when Caller was last heard, by a heartbeat or by this call; zero:
	// not known.
	CallerHeardAt time.Time
	SentAt        time.Time // when Caller sent the call; zero: not known
	CallerCall    CallID    // that submits the job; zero: not known
}

// CallID identifies a call from one entry to another, which the calling entry may name
// as withdrawn.
type CallID struct{ Epoch, Number uint64 }

// SubmitDelegated submits one task of a job that is queued at another holder.
// It is answered with EndNoCapacity if the task cannot start now and may not
// wait.
type SubmitDelegated struct {
	Ticket Ticket
	Task   DelegatedTask
	Caller uint64 // incarnation of the delegator; 0: this entry
	// CallerHeardAt is when Caller was last heard, by a heartbeat or by this call; zero:
	// not known.
	CallerHeardAt time.Time
	SentAt        time.Time // when Caller sent the call; zero: not known
}

// CallerContact reports when an entry that waits for tickets was last heard.
type CallerContact struct {
	Caller  uint64
	HeardAt time.Time
}

// Cancel cancels a ticket whose answer is no longer awaited.
type Cancel struct{ Ticket Ticket }

// StartReply is the result of a Start.
type StartReply struct {
	Endpoint EndpointID
	Task     TaskID
	Run      int
	Result   StartResult
	Clock    time.Duration // the endpoint's clock; 0: unknown
}

// StopReply is the result of a Stop.
type StopReply struct {
	Endpoint EndpointID
	Task     TaskID
	Run      int
	Answered bool
}

// HoldReply is the result of a Hold.
type HoldReply struct {
	Endpoint         EndpointID
	Sequence         uint64 // of the Hold
	Result           HoldResult
	Clock            time.Duration // the endpoint's clock
	IncarnationStart int64         // of the endpoint, in milliseconds since 1970; 0: unknown
	Running          []ActiveRun
	Ended            []EndedRun
	More             bool // runs are omitted, so that a run that is not listed may be active
}

// DelegateReply is the result of a Delegate.
type DelegateReply struct {
	Task       TaskID
	Run        int
	End        End
	Checkpoint string
	Progress   *TaskProgress // as in DelegatedAnswer
}

// ReportsStored states that reports of runs are stored, which the owner has answered
// together: their tasks may start again in order of urgency.
type ReportsStored struct{ Reports []StoredReport }

// StoredReport states that the reported end of a run is stored, so the endpoint
// may forget it.
type StoredReport struct {
	Endpoint         EndpointID
	IncarnationStart int64 // of the endpoint
	Number           int64 // of the ended run
	Task             TaskID
	Run              int
	Restart          uint64 // of the request that is answered; 0: a report about a run
	Offer            uint64 // as in that request
	// Discarded reports that the end does not count, because its run was superseded before
	// the end was reported. The endpoint may forget it after its lease has expired.
	Discarded bool
	// Progress is what the owner of the job knows of the task, including this end; nil: it
	// has not told.
	Progress *TaskProgress
}

// TaskUpdate states what the owner of a stored job has learned of a task from other
// holders.
type TaskUpdate struct {
	Task     TaskID
	Progress TaskProgress
}

// Pause states that this process was frozen. No task is started for a while,
// because waiting jobs may have been cancelled in the meantime.
type Pause struct{ For time.Duration }

// Tick advances the time.
type Tick struct {
	Contacts []CallerContact // of all entries that wait for tickets
}

func (*SetEndpoints) isInput()         {}
func (*AnnounceFreeCapacity) isInput() {}
func (*SetEvacuations) isInput()       {}
func (*SetReachability) isInput()      {}
func (*Submit) isInput()               {}
func (*SubmitDelegated) isInput()      {}
func (*Cancel) isInput()               {}
func (*StartReply) isInput()           {}
func (*StopReply) isInput()            {}
func (*HoldReply) isInput()            {}
func (*DelegateReply) isInput()        {}
func (*ReportsStored) isInput()        {}
func (*TaskUpdate) isInput()           {}
func (*Pause) isInput()                {}
func (*CallerContact) isInput()        {}
func (*Tick) isInput()                 {}

// StartResult is an endpoint's reply to a Start, or why there is none.
type StartResult uint8

// Results of a Start.
const (
	StartAccepted         StartResult = iota // the run is active, or an earlier copy was accepted
	StartNoCapacity                          // the endpoint has not enough free capacity
	StartOldRun                              // a run with this number or a higher one has ended there
	StartLate                                // the lease had expired on arrival
	StartFenced                              // another holder has a higher token
	StartUnhealthy                           // the endpoint refuses tasks for now
	StartOtherIncarnation                    // another incarnation of the endpoint received it
	StartInvalid                             // the endpoint cannot decode the request
	StartNotSent                             // provably not received
	StartUnanswered                          // may have been executed, or may be executed later
)

// String returns the name of the result in logs and metrics.
func (r StartResult) String() string {
	return [...]string{"accepted", "no_room", "old_run", "late", "fenced", "unhealthy",
		"other_incarnation", "invalid", "not_sent", "unanswered"}[r]
}

// HoldResult is an endpoint's reply to a Hold, or why there is none.
type HoldResult uint8

// Results of a Hold.
const (
	HoldAnswered         HoldResult = iota
	HoldFenced                      // another holder has a higher token
	HoldOtherIncarnation            // another incarnation of the endpoint received it
	HoldUnhealthy                   // the endpoint refuses to reply for now
	HoldNotSent                     // provably not received
	HoldUnanswered                  // may have been executed
)

// String returns the name of the result in logs and metrics.
func (r HoldResult) String() string {
	return [...]string{"answered", "fenced", "other_incarnation", "unhealthy", "not_sent", "unanswered"}[r]
}

// End is how a run ended.
type End uint8

// Ends of a run.
const (
	EndDone         End = iota
	EndFailed           // by a fault of the task or of the endpoint; counts as an attempt
	EndStopped          // by a Stop
	EndLapsed           // the lease expired, or the run's group of tasks broke up
	EndNoCapacity       // never started: not enough free capacity
	EndNotRun           // never started, for another reason
	EndUnknown          // the delegate was lost: the run may continue until its lease expires
	EndEndpointLost     // the endpoint crashed, or was cut off for longer than the lease
)

// String returns the name of the end in logs and metrics.
func (e End) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "no_room", "not_run", "unknown", "endpoint_lost"}[e]
}

// ActiveRun is a run that an endpoint lists as active.
type ActiveRun struct {
	Task       TaskID
	Run        int
	Checkpoint string // newest checkpoint
	Percent    int    // progress
}

// EndedRun is a run that an endpoint lists as ended.
type EndedRun struct {
	Number     int64 // of the ended run, counted from 1 in each incarnation
	Task       TaskID
	Run        int
	End        End
	Checkpoint string
}

// FreeCapacity is the free capacity that the holder of another cell has
// announced.
type FreeCapacity struct {
	Holder uint64 // identifies the holder
	Cell   string
	// FailureDomain is that of the cell.
	FailureDomain string
	Age           time.Duration // when it is passed to the core
	Free          []int         // millicores, one for each endpoint with free capacity
	// Load is the load of the holder's queue. Holders of older versions announce
	// none.
	Load     *balance.Load
	Transfer time.Duration // that a job takes to reach the holder
	// Shared is the demand and backlog of the holder, for admission control; nil: this
	// announcement has none.
	Shared *admission.SharedLoad
}
