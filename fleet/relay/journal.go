package relay

import (
	"slices"
	"sync"
	"time"

	"lovagespread.example/fleet/follow"
)

// maxChanges bounds the changes that a journal retains. An entry that polls twice
// a second misses none of them unless thousands of records change at once.
const maxChanges = 4096

// Journal is a reader's copy of the log with its latest changes. It is safe for
// concurrent use.
type Journal struct {
	// same reports whether two values of a key differ in nothing that matters.
	same func(key string, before, after []byte) bool

	mu      sync.Mutex
	valid   bool // the copy is complete up to next
	values  map[string][]byte
	changes []change // in the order of the log
	first   int64    // changes from this offset on are retained
	next    int64    // offset up to which the log was read
	readAt  time.Time
	packed  *packedList
}

// packedList is an encoded list of all records. It serves many entries that start
// at once.
type packedList struct {
	data []byte
	next int64 // offset to continue from
	at   time.Time
}

// listReuse is the age up to which a packed list is sent again. The entries that
// get it ask for the changes since.
const listReuse = 5 * time.Second

// change is a record that has changed, at or before an offset of the log.
type change struct {
	before int64 // the record's offset is lower
	record follow.Record
}

// NewJournal returns a journal that has to be listed first.
func NewJournal(same func(key string, before, after []byte) bool) *Journal {
	return &Journal{same: same}
}

// List replaces the copy by a list of all records up to an offset.
func (j *Journal) List(now time.Time, records []follow.Record, next int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.valid, j.readAt = true, now
	j.values = make(map[string][]byte, len(records))
	for _, r := range records {
		if len(r.Value) > 0 {
			j.values[r.Key] = r.Value
		}
	}
	j.changes, j.packed, j.first, j.next = nil, nil, next, next
}

// Continues reports whether the copy is complete up to an offset, so that the
// records from there on can be appended.
func (j *Journal) Continues(from int64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.valid && j.next == from
}

// Append adds the records between the end of the copy and an offset.
func (j *Journal) Append(now time.Time, records []follow.Record, next int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readAt, j.next = now, next
	for _, r := range records {
		before, known := j.values[r.Key]
		if len(r.Value) == 0 {
			delete(j.values, r.Key)
		} else {
			j.values[r.Key] = r.Value
		}
		if !known && len(r.Value) == 0 || known && len(r.Value) > 0 && j.same(r.Key, before, r.Value) {
			continue
		}
		j.changes = append(j.changes, change{before: next, record: r})
	}
	if surplus := len(j.changes) - maxChanges; surplus > 0 {
		j.first = j.changes[surplus-1].before
		j.changes = slices.Delete(j.changes, 0, surplus)
	}
}

// Invalidate discards the copy: this entry is not a reader any more.
func (j *Journal) Invalidate() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.valid, j.values, j.changes, j.packed = false, nil, nil, nil
}

// Since returns the changes since an offset and the offset to continue from.
func (j *Journal) Since(now time.Time, from int64) ([]follow.Record, int64, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.usable(now); err != nil {
		return nil, 0, err
	}
	if from > j.next {
		return nil, 0, errBehind
	}
	if from < j.first {
		return nil, 0, &follow.GapError{From: from}
	}
	at, _ := slices.BinarySearchFunc(j.changes, from, func(c change, from int64) int {
		if c.before <= from {
			return -1
		}
		return 1
	})
	records := make([]follow.Record, 0, len(j.changes)-at)
	for _, c := range j.changes[at:] {
		records = append(records, c.record)
	}
	return records, j.next, nil
}

// Packed returns all records as packed by the function pack, and the offset to
// continue from.
func (j *Journal) Packed(now time.Time, pack func([]follow.Record) ([]byte, error)) ([]byte, int64, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.usable(now); err != nil {
		return nil, 0, err
	}
	if p := j.packed; p != nil && p.next >= j.first && now.Sub(p.at) < listReuse {
		return p.data, p.next, nil
	}
	records := make([]follow.Record, 0, len(j.values))
	for key, value := range j.values {
		records = append(records, follow.Record{Key: key, Value: value})
	}
	data, err := pack(records)
	if err != nil {
		return nil, 0, err
	}
	j.packed = &packedList{data, j.next, now}
	return data, j.next, nil
}

func (j *Journal) usable(now time.Time) error {
	if !j.valid {
		return errNoReader
	}
	if now.Sub(j.readAt) > maxAge {
		return errStale
	}
	return nil
}
