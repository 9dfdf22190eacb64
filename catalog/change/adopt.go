package change

import (
	"bytes"
	"fmt"
)

// Copy is a version as one replica hands it to another.
type Copy struct {
	Version uint64
	Digest  []byte // of the catalog
	Body    []byte // record of a Snapshot
}

// CopyError says that a copy was not adopted.
type CopyError struct{ What string }

func (e *CopyError) Error() string {
	return "copy of the configuration: " + e.What + ": take it from another entry"
}

// Copy returns the newest version known. It returns false at version 0.
func (r *Replica) Copy() (Copy, bool) {
	snapshot := Snapshot{Catalog: r.judged}
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

// Adopt takes a version from another replica if it is newer than the one
// served. It reports whether the served version rose. The error is a
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
		return false, &CopyError{What: fmt.Sprintf("holds version %d in place of %d", s.Catalog.Version, version)}
	}
	if !bytes.Equal(Digest(s.Catalog), digest) {
		return false, &CopyError{What: "has a wrong digest"}
	}
	if inUse(s.Catalog) > MaxFormat {
		return false, &CopyError{What: fmt.Sprintf("is of format %d, but this program reads up to %d", s.Catalog.Format, MaxFormat)}
	}
	before := r.Catalog().Version
	r.offer(s)
	return r.Catalog().Version > before, nil
}

// offer serves a snapshot if it is newer, and closes a gap with it if it can.
func (r *Replica) offer(s Snapshot) {
	r.compare(s)
	if s.Catalog.Version > r.Catalog().Version {
		r.adopted = &s
	}
	if !r.complete && s.closes(r) {
		r.restart(s)
	}
}

// closes reports whether every record that s does not include is held or
// still to come.
func (s Snapshot) closes(r *Replica) bool {
	return s.NextOffset >= r.firstHeld && s.Catalog.Version >= r.judged.Version
}

// resume tries to close a gap with the copy adopted before.
func (r *Replica) resume() {
	if r.adopted != nil && r.adopted.closes(r) {
		r.restart(*r.adopted)
	}
}

// restart judges anew from a snapshot on.
func (r *Replica) restart(s Snapshot) {
	held := r.postponed
	r.postponed = nil
	r.postponedBytes = 0
	r.complete = true
	r.next = max(r.next, s.NextOffset)
	r.winners.prune(s.Catalog.Version)
	r.advance(s.Catalog)
	for _, p := range held {
		if p.offset >= s.NextOffset {
			r.judge(p.offset, p.data)
		}
	}
}
