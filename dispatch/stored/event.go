package stored

import "lovagespread.example/dispatch/leased"

// EventKind tells what an event says.
type EventKind uint8

// Kinds of events.
const (
	JobAccepted  EventKind = iota // with Spec
	TaskEnded                     // with Task, Run, Done and Saved
	JobCancelled                  // by its caller
	JobFailed                     // a task has failed as often as it may
	JobSnapshot                   // all that is known of a job, in place of earlier events
)

// Event is one fact about a job, as it stands on the log.
type Event struct {
	Kind EventKind
	Job  leased.JobID
	// Spec is the job of JobAccepted and JobRewritten; nil of a rewritten job
	// that has ended.
	Spec *leased.Job
	// Progress is that of the tasks of a rewritten job, as far as they have any.
	Progress []leased.TaskProgress
	State    State // of a rewritten job
	Task     leased.TaskID
	Run      int
	Done     bool   // else it has failed
	Saved    string // newest checkpoint
}

// State is what callers are told of a job.
type State uint8

// States.
const (
	Unknown   State = iota // no such job
	Queued                 // no task has started yet
	Running                // a task has started
	Completed              // every task is done
	Failed                 // a task has failed as often as it may
	Cancelled              // by its caller
)

// String returns the word for the state in logs and metrics.
func (s State) String() string {
	return [...]string{"unknown", "queued", "running", "completed", "failed", "cancelled"}[s]
}

// Ended reports whether nothing of the job is to run any more.
func (s State) Ended() bool { return s >= Completed }
