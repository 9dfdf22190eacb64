package fleet

import (
	"maps"
	"sync"
	"time"

	"lovagespread.example/membership/cells"
)

// recentEntries records when the other entries were last heard, by incarnation: also those
// that are not live any more. It is safe for concurrent use.
type recentEntries struct {
	retention time.Duration     // for which an entry that is not heard is kept
	isHeard   func(cells.Entry) // called for an entry that was not heard for that time; nil: not called

	mu      sync.Mutex
	entries map[cells.Incarnation]recentEntry
}

// recentEntry is an entry that was heard recently.
type recentEntry struct {
	cells.Entry
	heardAt time.Time // when its newest heartbeat was sent
}

func newRecentEntries(retention time.Duration) *recentEntries {
	return &recentEntries{retention: retention, entries: make(map[cells.Incarnation]recentEntry)}
}

// record records a heartbeat that an entry has sent.
func (r *recentEntries) record(e cells.Entry, sentAt time.Time) {
	if r.recordHeard(e, sentAt) && r.isHeard != nil {
		r.isHeard(e)
	}
}

// recordHeard does the same. It returns true if the entry was not heard for the retention
// time before.
func (r *recentEntries) recordHeard(e cells.Entry, sentAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.entries[e.Incarnation]
	if sentAt.Before(last.heardAt) {
		sentAt = last.heardAt
	}
	if !known {
		r.expire(sentAt)
	}
	r.entries[e.Incarnation] = recentEntry{e, sentAt}
	return !known || sentAt.Sub(last.heardAt) > r.retention
}

// expire removes the entries that were not heard for the retention time. A new
// incarnation is the occasion, so that the number of entries stays bounded.
func (r *recentEntries) expire(now time.Time) {
	maps.DeleteFunc(r.entries, func(_ cells.Incarnation, e recentEntry) bool { return now.Sub(e.heardAt) > r.retention })
}

// since returns the entries that were heard since a time.
func (r *recentEntries) since(t time.Time) []recentEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []recentEntry
	for _, e := range r.entries {
		if e.heardAt.After(t) {
			list = append(list, e)
		}
	}
	return list
}

// heardAt returns when an entry was last heard; zero if that is long ago.
func (r *recentEntries) heardAt(id cells.Incarnation) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[id].heardAt
}
