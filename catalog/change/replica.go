package change

import (
	"bytes"

	"lovagespread.example/catalog"
)

// Limits of the records that a replica postpones during a gap.
const (
	maxPostponed      = 50_000 // records
	maxPostponedBytes = 32 << 20
)

// Counts are the totals of a replica since it was created.
type Counts struct {
	Accepted   int
	Rejected   int
	Repeated   int
	Unreadable int
	Snapshots  int
	Conflicts  int // snapshots and copies that differ from the same version in the log
	Gaps       int
}

// Replica is one reader's state of the configuration. It is not safe for
// concurrent use.
//
// The log version follows from the records of the log alone. A copy adopted from
// another replica may be newer; it is then served while the replica continues to
// apply records. Neither version ever decreases, so neither does the served
// version.
type Replica struct {
	logCatalog *catalog.Catalog // state that follows from the log alone
	next       int64            // offset of the next record to be applied
	complete   bool             // logCatalog includes every record before next
	outdated   bool             // the format in use is newer than MaxFormat

	postponed      []postponedRecord // records since the gap, in order of offset
	postponedBytes int
	contiguousFrom int64 // no record between this offset and next is missing

	adopted  *Snapshot // snapshot that is newer than logCatalog, or nil
	accepted acceptedChanges
	counts   Counts
}

type postponedRecord struct {
	offset int64
	data   []byte
}

// NewReplica returns a replica at version 0 that expects the record at offset 0.
func NewReplica() *Replica {
	return &Replica{logCatalog: &catalog.Catalog{}, complete: true, accepted: make(acceptedChanges)}
}

// Next returns the offset of the record that Apply expects.
func (r *Replica) Next() int64 { return r.next }

// Complete reports whether no record before Next is missing and the replica
// understands the format in use.
func (r *Replica) Complete() bool { return r.complete && !r.outdated }

// Outdated reports whether the format in use is newer than MaxFormat. In that
// case the replica stays at its version.
func (r *Replica) Outdated() bool { return r.outdated }

// Counts returns the totals since the replica was created.
func (r *Replica) Counts() Counts { return r.counts }

// Catalog returns the newest known version, which is the served version.
func (r *Replica) Catalog() *catalog.Catalog {
	if r.adopted != nil {
		return r.adopted.Catalog
	}
	return r.logCatalog
}

// LogVersion returns the version that follows from the log alone.
func (r *Replica) LogVersion() uint64 { return r.logCatalog.Version }

// Snapshot returns the state at the log version for publication. It returns
// false if there is nothing to publish: at version 0, or while records are
// missing or the format in use is unknown.
func (r *Replica) Snapshot() (Snapshot, bool) {
	ok := r.Complete() && r.logCatalog.Version > 0
	return Snapshot{Catalog: r.logCatalog, NextOffset: r.next}, ok
}

// Apply applies the record at offset. Records must be passed in order of offset;
// an offset greater than Next means that the records in between are missing, and
// a record before Next is not applied again.
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

// ReportGap tells the replica that the log has trimmed the records from Next up
// to, but not including, oldest.
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

// inspectPostponed checks whether a postponed record is a snapshot that closes
// the gap.
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

// evaluate applies a record to the complete state that precedes it.
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

// advance makes c the log version and drops an adopted copy that is not newer.
func (r *Replica) advance(c *catalog.Catalog) {
	r.logCatalog = c
	r.outdated = formatInUse(c) > MaxFormat
	if r.adopted == nil || r.adopted.Catalog.Version > c.Version {
		return
	}
	r.checkConflict(*r.adopted)
	r.adopted = nil
}

// checkConflict counts a conflict if s has the log version but differs from it.
func (r *Replica) checkConflict(s Snapshot) {
	if s.Catalog.Version != r.logCatalog.Version {
		return
	}
	if !bytes.Equal(Digest(s.Catalog), Digest(r.logCatalog)) {
		r.counts.Conflicts++
	}
}
