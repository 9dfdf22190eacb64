package ledger

import (
	"math/bits"
	"slices"

	"lovagespread.example/dispatch/jobid"
)

// incomingHandover is the state of the handovers from one other ledger.
type incomingHandover struct {
	session     uint64 // the latest received
	parts       map[int]Part
	refusedUpTo uint64 // sessions up to and including this one are refused
	accepted    bool   // a session was accepted completely; no other can follow
}

// Accept receives one part of a handover to this ledger. Parts may arrive more
// than once. No part takes effect until the last part, which must arrive after
// all others. Accept then returns true, and this ledger is authoritative for
// the owners listed in the last part. After any error other than a
// WrongSuccessorError the session is refused permanently, so that the former
// owner may continue to serve.
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

// stage checks a part and stores it until the last part arrives.
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

// applyHandover applies a handover of which all parts were received.
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

// applyJob adds an open job, unless the job has ended since the record was
// made.
func (l *Ledger) applyJob(r JobRecord) {
	if l.finished.has(r.ID) {
		return
	}
	l.openJobs[jobKeyOf(r.ID)] = r.job()
}

// has reports whether a page holds an outcome of the ID.
func (p *pages) has(id jobid.ID) bool {
	switch p.get(id) {
	case outcomeNone, outcomeExpired:
		return false
	default:
		return true
	}
}

// replace replaces the contents of a page by a record of it.
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

// countOutcomes counts the outcomes in a word, which are the pairs of bits
// that are not 0.
func countOutcomes(word uint64) int {
	const lowBits = 0x5555555555555555
	return bits.OnesCount64((word | word>>1) & lowBits)
}

// Resolved is the state of a task after ResolveAsUnknown.
type Resolved struct {
	ID    jobid.ID
	Index int
	State TaskState
}

// ResolveAsUnknown records the status of all unresolved attempts of another
// incarnation as unknown, because that incarnation is gone and will not report
// it. It returns the affected tasks in order. If it is called too early, a
// status that is reported afterwards is ignored.
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

// UnresolvedStarters returns the other incarnations that have started attempts
// which are still unresolved, in ascending order.
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
