package ledger

import (
	"cmp"
	"slices"

	"lovagespread.example/dispatch/jobid"
)

// Part is one message of a handover from a ledger that stops to its successor.
// A record in a later part replaces an earlier record of the same job or page.
type Part struct {
	From    jobid.Incarnation
	To      jobid.Incarnation
	Session uint64 // increases with each handover that From begins
	Number  int    // starts at 0, without gaps
	Last    bool
	Jobs    []JobRecord
	Pages   []PageRecord
	// Owners are the owners that To is authoritative for once it has accepted
	// the last part. Horizon is the latest expiry of a dropped record, in Unix
	// seconds. Both are set only in the last part.
	Owners  []jobid.Incarnation
	Horizon int64
}

// recordRef identifies a record that has not been sent to the successor yet.
type recordRef struct {
	job  jobKey
	page pageKey
	kind recordKind
}

type recordKind uint8

const (
	jobKind recordKind = iota
	pageKind
)

// outgoingHandover is a handover that this ledger has begun.
type outgoingHandover struct {
	to      jobid.Incarnation
	number  int
	pending []recordRef
	queued  map[recordRef]bool
}

func (o *outgoingHandover) add(ref recordRef) {
	if o.queued[ref] {
		return
	}
	o.queued[ref] = true
	o.pending = append(o.pending, ref)
}

// BeginHandover starts to hand the ledger over to a successor. The ledger
// continues to serve, and records that change are sent again. BeginHandover
// may be called again, with the same or another successor, unless Relinquish
// was called and not reverted by Reclaim. It returns false if it must not be
// called, or if the ledger has no owner of its own.
func (l *Ledger) BeginHandover(to jobid.Incarnation) bool {
	if l.relinquished || l.self == 0 || to == l.self || to == 0 {
		return false
	}
	l.session++
	l.outgoing = &outgoingHandover{to: to, queued: make(map[recordRef]bool)}
	for _, k := range sortedKeys(l.openJobs) {
		l.outgoing.add(recordRef{kind: jobKind, job: k})
	}
	for _, p := range l.finished.order {
		l.outgoing.add(recordRef{kind: pageKind, page: p.key})
	}
	return true
}

// Pending returns the number of records that have not been sent to the
// successor yet.
func (l *Ledger) Pending() int {
	if l.outgoing == nil {
		return 0
	}
	return len(l.outgoing.pending)
}

// PartLimit bounds the size of a part. A part has at least one record if any
// is pending.
type PartLimit struct {
	Records     int
	Bytes       int                // bound of the sum of RecordBytes
	RecordBytes func(jobid.ID) int // bytes sent along with the record of an open job; nil: none
}

// NextPart returns the next part with pending records, which is empty if none
// is pending. It returns false if no handover is in progress.
func (l *Ledger) NextPart(limit PartLimit) (Part, bool) {
	if l.relinquished || l.outgoing == nil {
		return Part{}, false
	}
	return l.part(l.countFitting(limit)), true
}

// Fits reports whether all pending records fit into one part.
func (l *Ledger) Fits(limit PartLimit) bool { return l.countFitting(limit) == l.Pending() }

// countFitting returns the number of pending records that fit into one part.
func (l *Ledger) countFitting(limit PartLimit) int {
	count, bytes := 0, 0
	for ; count < min(limit.Records, l.Pending()); count++ {
		bytes += l.recordBytes(l.outgoing.pending[count], limit)
		if bytes > limit.Bytes && count > 0 {
			break
		}
	}
	return count
}

func (l *Ledger) recordBytes(ref recordRef, limit PartLimit) int {
	if ref.kind != jobKind || limit.RecordBytes == nil {
		return 0
	}
	j := l.openJobs[ref.job]
	if j == nil {
		return 0
	}
	return limit.RecordBytes(j.id)
}

// Relinquish gives up the authority of this ledger and returns the last part.
// From now on the ledger is authoritative for no ID and permits no start. Send
// the part only after the successor has confirmed all earlier parts. It may be
// sent any number of times, but only to this successor.
func (l *Ledger) Relinquish() (Part, bool) {
	if l.relinquished || l.outgoing == nil {
		return Part{}, false
	}
	part := l.part(len(l.outgoing.pending))
	part.Last = true
	part.Owners = slices.Clone(l.owners)
	part.Horizon = l.finished.horizon
	l.relinquished = true
	return part, true
}

// Reclaim reverts Relinquish. It is allowed only on proof that the successor
// has not accepted the last part and never will: no byte of the part was ever
// written, or the successor itself has refused this session. A
// WrongSuccessorError comes from another incarnation, so it is such a proof
// only if the last part was sent once.
func (l *Ledger) Reclaim() {
	l.relinquished = false
	l.outgoing = nil
}

// Relinquished reports whether this ledger has relinquished its authority to a
// successor.
func (l *Ledger) Relinquished() bool { return l.relinquished }

func (l *Ledger) part(count int) Part {
	part := Part{From: l.self, To: l.outgoing.to, Session: l.session, Number: l.outgoing.number}
	l.outgoing.number++
	for _, ref := range l.outgoing.pending[:count] {
		delete(l.outgoing.queued, ref)
		l.appendRecord(&part, ref)
	}
	l.outgoing.pending = l.outgoing.pending[count:]
	return part
}

// appendRecord adds a record to the part. It skips a job that is no longer
// open, since the job's page contains its outcome, and a page that was dropped.
func (l *Ledger) appendRecord(part *Part, ref recordRef) {
	switch ref.kind {
	case jobKind:
		if j := l.openJobs[ref.job]; j != nil {
			part.Jobs = append(part.Jobs, l.jobRecord(j))
		}
	case pageKind:
		if p := l.finished.byKey[ref.page]; p != nil {
			part.Pages = append(part.Pages, p.record())
		}
	}
}

// markJobDirty queues a changed job for the successor during a handover.
func (l *Ledger) markJobDirty(j *job) {
	if l.outgoing != nil {
		l.outgoing.add(recordRef{kind: jobKind, job: jobKeyOf(j.id)})
	}
}

// finish records the outcome of a job and, during a handover, queues its page
// for the successor.
func (l *Ledger) finish(id jobid.ID, o outcome) {
	delete(l.openJobs, jobKeyOf(id))
	l.finished.set(id, o)
	if l.outgoing != nil {
		l.outgoing.add(recordRef{kind: pageKind, page: pageOf(id)})
	}
}

func sortedKeys(open map[jobKey]*job) []jobKey {
	keys := make([]jobKey, 0, len(open))
	for k := range open {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b jobKey) int {
		return cmp.Or(cmp.Compare(a.owner, b.owner), cmp.Compare(a.sequence, b.sequence))
	})
	return keys
}
