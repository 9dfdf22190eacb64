package membership

import (
	"maps"
	"time"
)

// listEntries remembers where entries can be reached. The list names no
// incarnation, so liveness comes from heartbeats alone.
func (t *Tracker) listEntries(list []Entry) {
	listed := make(map[string]Entry, len(list))
	for _, e := range list {
		if e.Name == t.self.Name {
			t.noteListed()
			continue
		}
		listed[e.Name] = e
	}
	if 2*len(listed) < len(t.listed) {
		return
	}
	if !maps.Equal(listed, t.listed) {
		t.listed = listed
		t.changed = true
	}
}

// noteListed notes that the platform knows this entry.
func (t *Tracker) noteListed() {
	if !t.inList {
		t.inList = true
		t.changed = true
	}
}

func (t *Tracker) heartbeat(in *Heartbeat) {
	t.hear(in.From)
	for _, e := range in.Known {
		t.hear(e)
	}
}

// hear takes what an entry said of itself, directly or through others.
func (t *Tracker) hear(e Entry) {
	if e.Incarnation == 0 || e.Incarnation == t.self.Incarnation {
		return
	}
	known := t.entries[e.Incarnation]
	t.noteSuccessor(known, e.Successor)
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
	if known == nil || differ(*known, e) {
		t.changed = true
	}
	t.entries[e.Incarnation] = &e
	t.retireNamesakes(e)
}

// noteSuccessor notes who has taken over the jobs of an entry. A hand-over is
// never taken back once it is announced, so the news counts whatever its
// sequence.
func (t *Tracker) noteSuccessor(known *Entry, successor Incarnation) {
	if known == nil || successor == 0 || known.Successor != 0 {
		return
	}
	known.Successor = successor
	if known.State != Gone {
		known.State = Leaving
	}
	t.changed = true
}

// succeeded notes that this entry has taken over the jobs of others.
func (t *Tracker) succeeded(in *HandoverReceived) {
	for _, owner := range in.Owners {
		t.noteSuccessor(t.entries[owner], t.self.Incarnation)
	}
}

// retireNamesakes marks earlier runs of the same entry as gone.
func (t *Tracker) retireNamesakes(e Entry) {
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

func differ(a, b Entry) bool {
	a.Sequence, b.Sequence = 0, 0
	a.LastHeartbeat, b.LastHeartbeat = time.Time{}, time.Time{}
	return a != b
}

// ageEntry lowers the state of an entry that has been silent.
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

// ageGone marks a silent entry as ended once the list lacks its VM, and drops
// its record after the retention.
func (t *Tracker) ageGone(e *Entry, silence time.Duration) {
	_, listed := t.listed[e.Name]
	if !e.Ended && !listed && t.listedAt.After(e.LastHeartbeat) {
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
		factor = farFactor
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
