package change

import "maps"

// VerdictKind says how a replica treated a record.
type VerdictKind uint8

// Kinds of verdicts.
const (
	Accepted   VerdictKind = iota // the change is in force
	Rejected                      // the base of the change is not the version in force
	Repeated                      // duplicate of a change that is in force
	Unreadable                    // skipped by every reader
	Recorded                      // the record is a snapshot
	Postponed                     // to be evaluated once the state before it is known
	Included                      // included in a snapshot; not evaluated
)

var verdictNames = [...]string{"accepted", "rejected", "repeated", "unreadable", "recorded", "postponed", "included"}

// String returns the name of the kind.
func (k VerdictKind) String() string { return verdictNames[k] }

// Verdict is the result of applying one record to a replica.
type Verdict struct {
	Kind     VerdictKind
	Offset   int64
	ChangeID string // empty unless the record is a change
	Base     uint64 // base of the change
	Version  uint64 // version in force after the record
	Err      error  // set if Kind is Unreadable
}

// maxAcceptedChanges limits how many accepted changes a replica remembers.
const maxAcceptedChanges = 8192

// acceptedChanges maps each of the latest bases to the ID of the change that was
// accepted on it.
type acceptedChanges map[uint64]string

func (a acceptedChanges) add(base uint64, changeID string) {
	a[base] = changeID
	if base >= maxAcceptedChanges {
		delete(a, base-maxAcceptedChanges)
	}
}

// prune removes old bases after the replica has moved to version.
func (a acceptedChanges) prune(version uint64) {
	maps.DeleteFunc(a, func(base uint64, _ string) bool { return base+maxAcceptedChanges < version })
}

// Outcome says whether a change is in force. All duplicates of a change in the
// log have the same outcome.
type Outcome uint8

// Outcomes of a change.
const (
	OutcomeOpen     Outcome = iota // no change on its base has been accepted yet
	OutcomeAccepted                // the change is in force
	OutcomeRejected                // another change on its base was accepted; the change never comes into force
	OutcomeUnknown                 // a change on its base was accepted, but the replica does not know which
)

// Outcome returns the outcome of a change. Unless the outcome is open or unknown,
// it also returns the ID of the change that was accepted on the base.
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
