package change

import "maps"

// VerdictKind is what became of a record.
type VerdictKind uint8

// Kinds of verdicts.
const (
	Accepted   VerdictKind = iota // the change is in force
	Rejected                      // another change on the same base came first
	Repeated                      // another copy of a change that is in force
	Unreadable                    // skipped by every reader
	Recorded                      // a snapshot
	Postponed                     // judged once the state before it is known
	Included                      // part of a snapshot; not judged here
)

var verdictNames = [...]string{"accepted", "rejected", "repeated", "unreadable", "recorded", "postponed", "included"}

// String returns the name of the kind.
func (k VerdictKind) String() string { return verdictNames[k] }

// Verdict tells what became of one record.
type Verdict struct {
	Kind     VerdictKind
	Offset   int64
	ChangeID string // empty unless the record is a change
	Base     uint64 // of a change
	Version  uint64 // in force after the record
	Err      error  // of Unreadable
}

// maxAcceptedChanges bounds the versions whose change a replica remembers.
const maxAcceptedChanges = 8192

// acceptedChanges remembers which change was accepted on each of the latest bases.
type acceptedChanges map[uint64]string

func (w acceptedChanges) add(base uint64, changeID string) {
	w[base] = changeID
	if base >= maxAcceptedChanges {
		delete(w, base-maxAcceptedChanges)
	}
}

// prune forgets old bases after a jump to a version.
func (w acceptedChanges) prune(version uint64) {
	maps.DeleteFunc(w, func(base uint64, _ string) bool { return base+maxAcceptedChanges < version })
}

// Outcome is what is known of a change, whatever copies of it the log holds.
type Outcome uint8

// Fates of a change.
const (
	OutcomeOpen     Outcome = iota // its base is not in force yet, or still is
	OutcomeAccepted                // it is in force
	OutcomeRejected                // another change on its base is in force; it never will be
	OutcomeUnknown                 // its base has passed, and the record of it is gone
)

// Outcome returns the fate of a change and, unless it is open or unknown, the ID
// of the change that was accepted on its base.
func (r *Replica) Outcome(changeID string, base uint64) (outcome Outcome, acceptedID string) {
	acceptedID, known := r.accepted[base]
	switch {
	case known && acceptedID == changeID:
		return OutcomeAccepted, acceptedID
	case known:
		return OutcomeRejected, acceptedID
	case r.logCatalog.Version > base:
		return OutcomeUnknown, ""
	}
	return OutcomeOpen, ""
}
