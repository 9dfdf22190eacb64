package ledger

import "lovagespread.example/dispatch/jobid"

// TaskRecord is the part of a task's record that a successor needs.
type TaskRecord struct {
	State       TaskState
	Idempotent  bool
	LastAttempt uint32 // number of the latest attempt; 0: none
	Unresolved  uint32 // bit i: attempt LastAttempt-i is unresolved
	// Starter is the incarnation that started the unresolved attempts and
	// receives their status. Zero if no attempt is unresolved.
	Starter jobid.Incarnation
}

// JobRecord is the part of an open job's record that a successor needs.
type JobRecord struct {
	ID             jobid.ID
	PossibleStarts int  // attempts that are not proved not to have started
	Cancelled      bool // permits no further start
	Tasks          []TaskRecord
}

// PageRecord holds the outcomes of PageIDs consecutive IDs of one owner. Their
// sequence numbers start at Number × PageIDs.
type PageRecord struct {
	Owner       jobid.Incarnation
	Number      uint64
	Expiry      int64 // latest expiry of a recorded ID, Unix seconds
	RetainUntil int64 // the page is dropped after this time, Unix seconds
	Words       []uint64
}

func (l *Ledger) jobRecord(j *job) JobRecord {
	record := JobRecord{ID: j.id, PossibleStarts: j.possibleStarts, Cancelled: j.cancelled, Tasks: make([]TaskRecord, len(j.tasks))}
	for i := range j.tasks {
		record.Tasks[i] = l.taskRecord(&j.tasks[i])
	}
	return record
}

func (l *Ledger) taskRecord(t *task) TaskRecord {
	record := TaskRecord{State: t.state, Idempotent: t.idempotent, LastAttempt: t.lastAttempt, Unresolved: t.unresolved}
	if t.unresolved != 0 {
		record.Starter = t.starter
	}
	if t.unresolved != 0 && t.starter == 0 {
		record.Starter = l.self
	}
	return record
}

func (r *JobRecord) job() *job {
	j := &job{id: r.ID, possibleStarts: r.PossibleStarts, cancelled: r.Cancelled, tasks: make([]task, len(r.Tasks))}
	for i, t := range r.Tasks {
		j.tasks[i] = task{lastAttempt: t.LastAttempt, unresolved: t.Unresolved, starter: t.Starter, state: t.State, idempotent: t.Idempotent}
	}
	return j
}

func (p *page) record() PageRecord {
	return PageRecord{
		Owner:       p.key.owner,
		Number:      p.key.number,
		Expiry:      p.expiry,
		RetainUntil: p.retainUntil,
		Words:       append([]uint64(nil), p.words[:]...),
	}
}

func (r *PageRecord) key() pageKey { return pageKey{owner: r.Owner, number: r.Number} }

// valid reports whether the record has the size of a page.
func (r *PageRecord) valid() bool { return len(r.Words) == wordsPerPage }
