package ledger

import (
	"cmp"
	"slices"

	"lovagespread.example/dispatch/jobid"
)

// Part is one message of a hand-over from a ledger that stops to its
// successor. A later part replaces what an earlier one said of the same job
// or page.
type Part struct {
	From    jobid.Incarnation
	To      jobid.Incarnation
	Session uint64 // rises with each hand-over that From begins
	Number  int    // from 0, without gaps
	Last    bool
	Jobs    []JobRecord
	Pages   []PageRecord
	// Owners are the incarnations that To answers for from now on, and
	// Horizon is the latest expiry that was dropped, in Unix seconds. Both
	// are set in the last part only.
	Owners  []jobid.Incarnation
	Horizon int64
}

// recordRef names a record that the successor does not have yet.
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

// outgoingHandover is a hand-over that this ledger has begun.
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
// serves on; what changes is handed over again. It may be called again, with
// the same or another successor, as long as Give was not called or was taken
// back by Reclaim. It returns false if it may not, or if the ledger has no
// owner of its own.
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

// Pending returns the number of records that the successor does not have yet.
func (l *Ledger) Pending() int {
	if l.outgoing == nil {
		return 0
	}
	return len(l.outgoing.pending)
}

// PartLimit bounds a part. A part has at least one record if any is pending.
type PartLimit struct {
	Records     int
	Bytes       int                // of what Weigh counts
	RecordBytes func(jobid.ID) int // bytes that go with the record of an open job; nil: none
}

// NextPart returns the next part of the records that are pending, if any. It
// returns false if no hand-over is under way.
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

// Relinquish returns the last part. From now on this ledger answers for no ID and
// admits nothing. Send it only after the successor has confirmed all earlier
// parts; it may be sent any number of times, to this successor alone.
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

// Reclaim takes Give back. It is allowed only on proof that the successor
// has not accepted the last part and never will: no byte of it was ever
// written, or the successor itself has refused this session. A
// WrongSuccessorError comes from another incarnation; it is such a proof only
// if the last part was sent once.
func (l *Ledger) Reclaim() {
	l.relinquished = false
	l.outgoing = nil
}

// Relinquished reports whether a successor answers for this ledger's IDs.
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

// appendRecord adds a record. Nothing is said of a job that is no longer open, since
// its page carries the verdict, nor of a page that was dropped.
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

// markJobDirty and finish keep the successor's copy up to date.
func (l *Ledger) markJobDirty(j *job) {
	if l.outgoing != nil {
		l.outgoing.add(recordRef{kind: jobKind, job: jobKeyOf(j.id)})
	}
}

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
