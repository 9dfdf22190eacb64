package ledger

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"lovagespread.example/dispatch/jobid"
)

// Job returns the record of an open job.
func (l *Ledger) Job(id jobid.ID) (JobRecord, bool) {
	j := l.find(id)
	if j == nil {
		return JobRecord{}, false
	}
	return l.jobRecord(j), true
}

// Clone returns an independent copy of the ledger.
func (l *Ledger) Clone() *Ledger {
	clone := *l
	clone.owners = slices.Clone(l.owners)
	clone.open = make(map[key]*job, len(l.open))
	for k, j := range l.open {
		copied := *j
		copied.tasks = slices.Clone(j.tasks)
		clone.open[k] = &copied
	}
	clone.finished = l.finished.clone()
	clone.in = make(map[jobid.Incarnation]*incoming, len(l.in))
	for from, in := range l.in {
		copied := *in
		copied.parts = maps.Clone(in.parts)
		clone.in[from] = &copied
	}
	clone.out = l.out.clone()
	return &clone
}

func (o *outgoing) clone() *outgoing {
	if o == nil {
		return nil
	}
	clone := *o
	clone.pending = slices.Clone(o.pending)
	clone.queued = maps.Clone(o.queued)
	return &clone
}

func (p *pages) clone() pages {
	clone := *p
	clone.byKey = make(map[pageKey]*page, len(p.byKey))
	clone.order = make([]*page, len(p.order))
	for i, found := range p.order {
		copied := *found
		clone.order[i] = &copied
		clone.byKey[copied.key] = &copied
	}
	return clone
}

// AppendState appends an encoding of the ledger's state: two ledgers that
// behave alike from now on may differ in it, but two with the same encoding
// behave alike.
func (l *Ledger) AppendState(b []byte) []byte {
	b = appendNumbers(b, uint64(l.self), l.session, flag(l.given), uint64(len(l.owners)))
	for _, owner := range l.owners {
		b = appendNumbers(b, uint64(owner))
	}
	b = appendNumbers(b, uint64(len(l.open)))
	for _, k := range sortedKeys(l.open) {
		b = l.jobRecord(l.open[k]).appendState(b)
	}
	b = l.finished.appendState(b)
	b = l.out.appendState(b)
	for _, from := range slices.Sorted(maps.Keys(l.in)) {
		b = appendNumbers(b, uint64(from))
		b = l.in[from].appendState(b)
	}
	return b
}

// AppendState appends an encoding of the part.
func (p *Part) AppendState(b []byte) []byte {
	b = appendNumbers(b, uint64(p.From), uint64(p.To), p.Session, uint64(p.Number), flag(p.Last))
	b = appendNumbers(b, uint64(p.Horizon), uint64(len(p.Owners)), uint64(len(p.Jobs)), uint64(len(p.Pages)))
	for _, owner := range p.Owners {
		b = appendNumbers(b, uint64(owner))
	}
	for _, r := range p.Jobs {
		b = r.appendState(b)
	}
	for _, r := range p.Pages {
		b = r.appendState(b)
	}
	return b
}

func (r JobRecord) appendState(b []byte) []byte {
	b = appendNumbers(b, uint64(r.ID.Owner), r.ID.Sequence, uint64(r.PossibleStarts), flag(r.Cancelled), uint64(len(r.Tasks)))
	for _, t := range r.Tasks {
		b = appendNumbers(b, uint64(t.State), flag(t.Idempotent), uint64(t.LastAttempt), uint64(t.Unresolved), uint64(t.Starter))
	}
	return b
}

func (r PageRecord) appendState(b []byte) []byte {
	b = appendNumbers(b, uint64(r.Owner), r.Number, uint64(r.Expiry), uint64(r.RetainUntil))
	return appendNumbers(b, r.Words...)
}

func (p *pages) appendState(b []byte) []byte {
	b = appendNumbers(b, uint64(p.now), uint64(p.horizon), uint64(p.next), uint64(len(p.order)))
	for _, found := range p.order {
		b = found.record().appendState(b)
	}
	return b
}

func (o *outgoing) appendState(b []byte) []byte {
	if o == nil {
		return append(b, 0)
	}
	b = appendNumbers(b, uint64(o.to), uint64(o.number), uint64(len(o.pending)))
	for _, it := range o.pending {
		b = appendNumbers(b, uint64(it.kind), uint64(it.job.owner), it.job.sequence, uint64(it.page.owner), it.page.number)
	}
	return b
}

func (in *incoming) appendState(b []byte) []byte {
	b = appendNumbers(b, in.session, in.refused, flag(in.accepted), uint64(len(in.parts)))
	numbers := slices.SortedFunc(maps.Keys(in.parts), cmp.Compare[int])
	for _, number := range numbers {
		part := in.parts[number]
		b = part.AppendState(b)
	}
	return b
}

func appendNumbers(b []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

func flag(on bool) uint64 {
	if on {
		return 1
	}
	return 0
}
