package ledger

import (
	"math/bits"

	"lovagespread.example/dispatch/jobid"
)

// TaskState is the state of one task.
type TaskState uint8

// States of a task.
const (
	Waiting TaskState = iota // no attempt may be running; may be started
	Started                  // an attempt may be running
	Done                     // has a result
	Failed                   // ran without a result
	Lost                     // started; its outcome is unknown
)

// attemptWindow is the range of attempt numbers of one task that may be
// unresolved at the same time.
const attemptWindow = 32

// task is the record of one task. Bit i of unresolved is set while attempt
// lastAttempt-i is unresolved.
type task struct {
	lastAttempt uint32
	unresolved  uint32
	starter     jobid.Incarnation // started the unresolved attempts; zero: this ledger
	state       TaskState
	idempotent  bool
}

// unresolvedCount returns the number of unresolved attempts.
func (t *task) unresolvedCount() int { return bits.OnesCount32(t.unresolved) }

func (t *task) mayStart() bool {
	if t.state == Waiting {
		return true
	}
	if t.starter != 0 {
		return false
	}
	oldestUnresolved := t.unresolved>>(attemptWindow-1) == 1
	return t.idempotent && t.state == Started && !oldestUnresolved
}

func (t *task) start() (attempt int) {
	t.state = Started
	t.lastAttempt++
	t.unresolved = t.unresolved<<1 | 1
	return int(t.lastAttempt)
}

// close marks an attempt as resolved. It returns false if the attempt does not
// exist or was already resolved.
func (t *task) close(attempt int) bool {
	age := int64(t.lastAttempt) - int64(attempt)
	if age < 0 || age >= attemptWindow {
		return false
	}
	bit := uint32(1) << age
	if t.unresolved&bit == 0 {
		return false
	}
	t.unresolved &^= bit
	if t.unresolved == 0 {
		t.starter = 0
	}
	return true
}

// stateAfter returns the state of the task after an attempt was resolved with
// the given status. The task must be Started.
func (t *task) stateAfter(status AttemptStatus) TaskState {
	if status == AttemptDone {
		return Done
	}
	if t.unresolved != 0 {
		return Started
	}
	switch {
	case status == AttemptNotStarted, t.idempotent, resendUnknown && status == AttemptUnknown:
		return Waiting
	case status == AttemptFailed:
		return Failed
	default:
		return Lost
	}
}

// AttemptStatus is the final status of an attempt.
type AttemptStatus uint8

// Final statuses of an attempt.
const (
	AttemptDone       AttemptStatus = iota // it ran and returned a result
	AttemptFailed                          // it ran and returned no result
	AttemptNotStarted                      // it is proved not to have started
	AttemptUnknown                         // its status is unknown and cannot be determined
)

// task returns the record of a task of an open job, or nil.
func (l *Ledger) task(id jobid.ID, index int) (*job, *task) {
	j := l.find(id)
	if j == nil || index < 0 || index >= len(j.tasks) {
		return nil, nil
	}
	return j, &j.tasks[index]
}

// MayStart reports whether Start would succeed.
func (l *Ledger) MayStart(id jobid.ID, index int) bool {
	j, t := l.task(id, index)
	return t != nil && !j.cancelled && t.mayStart()
}

// Start authorizes one attempt of a task and returns its number, starting
// with 1. It returns false if the task must not be started.
func (l *Ledger) Start(id jobid.ID, index int) (attempt int, ok bool) {
	j, t := l.task(id, index)
	if t == nil || j.cancelled || !t.mayStart() {
		return 0, false
	}
	j.possibleStarts++
	l.markJobDirty(j)
	return t.start(), true
}

// Resolve records the final status of an attempt and returns the new state of
// the task. It returns ok = false, and the task keeps its state, if the status
// has no effect: the attempt does not exist or was already resolved, the job
// has ended, or another attempt has decided the task. The caller must then
// ignore the reply that carried the status.
func (l *Ledger) Resolve(id jobid.ID, index, attempt int, status AttemptStatus) (state TaskState, ok bool) {
	j, t := l.task(id, index)
	if t == nil {
		return Waiting, false
	}
	if !t.close(attempt) {
		return t.state, false
	}
	l.markJobDirty(j)
	if status == AttemptNotStarted {
		j.possibleStarts--
	}
	if t.state != Started {
		return t.state, false
	}
	t.state = t.stateAfter(status)
	return t.state, true
}
