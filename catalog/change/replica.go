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
	judged   *catalog.Catalog
	next     int64 // offset of the next record to be applied
	complete bool  // judged includes every record before next
	outdated bool  // the format in use is newer than MaxFormat

	postponed      []postponed // records from the gap on, in order of offset
	postponedBytes int
	firstHeld      int64 // no record from here on is missing

	adopted *Snapshot // ahead of judged, or nil
	winners winners
	counts  Counts
}

type postponed struct {
	offset int64
	data   []byte
}

// NewReplica returns a replica at version 0 that expects the record at
// offset 0.
func NewReplica() *Replica {
	return &Replica{judged: &catalog.Catalog{}, complete: true, winners: make(winners)}
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
	return r.judged
}

// LogVersion returns the version that follows from the log alone.
func (r *Replica) LogVersion() uint64 { return r.judged.Version }

// Snapshot returns the judged state for publication. It returns false while
// there is nothing worth it: at version 0, or with records missing.
func (r *Replica) Snapshot() (Snapshot, bool) {
	ok := r.Complete() && r.judged.Version > 0
	return Snapshot{Catalog: r.judged, NextOffset: r.next}, ok
}

// Apply judges the record at offset. The offset must be at least Next; a
// greater one means that the records between are missing.
func (r *Replica) Apply(offset int64, data []byte) Verdict {
	if offset > r.next {
		r.ReportGap(offset)
	}
	if offset < r.next {
		return Verdict{Kind: Included, Offset: offset, Version: r.judged.Version}
	}
	r.next = offset + 1
	if r.complete {
		return r.judge(offset, data)
	}
	r.postpone(offset, data)
	return r.judgePostponed(offset, data)
}

// ReportGap says that the records from Next up to oldest are no longer kept.
func (r *Replica) ReportGap(oldest int64) {
	if oldest <= r.next {
		return
	}
	r.counts.Gaps++
	r.complete = false
	r.next = oldest
	r.firstHeld = oldest
	r.postponed = nil
	r.postponedBytes = 0
	r.resume()
}

func (r *Replica) postpone(offset int64, data []byte) {
	r.postponed = append(r.postponed, postponed{offset: offset, data: data})
	r.postponedBytes += len(data)
	for len(r.postponed) > maxPostponed || r.postponedBytes > maxPostponedBytes {
		r.postponedBytes -= len(r.postponed[0].data)
		r.postponed = r.postponed[1:]
		r.firstHeld++
	}
}

// judgePostponed looks for a snapshot that closes the gap.
func (r *Replica) judgePostponed(offset int64, data []byte) Verdict {
	verdict := Verdict{Kind: Postponed, Offset: offset, Version: r.judged.Version}
	record, err := Decode(data, MaxFormat)
	if err != nil {
		return verdict
	}
	if record.Change != nil {
		verdict.ChangeID = record.Change.ID
		verdict.Base = record.Change.Base
		return verdict
	}
	r.offer(*record.Snapshot)
	return verdict
}

// judge applies a record to the complete state before it.
func (r *Replica) judge(offset int64, data []byte) Verdict {
	verdict := Verdict{Offset: offset, Version: r.judged.Version}
	if r.outdated {
		verdict.Kind = Postponed
		return verdict
	}
	record, err := Decode(data, inUse(r.judged))
	switch {
	case err != nil:
		r.counts.Unreadable++
		verdict.Kind = Unreadable
		verdict.Err = err
	case record.Snapshot != nil:
		r.counts.Snapshots++
		verdict.Kind = Recorded
		r.compare(*record.Snapshot)
	default:
		verdict = r.judgeChange(offset, *record.Change)
	}
	return verdict
}

func (r *Replica) judgeChange(offset int64, c Change) Verdict {
	verdict := Verdict{Kind: Rejected, Offset: offset, ChangeID: c.ID, Base: c.Base}
	switch {
	case c.Base == r.judged.Version:
		verdict.Kind = Accepted
		r.winners.add(c.Base, c.ID)
		r.advance(Apply(r.judged, c))
	case r.winners[c.Base] == c.ID:
		verdict.Kind = Repeated
	}
	verdict.Version = r.judged.Version
	r.count(verdict.Kind)
	return verdict
}

func (r *Replica) count(kind VerdictKind) {
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
	r.judged = c
	r.outdated = inUse(c) > MaxFormat
	if r.adopted == nil || r.adopted.Catalog.Version > c.Version {
		return
	}
	r.compare(*r.adopted)
	r.adopted = nil
}

// compare counts a copy of the judged version that differs from it.
func (r *Replica) compare(s Snapshot) {
	if s.Catalog.Version != r.judged.Version {
		return
	}
	if !bytes.Equal(Digest(s.Catalog), Digest(r.judged)) {
		r.counts.Conflicts++
	}
}
