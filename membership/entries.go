package membership

import (
	"maps"
	"time"
)

// applyEntryList stores the addresses of the listed entries. The list contains
// no incarnations, so liveness is derived from heartbeats alone.
func (t *Tracker) applyEntryList(list []Entry) {
	listed := make(map[string]Entry, len(list))
	for _, e := range list {
		if e.Name == t.self.Name {
			t.markSelfListed()
			continue
		}
		listed[e.Name] = e
	}
	if 2*len(listed) < len(t.listedEntries) {
		return
	}
	if !maps.Equal(listed, t.listedEntries) {
		t.listedEntries = listed
		t.changed = true
	}
}

// markSelfListed records that the platform's list includes this entry.
func (t *Tracker) markSelfListed() {
	if !t.selfListed {
		t.selfListed = true
		t.changed = true
	}
}

func (t *Tracker) applyHeartbeat(in *Heartbeat) {
	t.mergeEntry(in.From)
	for _, e := range in.Known {
		t.mergeEntry(e)
	}
}

// mergeEntry applies what an entry reported about itself, directly or relayed
// by another entry.
func (t *Tracker) mergeEntry(e Entry) {
	if e.Incarnation == 0 || e.Incarnation == t.self.Incarnation {
		return
	}
	known := t.entries[e.Incarnation]
	t.setSuccessor(known, e.Successor)
	if known != nil && e.Sequence <= known.Sequence {
		return
	}
	if known != nil && known.Successor != 0 {
		e.Successor = known.Successor
		e.State = Leaving
	}
	e.LastHeartbeat = t.now
	e.Ended = false
	if e.State != Leaving {
		e.State = Live
	}
	if known == nil || differs(*known, e) {
		t.changed = true
	}
	t.entries[e.Incarnation] = &e
	t.endEarlierIncarnations(e)
}

// setSuccessor records which entry has taken over the jobs of a known entry. An
// announced handover is never revoked, so it applies under any sequence number.
func (t *Tracker) setSuccessor(known *Entry, successor Incarnation) {
	if known == nil || successor == 0 || known.Successor != 0 {
		return
	}
	known.Successor = successor
	if known.State != Gone {
		known.State = Leaving
	}
	t.changed = true
}

// applyHandover records that this entry has taken over the jobs of others.
func (t *Tracker) applyHandover(in *HandoverReceived) {
	for _, owner := range in.Owners {
		t.setSuccessor(t.entries[owner], t.self.Incarnation)
	}
}

// endEarlierIncarnations marks earlier incarnations of the same entry as gone.
func (t *Tracker) endEarlierIncarnations(e Entry) {
	for _, other := range t.entries {
		if other.Name != e.Name || other.Incarnation == e.Incarnation {
			continue
		}
		if !other.Ended && other.LastHeartbeat.Before(e.LastHeartbeat) {
			other.State = Gone
			other.Ended = true
			t.changed = true
		}
	}
}

// differs reports whether two records of an entry differ in more than the
// sequence number and the time of the latest heartbeat.
func differs(a, b Entry) bool {
	a.Sequence, b.Sequence = 0, 0
	a.LastHeartbeat, b.LastHeartbeat = time.Time{}, time.Time{}
	return a != b
}

// ageEntry updates the state of an entry after the time since its last
// heartbeat.
func (t *Tracker) ageEntry(e *Entry) {
	silence := t.now.Sub(e.LastHeartbeat)
	if e.State == Gone {
		t.ageGone(e, silence)
		return
	}
	next := t.stateAfter(e, silence)
	if next != e.State {
		e.State = next
		t.changed = true
	}
}

// ageGone marks a gone entry as ended once the list no longer includes its VM,
// and deletes its record after the retention period.
func (t *Tracker) ageGone(e *Entry, silence time.Duration) {
	_, listed := t.listedEntries[e.Name]
	if !e.Ended && !listed && t.listReceivedAt.After(e.LastHeartbeat) {
		e.Ended = true
		t.changed = true
	}
	if silence > t.opts.Retention {
		delete(t.entries, e.Incarnation)
		t.changed = true
	}
}

func (t *Tracker) stateAfter(e *Entry, silence time.Duration) State {
	factor := time.Duration(1)
	if e.FailureDomain != t.self.FailureDomain {
		factor = remoteFactor
	}
	silent := silence > suspectAfter*factor
	switch {
	case silence > goneAfter*factor:
		return Gone
	case e.Successor != 0 && silent:
		return Suspect
	case e.State == Leaving:
		return Leaving
	case silent:
		return Suspect
	}
	return Live
}
