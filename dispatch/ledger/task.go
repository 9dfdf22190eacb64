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
	last       uint32
	open       uint32
	starter    jobid.Incarnation // of the open attempts; zero: this ledger
	state      TaskState
	idempotent bool
}

// running returns the number of attempts whose fate is open.
func (t *task) running() int { return bits.OnesCount32(t.open) }

func (t *task) mayStart() bool {
	if t.state == Waiting {
		return true
	}
	if t.starter != 0 {
		return false
	}
	oldestIsOpen := t.open>>(attemptWindow-1) == 1
	return t.idempotent && t.state == Started && !oldestIsOpen
}

func (t *task) start() (attempt int) {
	t.state = Started
	t.last++
	t.open = t.open<<1 | 1
	return int(t.last)
}

// close ends an open attempt. It returns false if the attempt is not open.
func (t *task) close(attempt int) bool {
	age := int64(t.last) - int64(attempt)
	if age < 0 || age >= attemptWindow {
		return false
	}
	bit := uint32(1) << age
	if t.open&bit == 0 {
		return false
	}
	t.open &^= bit
	if t.open == 0 {
		t.starter = 0
	}
	return true
}

// resolve returns the state that follows from a fate of an attempt that was
// just closed. The task must be Started.
func (t *task) resolve(fate AttemptStatus) TaskState {
	if fate == AttemptDone {
		return Done
	}
	if t.open != 0 {
		return Started
	}
	switch {
	case fate == AttemptNotStarted, t.idempotent, resendLost && fate == AttemptUnknown:
		return Waiting
	case fate == AttemptFailed:
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
	return t != nil && !j.given && t.mayStart()
}

// Start authorises one attempt of a task and returns its number, from 1. It
// returns false if the task must not be started.
func (l *Ledger) Start(id jobid.ID, index int) (attempt int, ok bool) {
	j, t := l.task(id, index)
	if t == nil || j.given || !t.mayStart() {
		return 0, false
	}
	j.begun++
	l.changedJob(j)
	return t.start(), true
}

// Resolve records the fate of an attempt and returns the state of the task
// after it. It returns ok = false, and the task is as before, if the fate
// decides nothing: the attempt is unknown or was resolved already, the job
// has ended, or another attempt has decided the task. Its caller must ignore
// the answer that brought such a fate.
func (l *Ledger) Resolve(id jobid.ID, index, attempt int, fate AttemptStatus) (state TaskState, ok bool) {
	j, t := l.task(id, index)
	if t == nil {
		return Waiting, false
	}
	if !t.close(attempt) {
		return t.state, false
	}
	l.changedJob(j)
	if fate == AttemptNotStarted {
		j.begun--
	}
	if t.state != Started {
		return t.state, false
	}
	t.state = t.resolve(fate)
	return t.state, true
}
