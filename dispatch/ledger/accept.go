package ledger

import (
	"math/bits"
	"slices"

	"lovagespread.example/dispatch/jobid"
)

// incomingHandover is what a ledger knows of the hand-overs of one other ledger.
type incomingHandover struct {
	session     uint64 // the latest seen
	parts       map[int]Part
	refusedUpTo uint64 // sessions up to this are barred
	accepted    bool   // a session was accepted; it was the last
}

// Accept takes one part of a hand-over to this ledger. Parts may come twice.
// Nothing of it counts until the last part, which must come after all others;
// then Accept returns true, and from then on this ledger answers for the
// owners that the part names. On any error the session is barred for good, so
// that the former owner may serve on.
func (l *Ledger) Accept(part Part) (accepted bool, err error) {
	if part.To != l.self || part.From == l.self {
		return false, &WrongSuccessorError{To: part.To, Self: l.self}
	}
	in := l.incomingFrom(part.From)
	if in.accepted {
		return true, nil
	}
	if err := l.stage(in, part); err != nil {
		in.refusedUpTo = max(in.refusedUpTo, part.Session)
		in.parts = nil
		return false, err
	}
	if !part.Last {
		return false, nil
	}
	l.applyHandover(in, part)
	return true, nil
}

func (l *Ledger) incomingFrom(from jobid.Incarnation) *incomingHandover {
	in := l.incoming[from]
	if in == nil {
		in = &incomingHandover{}
		l.incoming[from] = in
	}
	return in
}

func (l *Ledger) stage(in *incomingHandover, part Part) error {
	if l.outgoing != nil || l.relinquished {
		return &StoppingError{Self: l.self}
	}
	if part.Session <= in.refusedUpTo || part.Session < in.session {
		return &StaleSessionError{From: part.From, Session: part.Session}
	}
	for _, p := range part.Pages {
		if !p.valid() {
			return &PageSizeError{Words: len(p.Words)}
		}
	}
	if part.Session > in.session || in.parts == nil {
		in.session = part.Session
		in.parts = make(map[int]Part)
	}
	in.parts[part.Number] = part
	if part.Last && len(in.parts) != part.Number+1 {
		return &MissingPartError{From: part.From, Have: len(in.parts), Want: part.Number + 1}
	}
	return nil
}

// applyHandover puts a complete hand-over in force.
func (l *Ledger) applyHandover(in *incomingHandover, last Part) {
	for number := range last.Number + 1 {
		for _, p := range in.parts[number].Pages {
			l.finished.replace(p)
		}
	}
	for number := range last.Number + 1 {
		for _, r := range in.parts[number].Jobs {
			l.applyJob(r)
		}
	}
	l.owners = append(l.owners, last.Owners...)
	slices.Sort(l.owners)
	l.owners = slices.Compact(l.owners)
	l.finished.horizon = max(l.finished.horizon, last.Horizon)
	in.accepted = true
	in.parts = nil
}

// applyJob takes a record unless the job has ended since it was made.
func (l *Ledger) applyJob(r JobRecord) {
	if l.finished.has(r.ID) {
		return
	}
	l.openJobs[jobKeyOf(r.ID)] = r.job()
}

// has reports whether a page holds a verdict on the ID.
func (p *pages) has(id jobid.ID) bool {
	switch p.get(id) {
	case outcomeNone, outcomeExpired:
		return false
	default:
		return true
	}
}

// replace replaces a page by a record of it.
func (p *pages) replace(r PageRecord) {
	pg := p.page(r.key())
	p.count -= pg.count
	pg.expiry = r.Expiry
	pg.retainUntil = r.RetainUntil
	pg.count = 0
	copy(pg.words[:], r.Words)
	for _, word := range r.Words {
		pg.count += countOutcomes(word)
	}
	p.count += pg.count
}

// countOutcomes counts the verdicts in a word: the pairs of bits that are not 0.
func countOutcomes(word uint64) int {
	const lowBits = 0x5555555555555555
	return bits.OnesCount64((word | word>>1) & lowBits)
}

// Resolved is the state of a task after its open attempts were given up.
type Resolved struct {
	ID    jobid.ID
	Index int
	State TaskState
}

// ResolveAsUnknown records that nobody will tell the fates of the attempts that the
// given incarnation has started, because it is gone. It returns the tasks
// concerned, in order. It may come too early: a fate that is told afterwards
// is ignored.
func (l *Ledger) ResolveAsUnknown(starter jobid.Incarnation) []Resolved {
	var resolved []Resolved
	for _, k := range sortedKeys(l.openJobs) {
		j := l.openJobs[k]
		for i := range j.tasks {
			if l.resolveTaskAsUnknown(j, &j.tasks[i], starter) {
				resolved = append(resolved, Resolved{ID: j.id, Index: i, State: j.tasks[i].state})
			}
		}
	}
	return resolved
}

func (l *Ledger) resolveTaskAsUnknown(j *job, t *task, starter jobid.Incarnation) bool {
	if t.unresolved == 0 || t.starter != starter {
		return false
	}
	t.unresolved = 0
	t.starter = 0
	if t.state == Started {
		t.state = t.stateAfter(AttemptUnknown)
	}
	l.markJobDirty(j)
	return true
}

// UnresolvedStarters returns the incarnations whose attempts this ledger waits for.
func (l *Ledger) UnresolvedStarters() []jobid.Incarnation {
	var starters []jobid.Incarnation
	for _, j := range l.openJobs {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.unresolved != 0 && t.starter != 0 {
				starters = append(starters, t.starter)
			}
		}
	}
	slices.Sort(starters)
	return slices.Compact(starters)
}
