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
	Lost                     // started; its fate is unknown
)

// attemptWindow is the span of attempt numbers of one task that may be open
// at the same time.
const attemptWindow = 32

// task is the record of one task. Bit i of open stands for attempt last-i;
// it is set while the fate of that attempt is open.
type task struct {
	lastAttempt uint32
	unresolved  uint32
	starter     jobid.Incarnation // of the open attempts; zero: this ledger
	state       TaskState
	idempotent  bool
}

// unresolvedCount returns the number of attempts whose fate is open.
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

// markResolved ends an open attempt. It returns false if the attempt is not open.
func (t *task) markResolved(attempt int) bool {
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

// stateAfter returns the state that follows from a fate of an attempt that was
// just closed. The task must be Started.
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

// AttemptStatus is what became of an attempt.
type AttemptStatus uint8

// Fates of an attempt.
const (
	AttemptDone       AttemptStatus = iota // it ran and gave a result
	AttemptFailed                          // it ran and gave none
	AttemptNotStarted                      // it is proved not to have started
	AttemptUnknown                         // nothing is known, and nothing will be
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

// Start authorises one attempt of a task and returns its number, from 1. It
// returns false if the task must not be started.
func (l *Ledger) Start(id jobid.ID, index int) (attempt int, ok bool) {
	j, t := l.task(id, index)
	if t == nil || j.cancelled || !t.mayStart() {
		return 0, false
	}
	j.possibleStarts++
	l.markJobDirty(j)
	return t.start(), true
}

// Resolve records the fate of an attempt and returns the state of the task
// after it. It returns ok = false, and the task is as before, if the fate
// decides nothing: the attempt is unknown or was resolved already, the job
// has ended, or another attempt has decided the task. Its caller must ignore
// the answer that brought such a fate.
func (l *Ledger) Resolve(id jobid.ID, index, attempt int, status AttemptStatus) (state TaskState, ok bool) {
	j, t := l.task(id, index)
	if t == nil {
		return Waiting, false
	}
	if !t.markResolved(attempt) {
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
