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

// item names a record that the successor does not have yet.
type item struct {
	job  key
	page pageKey
	kind itemKind
}

type itemKind uint8

const (
	itemJob itemKind = iota
	itemPage
)

// outgoing is a hand-over that this ledger has begun.
type outgoing struct {
	to      jobid.Incarnation
	number  int
	pending []item
	queued  map[item]bool
}

func (o *outgoing) add(it item) {
	if o.queued[it] {
		return
	}
	o.queued[it] = true
	o.pending = append(o.pending, it)
}

// BeginHandover starts to hand the ledger over to a successor. The ledger
// serves on; what changes is handed over again. It may be called again, with
// the same or another successor, as long as Give was not called or was taken
// back by Reclaim. It returns false if it may not, or if the ledger has no
// owner of its own.
func (l *Ledger) BeginHandover(to jobid.Incarnation) bool {
	if l.given || l.self == 0 || to == l.self || to == 0 {
		return false
	}
	l.session++
	l.out = &outgoing{to: to, queued: make(map[item]bool)}
	for _, k := range sortedKeys(l.open) {
		l.out.add(item{kind: itemJob, job: k})
	}
	for _, p := range l.finished.order {
		l.out.add(item{kind: itemPage, page: p.key})
	}
	return true
}

// Pending returns the number of records that the successor does not have yet.
func (l *Ledger) Pending() int {
	if l.out == nil {
		return 0
	}
	return len(l.out.pending)
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
	if l.given || l.out == nil {
		return Part{}, false
	}
	return l.part(l.fitting(limit)), true
}

// Fits reports whether all pending records fit into one part.
func (l *Ledger) Fits(limit PartLimit) bool { return l.fitting(limit) == l.Pending() }

// fitting returns the number of pending records that fit into one part.
func (l *Ledger) fitting(limit PartLimit) int {
	count, bytes := 0, 0
	for ; count < min(limit.Records, l.Pending()); count++ {
		bytes += l.weight(l.out.pending[count], limit)
		if bytes > limit.Bytes && count > 0 {
			break
		}
	}
	return count
}

func (l *Ledger) weight(it item, limit PartLimit) int {
	if it.kind != itemJob || limit.RecordBytes == nil {
		return 0
	}
	j := l.open[it.job]
	if j == nil {
		return 0
	}
	return limit.RecordBytes(j.id)
}

// Relinquish returns the last part. From now on this ledger answers for no ID and
// admits nothing. Send it only after the successor has confirmed all earlier
// parts; it may be sent any number of times, to this successor alone.
func (l *Ledger) Relinquish() (Part, bool) {
	if l.given || l.out == nil {
		return Part{}, false
	}
	part := l.part(len(l.out.pending))
	part.Last = true
	part.Owners = slices.Clone(l.owners)
	part.Horizon = l.finished.horizon
	l.given = true
	return part, true
}

// Reclaim takes Give back. It is allowed only on proof that the successor
// has not accepted the last part and never will: no byte of it was ever
// written, or the successor itself has refused this session. A
// WrongSuccessorError comes from another incarnation; it is such a proof only
// if the last part was sent once.
func (l *Ledger) Reclaim() {
	l.given = false
	l.out = nil
}

// Relinquished reports whether a successor answers for this ledger's IDs.
func (l *Ledger) Relinquished() bool { return l.given }

func (l *Ledger) part(count int) Part {
	part := Part{From: l.self, To: l.out.to, Session: l.session, Number: l.out.number}
	l.out.number++
	for _, it := range l.out.pending[:count] {
		delete(l.out.queued, it)
		l.fill(&part, it)
	}
	l.out.pending = l.out.pending[count:]
	return part
}

// fill adds a record. Nothing is said of a job that is no longer open, since
// its page carries the verdict, nor of a page that was dropped.
func (l *Ledger) fill(part *Part, it item) {
	switch it.kind {
	case itemJob:
		if j := l.open[it.job]; j != nil {
			part.Jobs = append(part.Jobs, l.jobRecord(j))
		}
	case itemPage:
		if p := l.finished.byKey[it.page]; p != nil {
			part.Pages = append(part.Pages, p.record())
		}
	}
}

// changedJob and finish keep the successor's copy up to date.
func (l *Ledger) changedJob(j *job) {
	if l.out != nil {
		l.out.add(item{kind: itemJob, job: keyOf(j.id)})
	}
}

func (l *Ledger) finish(id jobid.ID, v verdict) {
	delete(l.open, keyOf(id))
	l.finished.set(id, v)
	if l.out != nil {
		l.out.add(item{kind: itemPage, page: pageOf(id)})
	}
}

func sortedKeys(open map[key]*job) []key {
	keys := make([]key, 0, len(open))
	for k := range open {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.owner, b.owner), cmp.Compare(a.sequence, b.sequence))
	})
	return keys
}
