package change

import (
	"bytes"
	"fmt"
)

// Copy is a version of the configuration that one replica transfers to another.
type Copy struct {
	Version uint64
	Digest  []byte // digest of the catalog
	Body    []byte // encoded Snapshot record
}

// CopyError reports that a copy is invalid and was not adopted.
type CopyError struct{ What string }

func (e *CopyError) Error() string {
	return "copy of the configuration: " + e.What + ": take it from another entry"
}

// Copy returns a copy of the newest known version. It returns false at version 0.
func (r *Replica) Copy() (Copy, bool) {
	snapshot := Snapshot{Catalog: r.logCatalog}
	if r.Complete() {
		snapshot.NextOffset = r.next
	}
	if r.adopted != nil {
		snapshot = *r.adopted
	}
	if snapshot.Catalog.Version == 0 {
		return Copy{}, false
	}
	body, err := EncodeSnapshot(snapshot)
	if err != nil {
		return Copy{}, false
	}
	return Copy{Version: snapshot.Catalog.Version, Digest: Digest(snapshot.Catalog), Body: body}, true
}

// Adopt serves a copy from another replica if it is newer than the served
// version. It reports whether the served version increased. The error is a
// *CopyError.
func (r *Replica) Adopt(version uint64, digest, body []byte) (bool, error) {
	record, err := Decode(body, MaxFormat)
	if err != nil {
		return false, &CopyError{What: err.Error()}
	}
	if record.Snapshot == nil {
		return false, &CopyError{What: "is not a snapshot"}
	}
	s := *record.Snapshot
	if s.Catalog.Version != version {
		return false, &CopyError{What: fmt.Sprintf("holds version %d instead of %d", s.Catalog.Version, version)}
	}
	if !bytes.Equal(Digest(s.Catalog), digest) {
		return false, &CopyError{What: "has a wrong digest"}
	}
	if formatInUse(s.Catalog) > MaxFormat {
		return false, &CopyError{What: fmt.Sprintf("is of format %d, but this program reads up to %d", s.Catalog.Format, MaxFormat)}
	}
	oldVersion := r.Catalog().Version
	r.considerSnapshot(s)
	return r.Catalog().Version > oldVersion, nil
}

// considerSnapshot serves a snapshot if it is newer than the served version, and
// closes the current gap with it if possible.
func (r *Replica) considerSnapshot(s Snapshot) {
	r.checkConflict(s)
	if s.Catalog.Version > r.Catalog().Version {
		r.adopted = &s
	}
	if !r.complete && s.closesGap(r) {
		r.restartFrom(s)
	}
}

// closesGap reports whether r has postponed, or will still read, every record
// that s does not include, and s is not older than the log version of r.
func (s Snapshot) closesGap(r *Replica) bool {
	return s.NextOffset >= r.contiguousFrom && s.Catalog.Version >= r.logCatalog.Version
}

// closeGapWithAdopted closes a gap with the copy adopted before, if possible.
func (r *Replica) closeGapWithAdopted() {
	if r.adopted != nil && r.adopted.closesGap(r) {
		r.restartFrom(*r.adopted)
	}
}

// restartFrom continues from the state of a snapshot and evaluates the postponed
// records that the snapshot does not include.
func (r *Replica) restartFrom(s Snapshot) {
	postponed := r.postponed
	r.postponed = nil
	r.postponedBytes = 0
	r.complete = true
	r.next = max(r.next, s.NextOffset)
	r.accepted.prune(s.Catalog.Version)
	r.advance(s.Catalog)
	for _, p := range postponed {
		if p.offset >= s.NextOffset {
			r.evaluate(p.offset, p.data)
		}
	}
}
