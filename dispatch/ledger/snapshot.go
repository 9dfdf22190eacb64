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
	clone.openJobs = make(map[jobKey]*job, len(l.openJobs))
	for k, j := range l.openJobs {
		copied := *j
		copied.tasks = slices.Clone(j.tasks)
		clone.openJobs[k] = &copied
	}
	clone.finished = l.finished.clone()
	clone.incoming = make(map[jobid.Incarnation]*incomingHandover, len(l.incoming))
	for from, in := range l.incoming {
		copied := *in
		copied.parts = maps.Clone(in.parts)
		clone.incoming[from] = &copied
	}
	clone.outgoing = l.outgoing.clone()
	return &clone
}

func (o *outgoingHandover) clone() *outgoingHandover {
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
	for i, pg := range p.order {
		copied := *pg
		clone.order[i] = &copied
		clone.byKey[copied.key] = &copied
	}
	return clone
}

// AppendState appends an encoding of the ledger's state. Two ledgers with the
// same encoding behave alike from now on; two ledgers with different encodings
// may also behave alike.
func (l *Ledger) AppendState(b []byte) []byte {
	b = appendNumbers(b, uint64(l.self), l.session, flag(l.relinquished), uint64(len(l.owners)))
	for _, owner := range l.owners {
		b = appendNumbers(b, uint64(owner))
	}
	b = appendNumbers(b, uint64(len(l.openJobs)))
	for _, k := range sortedKeys(l.openJobs) {
		b = l.jobRecord(l.openJobs[k]).appendState(b)
	}
	b = l.finished.appendState(b)
	b = l.outgoing.appendState(b)
	for _, from := range slices.Sorted(maps.Keys(l.incoming)) {
		b = appendNumbers(b, uint64(from))
		b = l.incoming[from].appendState(b)
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
	b = appendNumbers(b, uint64(p.now), uint64(p.horizon), uint64(p.nextScan), uint64(len(p.order)))
	for _, pg := range p.order {
		b = pg.record().appendState(b)
	}
	return b
}

func (o *outgoingHandover) appendState(b []byte) []byte {
	if o == nil {
		return append(b, 0)
	}
	b = appendNumbers(b, uint64(o.to), uint64(o.number), uint64(len(o.pending)))
	for _, ref := range o.pending {
		b = appendNumbers(b, uint64(ref.kind), uint64(ref.job.owner), ref.job.sequence, uint64(ref.page.owner), ref.page.number)
	}
	return b
}

func (in *incomingHandover) appendState(b []byte) []byte {
	b = appendNumbers(b, in.session, in.refusedUpTo, flag(in.accepted), uint64(len(in.parts)))
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
