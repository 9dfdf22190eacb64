package change

import (
	"bytes"

	"lovagespread.example/catalog"
)

// Bounds of what a replica holds back during a gap.
const (
	maxPostponed      = 50_000 // records
	maxPostponedBytes = 32 << 20
)

// Counts of a replica since it started.
type Counts struct {
	Accepted   int
	Rejected   int
	Repeated   int
	Unreadable int
	Snapshots  int
	Conflicts  int // copies of a version that differ from the one of the log
	Gaps       int
}

// Replica is one reader's state of the configuration. It is not safe for
// concurrent use.
//
// The judged state follows from the records alone. A copy of another replica
// may be ahead of it and is then served, while judging goes on; both only
// rise, and so does the served version.
type Replica struct {
	logCatalog *catalog.Catalog
	next       int64 // offset of the next record to be applied
	complete   bool  // judged includes every record before next
	outdated   bool  // the format in use is newer than MaxFormat

	postponed      []postponedRecord // records from the gap on, in order of offset
	postponedBytes int
	contiguousFrom int64 // no record from here on is missing

	adopted  *Snapshot // ahead of judged, or nil
	accepted acceptedChanges
	counts   Counts
}

type postponedRecord struct {
	offset int64
	data   []byte
}

// NewReplica returns a replica at version 0 that expects the record at
// offset 0.
func NewReplica() *Replica {
	return &Replica{logCatalog: &catalog.Catalog{}, complete: true, accepted: make(acceptedChanges)}
}

// Next returns the offset of the record that Apply expects.
func (r *Replica) Next() int64 { return r.next }

// Complete reports whether no record is missing before Next and the format in
// use is understood.
func (r *Replica) Complete() bool { return r.complete && !r.outdated }

// Outdated reports whether the format in use is newer than MaxFormat. The
// replica then stays at its version.
func (r *Replica) Outdated() bool { return r.outdated }

// Counts returns the counts.
func (r *Replica) Counts() Counts { return r.counts }

// Catalog returns the newest version known.
func (r *Replica) Catalog() *catalog.Catalog {
	if r.adopted != nil {
		return r.adopted.Catalog
	}
	return r.logCatalog
}

// LogVersion returns the version that follows from the log alone.
func (r *Replica) LogVersion() uint64 { return r.logCatalog.Version }

// Snapshot returns the judged state for publication. It returns false while
// there is nothing worth it: at version 0, or with records missing.
func (r *Replica) Snapshot() (Snapshot, bool) {
	ok := r.Complete() && r.logCatalog.Version > 0
	return Snapshot{Catalog: r.logCatalog, NextOffset: r.next}, ok
}

// Apply judges the record at offset. The offset must be at least Next; a
// greater one means that the records between are missing.
func (r *Replica) Apply(offset int64, data []byte) Verdict {
	if offset > r.next {
		r.ReportGap(offset)
	}
	if offset < r.next {
		return Verdict{Kind: Included, Offset: offset, Version: r.logCatalog.Version}
	}
	r.next = offset + 1
	if r.complete {
		return r.evaluate(offset, data)
	}
	r.postpone(offset, data)
	return r.inspectPostponed(offset, data)
}

// ReportGap says that the records from Next up to oldest are no longer kept.
func (r *Replica) ReportGap(oldest int64) {
	if oldest <= r.next {
		return
	}
	r.counts.Gaps++
	r.complete = false
	r.next = oldest
	r.contiguousFrom = oldest
	r.postponed = nil
	r.postponedBytes = 0
	r.closeGapWithAdopted()
}

func (r *Replica) postpone(offset int64, data []byte) {
	r.postponed = append(r.postponed, postponedRecord{offset: offset, data: data})
	r.postponedBytes += len(data)
	for len(r.postponed) > maxPostponed || r.postponedBytes > maxPostponedBytes {
		r.postponedBytes -= len(r.postponed[0].data)
		r.postponed = r.postponed[1:]
		r.contiguousFrom++
	}
}

// inspectPostponed looks for a snapshot that closes the gap.
func (r *Replica) inspectPostponed(offset int64, data []byte) Verdict {
	verdict := Verdict{Kind: Postponed, Offset: offset, Version: r.logCatalog.Version}
	record, err := Decode(data, MaxFormat)
	if err != nil {
		return verdict
	}
	if record.Change != nil {
		verdict.ChangeID = record.Change.ID
		verdict.Base = record.Change.Base
		return verdict
	}
	r.considerSnapshot(*record.Snapshot)
	return verdict
}

// evaluate applies a record to the complete state before it.
func (r *Replica) evaluate(offset int64, data []byte) Verdict {
	verdict := Verdict{Offset: offset, Version: r.logCatalog.Version}
	if r.outdated {
		verdict.Kind = Postponed
		return verdict
	}
	record, err := Decode(data, formatInUse(r.logCatalog))
	switch {
	case err != nil:
		r.counts.Unreadable++
		verdict.Kind = Unreadable
		verdict.Err = err
	case record.Snapshot != nil:
		r.counts.Snapshots++
		verdict.Kind = Recorded
		r.checkConflict(*record.Snapshot)
	default:
		verdict = r.evaluateChange(offset, *record.Change)
	}
	return verdict
}

func (r *Replica) evaluateChange(offset int64, c Change) Verdict {
	verdict := Verdict{Kind: Rejected, Offset: offset, ChangeID: c.ID, Base: c.Base}
	switch {
	case c.Base == r.logCatalog.Version:
		verdict.Kind = Accepted
		r.accepted.add(c.Base, c.ID)
		r.advance(Apply(r.logCatalog, c))
	case r.accepted[c.Base] == c.ID:
		verdict.Kind = Repeated
	}
	verdict.Version = r.logCatalog.Version
	r.countVerdict(verdict.Kind)
	return verdict
}

func (r *Replica) countVerdict(kind VerdictKind) {
	switch kind {
	case Accepted:
		r.counts.Accepted++
	case Rejected:
		r.counts.Rejected++
	case Repeated:
		r.counts.Repeated++
	}
}

// advance makes a newer version the judged one.
func (r *Replica) advance(c *catalog.Catalog) {
	r.logCatalog = c
	r.outdated = formatInUse(c) > MaxFormat
	if r.adopted == nil || r.adopted.Catalog.Version > c.Version {
		return
	}
	r.checkConflict(*r.adopted)
	r.adopted = nil
}

// checkConflict counts a copy of the judged version that differs from it.
func (r *Replica) checkConflict(s Snapshot) {
	if s.Catalog.Version != r.logCatalog.Version {
		return
	}
	if !bytes.Equal(Digest(s.Catalog), Digest(r.logCatalog)) {
		r.counts.Conflicts++
	}
}
