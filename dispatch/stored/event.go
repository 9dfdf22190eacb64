package stored

import "lovagespread.example/dispatch/leased"

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events.
const (
	JobAccepted     EventKind = iota // with Spec
	TaskEnded                        // with Task, Run, Done and Checkpoint
	JobCancelled                     // by its caller
	JobFailed                        // a task has used up its attempts
	JobSnapshot                      // the whole state of a job; replaces its earlier events
	TaskLost                         // an endpoint was lost with a run; with Task, Run and Loss
	RunsSuperseded                   // ends of runs up to the number of Run no longer count; with Task
	JobSnapshotPart                  // more Progress of the JobSnapshot before it
)

// Event is a change to a job as it is stored on the log.
type Event struct {
	Kind EventKind
	Job  leased.JobID
	// Spec is set for JobAccepted, and for the JobSnapshot of a job that has not
	// ended.
	Spec *leased.Job
	// Progress lists the tasks in a JobSnapshot that have made progress. Of a job that has
	// ended it tells only which runs are superseded.
	Progress   []leased.TaskProgress
	State      State // in a JobSnapshot
	Parts      int   // number of the JobSnapshotParts that follow a JobSnapshot
	Task       leased.TaskID
	Run        leased.RunID
	Done       bool        // the run has succeeded; false: it has failed
	Loss       leased.Loss // in a TaskLost
	Checkpoint string      // newest checkpoint
}

// State is the state of a job as callers see it.
type State uint8

// States.
const (
	Unknown   State = iota // no such job
	Queued                 // no task has started yet
	Running                // a task has started
	Completed              // every task is done
	Failed                 // a task has used up its attempts
	Cancelled              // by its caller
)

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	return [...]string{"unknown", "queued", "running", "completed", "failed", "cancelled"}[s]
}

// Ended reports whether the state is final: no task of the job will run again.
func (s State) Ended() bool { return s >= Completed }
