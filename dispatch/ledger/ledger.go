package ledger

import (
	"slices"
	"time"

	"lovagespread.example/dispatch/jobid"
)

// JobState is the state of one job ID.
type JobState uint8

// States of a job ID.
const (
	Absent   JobState = iota // never seen
	Open                     // admitted, not ended
	Ended                    // has its final outcome
	Closed                   // refused as not run; admits no start
	Expired                  // expired; its record may have been dropped
	NotOwned                 // another ledger answers for it
)

// Ledger records the jobs of one entry incarnation. It is not safe for
// concurrent use: the control goroutine owns it.
type Ledger struct {
	self     jobid.Incarnation
	owners   []jobid.Incarnation // answered for, in order
	openJobs map[jobKey]*job
	finished pages

	session      uint64 // of the latest hand-over begun
	outgoing     *outgoingHandover
	relinquished bool // a successor answers
	incoming     map[jobid.Incarnation]*incomingHandover
}

// jobKey is the part of an ID that tells it from every other ID.
type jobKey struct {
	owner    jobid.Incarnation
	sequence uint64
}

func jobKeyOf(id jobid.ID) jobKey {
	return jobKey{owner: id.Owner, sequence: id.Sequence}
}

// job is the record of an open job.
type job struct {
	id             jobid.ID
	possibleStarts int  // attempts that are not proved not to have started
	cancelled      bool // given up: admits no further start
	tasks          []task
}

// New returns an empty ledger that answers for the IDs of one owner. A ledger
// whose owner is zero answers for all IDs and cannot be handed over.
func New(owner jobid.Incarnation) *Ledger {
	return &Ledger{
		self:     owner,
		owners:   []jobid.Incarnation{owner},
		openJobs: make(map[jobKey]*job),
		finished: newPages(),
		incoming: make(map[jobid.Incarnation]*incomingHandover),
	}
}

// Owners returns the incarnations that this ledger answers for, or would if it
// were not given away, in order.
func (l *Ledger) Owners() []jobid.Incarnation { return slices.Clone(l.owners) }

// AuthoritativeFor reports whether this ledger is the authority on the IDs of an
// owner.
func (l *Ledger) AuthoritativeFor(owner jobid.Incarnation) bool {
	return !l.relinquished && (l.self == 0 || slices.Contains(l.owners, owner))
}

// find returns the record of an open job that this ledger answers for, or
// nil.
func (l *Ledger) find(id jobid.ID) *job {
	if !l.AuthoritativeFor(id.Owner) {
		return nil
	}
	return l.openJobs[jobKeyOf(id)]
}

// State returns the state of an ID.
func (l *Ledger) State(id jobid.ID) JobState {
	if !l.AuthoritativeFor(id.Owner) {
		return NotOwned
	}
	if l.find(id) != nil {
		return Open
	}
	switch l.finished.get(id) {
	case outcomeNone:
		return Absent
	case outcomeClosed:
		return Closed
	case outcomeExpired:
		return Expired
	default:
		return Ended
	}
}

// Open admits a job. idempotent has one element a task. It returns false,
// and changes nothing, unless the ID is absent.
func (l *Ledger) Open(id jobid.ID, idempotent []bool) bool {
	if l.State(id) != Absent {
		return false
	}
	j := &job{id: id, tasks: make([]task, len(idempotent))}
	for i, ok := range idempotent {
		j.tasks[i].idempotent = ok
	}
	l.openJobs[jobKeyOf(id)] = j
	l.markJobDirty(j)
	return true
}

// Close bars an ID for all time. It returns false, and changes nothing, if a
// task of the job may have started, if the ID has ended or is forgotten, or
// if another ledger answers for it: then it must not be called "not run".
func (l *Ledger) Close(id jobid.ID) bool {
	switch l.State(id) {
	case Closed:
		return true
	case Ended, Expired, NotOwned:
		return false
	}
	if j := l.find(id); j != nil && j.possibleStarts > 0 {
		return false
	}
	l.finish(id, outcomeClosed)
	return true
}

// Cancel bars further starts of an open job, whose started attempts run on.
// It returns the number of attempts whose fate is open. The job stays open,
// so that their fates are still recorded, until End.
func (l *Ledger) Cancel(id jobid.ID) (unresolved int) {
	j := l.find(id)
	if j == nil {
		return 0
	}
	j.cancelled = true
	l.markJobDirty(j)
	for i := range j.tasks {
		unresolved += j.tasks[i].unresolvedCount()
	}
	return unresolved
}

// Ran reports whether any task of the job was started: that is, whether it
// has an attempt that is not proved not to have started. It reports true for
// an ID of which nothing is known: a forgotten one, or one that another ledger
// answers for.
func (l *Ledger) Ran(id jobid.ID) bool {
	if !l.AuthoritativeFor(id.Owner) {
		return true
	}
	if j := l.find(id); j != nil {
		return j.possibleStarts > 0
	}
	switch l.finished.get(id) {
	case outcomeRan, outcomeExpired:
		return true
	default:
		return false
	}
}

// End gives a job its final state. It returns false if the job is not open.
func (l *Ledger) End(id jobid.ID) bool {
	j := l.find(id)
	if j == nil {
		return false
	}
	if j.possibleStarts > 0 {
		l.finish(id, outcomeRan)
	} else {
		l.finish(id, outcomeNotRun)
	}
	return true
}

// Expire lets the ledger forget IDs that expired ClockMargin ago. One call
// looks at a bounded number of pages, so that it never pauses traffic; regular
// calls reach all of them. It returns the number of job IDs on record.
//
// During a hand-over nothing is forgotten: a successor that was told of an
// open job must still be told of its end.
func (l *Ledger) Expire(now time.Time) int {
	if l.outgoing == nil {
		l.finished.expire(now)
	}
	return len(l.openJobs) + l.finished.count
}
