package ledger

import (
	"time"

	"lovagespread.example/dispatch/jobid"
)

// TaskState is the state of one task.
type TaskState uint8

// States of a task.
const (
	Waiting TaskState = iota // never started, or proved not started
	Started                  // an attempt may be running
	Done                     // has a result
	Failed                   // ran without a result
	Lost                     // started; its fate is unknown
)

// JobState is the state of one job ID.
type JobState uint8

// States of a job ID.
const (
	Absent JobState = iota // never seen
	Open                   // admitted, not ended
	Ended                  // has its final outcome
	Closed                 // refused as not run; admits no start
)

// Ledger records the jobs of one entry incarnation. It is not safe for
// concurrent use: the control goroutine owns it.
type Ledger struct {
	jobs map[jobid.ID]*job
}

type job struct {
	state   JobState
	started bool // some task was started at any time
	tasks   []task
}

type task struct {
	state      TaskState
	idempotent bool
	attempt    int
	running    int // attempts whose fate is open
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{jobs: make(map[jobid.ID]*job)}
}

// State returns the state of an ID.
func (l *Ledger) State(id jobid.ID) JobState {
	j := l.jobs[id]
	if j == nil {
		return Absent
	}
	return j.state
}

// Open admits a job. idempotent has one element a task. It returns false,
// and changes nothing, unless the ID is absent.
func (l *Ledger) Open(id jobid.ID, idempotent []bool) bool {
	if l.jobs[id] != nil {
		return false
	}
	j := &job{state: Open, tasks: make([]task, len(idempotent))}
	for i, ok := range idempotent {
		j.tasks[i].idempotent = ok
	}
	l.jobs[id] = j
	return true
}

// Close bars an ID for all time. It returns false, and changes nothing, if a
// task of the job was ever started or the job has ended: then the job must
// not be called "not run".
func (l *Ledger) Close(id jobid.ID) bool {
	j := l.jobs[id]
	if j == nil {
		l.jobs[id] = &job{state: Closed}
		return true
	}
	if j.state == Closed {
		return true
	}
	if j.started || j.state == Ended {
		return false
	}
	j.state = Closed
	j.tasks = nil
	return true
}

// MayStart reports whether Start would succeed.
func (l *Ledger) MayStart(id jobid.ID, index int) bool {
	j := l.jobs[id]
	if j == nil || j.state != Open {
		return false
	}
	t := &j.tasks[index]
	if t.state == Waiting {
		return true
	}
	return t.idempotent && t.state == Started
}

// Start authorises one attempt of a task and returns its number, from 1. It
// returns false if the task must not be started.
func (l *Ledger) Start(id jobid.ID, index int) (attempt int, ok bool) {
	if !l.MayStart(id, index) {
		return 0, false
	}
	j := l.jobs[id]
	j.started = true
	t := &j.tasks[index]
	t.state = Started
	t.attempt++
	t.running++
	return t.attempt, true
}

// Fate is what became of an attempt.
type Fate uint8

// Fates of an attempt.
const (
	FateDone       Fate = iota // it ran and gave a result
	FateFailed                 // it ran and gave none
	FateNotStarted             // it is proved not to have started
	FateUnknown                // nothing is known, and nothing will be
)

// Resolve records the fate of an attempt and returns the state of the task
// after it. It returns ok = false for an attempt that was resolved already or
// that the ledger does not know; such an answer is ignored by its caller.
func (l *Ledger) Resolve(id jobid.ID, index int, fate Fate) (state TaskState, ok bool) {
	j := l.jobs[id]
	if j == nil || j.state != Open || index >= len(j.tasks) {
		return Waiting, false
	}
	t := &j.tasks[index]
	if t.state != Started || t.running == 0 {
		return t.state, false
	}
	t.running--
	t.state = next(t, fate)
	return t.state, true
}

func next(t *task, fate Fate) TaskState {
	if fate == FateDone {
		return Done
	}
	if t.running > 0 {
		return Started
	}
	switch {
	case fate == FateNotStarted:
		return Waiting
	case t.idempotent:
		return Waiting
	case fate == FateFailed:
		return Failed
	default:
		return Lost
	}
}

// Ran reports whether any task of the job was ever started.
func (l *Ledger) Ran(id jobid.ID) bool {
	j := l.jobs[id]
	return j != nil && j.started
}

// End gives a job its final state. It returns false if the job is not open.
func (l *Ledger) End(id jobid.ID) bool {
	j := l.jobs[id]
	if j == nil || j.state != Open {
		return false
	}
	j.state = Ended
	j.tasks = nil
	return true
}

// Expire forgets the IDs that have expired and are not open. It returns the
// number of IDs that remain.
func (l *Ledger) Expire(now time.Time) int {
	for id, j := range l.jobs {
		if j.state != Open && id.Expired(now) {
			delete(l.jobs, id)
		}
	}
	return len(l.jobs)
}
