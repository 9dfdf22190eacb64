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
	Ended                    // ended with a final outcome
	Closed                   // rejected as not run; permits no start
	Expired                  // expired; the record may have been dropped
	NotOwned                 // another ledger is authoritative for it
)

// Ledger records the jobs of one entry incarnation. It is not safe for
// concurrent use: the control goroutine owns it.
type Ledger struct {
	self     jobid.Incarnation
	owners   []jobid.Incarnation // owners whose IDs this ledger is authoritative for, sorted
	openJobs map[jobKey]*job
	finished pages

	session      uint64 // number of the latest handover begun
	outgoing     *outgoingHandover
	relinquished bool // the successor may be authoritative
	incoming     map[jobid.Incarnation]*incomingHandover
}

// jobKey is the part of an ID that is unique among all IDs.
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
	cancelled      bool // permits no further start
	tasks          []task
}

// New returns an empty ledger that is authoritative for the IDs of one owner.
// A ledger whose owner is zero is authoritative for all IDs and cannot be
// handed over.
func New(owner jobid.Incarnation) *Ledger {
	return &Ledger{
		self:     owner,
		owners:   []jobid.Incarnation{owner},
		openJobs: make(map[jobKey]*job),
		finished: newPages(),
		incoming: make(map[jobid.Incarnation]*incomingHandover),
	}
}

// Owners returns, in ascending order, the owners whose IDs this ledger is
// authoritative for, or was until it called Relinquish.
func (l *Ledger) Owners() []jobid.Incarnation { return slices.Clone(l.owners) }

// AuthoritativeFor reports whether this ledger is authoritative for the IDs of
// an owner.
func (l *Ledger) AuthoritativeFor(owner jobid.Incarnation) bool {
	return !l.relinquished && (l.self == 0 || slices.Contains(l.owners, owner))
}

// find returns the record of an open job, or nil if there is none or this
// ledger is not authoritative for it.
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

// Open admits a job. idempotent has one element for each task. It returns
// false, and changes nothing, unless the ID is absent.
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

// Close permanently prevents a job ID from being run. It returns false, and
// changes nothing, if a task of the job may have started, if the ID has ended
// or expired, or if another ledger is authoritative for it. In these cases the
// job must not be reported as not run.
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

// Cancel prevents further starts of an open job. Attempts that were started
// continue. It returns the number of unresolved attempts. The job stays open
// until End, so that the status of these attempts is still recorded.
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

// Ran reports whether any task of the job was started, that is, whether the
// job has an attempt that is not proved not to have started. It reports true
// if the ledger cannot tell, because the ID has expired or another ledger is
// authoritative for it.
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

// End moves a job to its final state. It returns false if the job is not open.
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

// Expire drops the records of IDs that expired more than ClockMargin ago. Each
// call scans a bounded number of pages, so that it never blocks traffic for
// long; repeated calls scan all of them. It returns the number of job IDs on
// record.
//
// Nothing is dropped during a handover: a successor that received the record
// of an open job must still be notified when the job ends.
func (l *Ledger) Expire(now time.Time) int {
	if l.outgoing == nil {
		l.finished.expire(now)
	}
	return len(l.openJobs) + l.finished.count
}
