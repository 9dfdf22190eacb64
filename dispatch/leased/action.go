package leased

import (
	"time"

	"lovagespread.example/dispatch/blame"
	"lovagespread.example/dispatch/evacuation"
)

// Actions are the decisions of a Step. Slices are valid until the next Step.
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
	Crashes          []Crash
	Reports          []Report
	DomainChanges    []evacuation.Change
	RecoveryEvents   []RecoveryEvent
}

func (a *Actions) reset() {
	*a = Actions{a.Starts[:0], a.Stops[:0], a.Holds[:0], a.Answers[:0], a.DelegatedAnswers[:0],
		a.Delegations[:0], a.DelegateCancels[:0], a.EndpointEvents[:0], a.RunEnds[:0], a.Crashes[:0], a.Reports[:0],
		a.DomainChanges[:0], a.RecoveryEvents[:0]}
}

// Start asks an endpoint to run a task.
type Start struct {
	Endpoint   EndpointID
	Address    string
	Task       TaskID
	Run        int
	Attempt    int // 1: the first request for this run; each further one repeats it
	Spec       string
	Checkpoint string        // checkpoint; empty: none
	Until      time.Duration // end of the lease on the endpoint's clock
	Token      int64
	// CallsLost reports that replies are lost by chance, so that one that is overdue is
	// hardly to be expected.
	CallsLost bool
	// The remaining fields explain the decision.
	Waited   time.Duration // by the job, until now
	Free     Demand        // on the endpoint, before the start
	Expected time.Duration // run time on the endpoint
	Evidence Evidence      // that no earlier run is active
	For      Submission    // that the run serves
}

// Submission identifies the call of another entry that a run or a delegation serves.
type Submission struct {
	Delegated bool   // it is a task that another holder has delegated to this one
	Entry     uint64 // incarnation of the entry that has submitted the job or delegated the task; 0: this one
	Origin    uint64 // of a delegated task: the entry that waits for its job; 0: Entry, or not known
	Call      CallID // by which Entry has submitted the job; zero: not known
}

// Stop asks an endpoint to end a run.
type Stop struct {
	Endpoint EndpointID
	Address  string
	Task     TaskID
	Run      int
	Token    int64
	Reason   string
}

// Hold polls an endpoint: it extends the lease of all its runs, acknowledges
// ended runs and asks for the lists of active and ended runs.
type Hold struct {
	Endpoint EndpointID
	Address  string
	Sequence uint64
	Token    int64
	Until    time.Duration // on the endpoint's clock; 0: extend nothing
	LastSeen int64         // ended runs up to this number are acknowledged
	Wait     time.Duration // how long the reply may wait for a run to end
}

// Verdict is how a job ended.
type Verdict uint8

// Verdicts on jobs.
const (
	Completed Verdict = iota // every task is done
	Failed                   // a task failed too often
	Rejected                 // no run was ever started
	Abandoned                // the caller's deadline passed after a start
	Moved                    // no run was started, and the job should be submitted to another holder
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"completed", "failed", "rejected", "abandoned", "moved"}[v]
}

// Answer is the final answer to a ticket of a job.
type Answer struct {
	Ticket     Ticket
	Job        JobID
	Verdict    Verdict
	Reason     string
	RetryAfter time.Duration // of a rejected job
	Took       time.Duration // since the job arrived here
	To         uint64        // holder that a moved job should go to; 0: any
	// EarlierRuns reports, with Moved, that runs under earlier holders may be active.
	EarlierRuns bool
}

// DelegatedAnswer is the final answer to a ticket of a delegated task.
type DelegatedAnswer struct {
	Ticket     Ticket
	Task       TaskID
	Run        int
	End        End
	Checkpoint string
	// Progress is what the owner of a stored job has told the delegate of the task; nil: it
	// has told nothing recently. It includes a run that has failed.
	Progress *TaskProgress
}

// Delegate asks the holder of another cell to run a task.
type Delegate struct {
	Holder   uint64
	Cell     string
	Task     DelegatedTask
	Evidence Evidence // that no earlier run is active; of a search for one it tells nothing
	For      Submission
}

// DelegateCancel cancels a delegated task.
type DelegateCancel struct{ Task TaskID }

// RunEnd reports the end of a run that belonged to a task.
type RunEnd struct {
	Endpoint EndpointID
	Task     TaskID
	Run      int
	End      End
	Took     time.Duration // 0: unknown, because too little was seen of a run that was found
	Expected time.Duration
	Failures int // of the task before this run
}

// Crash reports that an endpoint has crashed under a run: it was lost with the
// run, and another incarnation of it answers. It can follow the run's end by
// seconds.
type Crash struct {
	Endpoint EndpointID
	Task     TaskID
	Run      int
	Queue    string // empty: no job claimed the run
	Alone    bool   // no other run was on the endpoint
	// Unconfirmed reports that the endpoint has neither confirmed nor listed the run.
	Unconfirmed bool
}

// Report notifies the owner of a stored job of a run that has begun or ended.
// Once an end is stored, it is answered by ReportsStored.
type Report struct {
	Endpoint         EndpointID
	IncarnationStart int64 // of the endpoint that ran it
	Number           int64 // of the ended run; 0: the endpoint does not list it
	Task             TaskID
	Run              int
	Begun            bool // false: the run has ended
	// Restart is the number of a request to start the task again although an earlier run may
	// have ended unseen; Run is the highest number of those known to the holder then. The
	// request is answered by ReportsStored. 0: the report is about a run.
	Restart    uint64
	Offer      uint64 // of the job, with Restart
	End        End    // EndDone, EndFailed or EndEndpointLost
	Loss       Loss   // of a run that ended with EndEndpointLost
	Checkpoint string
}

// Loss is what is known about the loss of an endpoint under a run.
type Loss struct {
	Cause LossCause
	Alone bool // no other run was on the endpoint
	// Unconfirmed reports that the endpoint has neither confirmed nor listed the run.
	Unconfirmed bool
}

// Count counts the loss of an endpoint that has crashed.
func (l Loss) Count(r *blame.Record) {
	if l.Unconfirmed {
		r.AddUnconfirmed()
		return
	}
	r.Add(l.Alone)
}

// LossCause is why an endpoint was lost.
type LossCause uint8

// Causes of a loss.
const (
	LossUnexplained LossCause = iota // the cause is not known yet, or never will be
	LossByCrash
	LossByCut // the endpoint was cut off, or had announced its end
)

// EndpointEvent reports a change of the state of an endpoint, for the log.
type EndpointEvent struct {
	Event    string
	Endpoint EndpointID
	Reason   string
	Token    int64
	Runs     int
}

// RecoveryEvent reports that this holder starts or stops to reject jobs because
// its capacity is not what the platform announces, for the log.
type RecoveryEvent struct {
	Active    bool
	Announced int           // millicores of the announced endpoints
	Answering int           // millicores of those that answer
	Backlog   time.Duration // time to serve the queue
	Rejected  int           // jobs rejected for lack of capacity in the recovery that has ended
}
