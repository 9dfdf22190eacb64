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

// maxWinners bounds the versions whose change a replica remembers.
const maxWinners = 8192

// winners remembers which change was accepted on each of the latest bases.
type winners map[uint64]string

func (w winners) add(base uint64, changeID string) {
	w[base] = changeID
	if base >= maxWinners {
		delete(w, base-maxWinners)
	}
}

// prune forgets old bases after a jump to a version.
func (w winners) prune(version uint64) {
	maps.DeleteFunc(w, func(base uint64, _ string) bool { return base+maxWinners < version })
}

// Outcome is what is known of a change, whatever copies of it the log holds.
type Outcome uint8

// Fates of a change.
const (
	OutcomeOpen     Outcome = iota // its base is not in force yet, or still is
	OutcomeAccepted             // it is in force
	OutcomeRejected             // another change on its base is in force; it never will be
	OutcomeUnknown              // its base has passed, and the record of it is gone
)

// Outcome returns the fate of a change and, unless it is open or unknown, the ID
// of the change that was accepted on its base.
func (r *Replica) Outcome(changeID string, base uint64) (fate Outcome, winner string) {
	winner, known := r.winners[base]
	switch {
	case known && winner == changeID:
		return OutcomeAccepted, winner
	case known:
		return OutcomeRejected, winner
	case r.judged.Version > base:
		return OutcomeUnknown, ""
	}
	return OutcomeOpen, ""
}
