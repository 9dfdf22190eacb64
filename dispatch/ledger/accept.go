package ledger

import (
	"math/bits"
	"slices"

	"lovagespread.example/dispatch/jobid"
)

// incoming is what a ledger knows of the hand-overs of one other ledger.
type incoming struct {
	session  uint64 // the latest seen
	parts    map[int]Part
	refused  uint64 // sessions up to this are barred
	accepted bool   // a session was accepted; it was the last
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
	in := l.incoming(part.From)
	if in.accepted {
		return true, nil
	}
	if err := l.stage(in, part); err != nil {
		in.refused = max(in.refused, part.Session)
		in.parts = nil
		return false, err
	}
	if !part.Last {
		return false, nil
	}
	l.adopt(in, part)
	return true, nil
}

func (l *Ledger) incoming(from jobid.Incarnation) *incoming {
	in := l.in[from]
	if in == nil {
		in = &incoming{}
		l.in[from] = in
	}
	return in
}

func (l *Ledger) stage(in *incoming, part Part) error {
	if l.out != nil || l.given {
		return &StoppingError{Self: l.self}
	}
	if part.Session <= in.refused || part.Session < in.session {
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

// adopt puts a complete hand-over in force.
func (l *Ledger) adopt(in *incoming, last Part) {
	for number := range last.Number + 1 {
		for _, p := range in.parts[number].Pages {
			l.finished.adopt(p)
		}
	}
	for number := range last.Number + 1 {
		for _, r := range in.parts[number].Jobs {
			l.adoptJob(r)
		}
	}
	l.owners = append(l.owners, last.Owners...)
	slices.Sort(l.owners)
	l.owners = slices.Compact(l.owners)
	l.finished.horizon = max(l.finished.horizon, last.Horizon)
	in.accepted = true
	in.parts = nil
}

// adoptJob takes a record unless the job has ended since it was made.
func (l *Ledger) adoptJob(r JobRecord) {
	if l.finished.recorded(r.ID) {
		return
	}
	l.open[keyOf(r.ID)] = r.job()
}

// recorded reports whether a page holds a verdict on the ID.
func (p *pages) recorded(id jobid.ID) bool {
	switch p.get(id) {
	case verdictNone, verdictForgotten:
		return false
	default:
		return true
	}
}

// adopt replaces a page by a record of it.
func (p *pages) adopt(r PageRecord) {
	found := p.page(r.key())
	p.count -= found.count
	found.expiry = r.Expiry
	found.keep = r.RetainUntil
	found.count = 0
	copy(found.words[:], r.Words)
	for _, word := range r.Words {
		found.count += verdictsIn(word)
	}
	p.count += found.count
}

// verdictsIn counts the verdicts in a word: the pairs of bits that are not 0.
func verdictsIn(word uint64) int {
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
	for _, k := range sortedKeys(l.open) {
		j := l.open[k]
		for i := range j.tasks {
			if l.abandonTask(j, &j.tasks[i], starter) {
				resolved = append(resolved, Resolved{ID: j.id, Index: i, State: j.tasks[i].state})
			}
		}
	}
	return resolved
}

func (l *Ledger) abandonTask(j *job, t *task, starter jobid.Incarnation) bool {
	if t.open == 0 || t.starter != starter {
		return false
	}
	t.open = 0
	t.starter = 0
	if t.state == Started {
		t.state = t.resolve(AttemptUnknown)
	}
	l.changedJob(j)
	return true
}

// UnresolvedStarters returns the incarnations whose attempts this ledger waits for.
func (l *Ledger) UnresolvedStarters() []jobid.Incarnation {
	var starters []jobid.Incarnation
	for _, j := range l.open {
		for i := range j.tasks {
			if t := &j.tasks[i]; t.open != 0 && t.starter != 0 {
				starters = append(starters, t.starter)
			}
		}
	}
	slices.Sort(starters)
	return slices.Compact(starters)
}
