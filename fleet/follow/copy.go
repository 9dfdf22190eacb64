package follow

import (
	"slices"
	"time"
)

// Reply is the answer of a keyed log to a read.
type Reply struct {
	Sent    time.Time // when the request was sent: the records are not older than that
	Records []Record
	Next    int64 // offset from which to continue
	Listed  bool  // Records are all newest records: keys that are absent were deleted
}

// Copy is a copy of the newest records of a keyed log. It does no I/O and reads
// no clock. It is not safe for concurrent use.
type Copy struct {
	explicitDeletes bool // see PollOptions

	records        map[string][]byte
	pendingDeletes map[string]time.Time // keys that will be deleted, and when
	nextOffset     int64
	age            time.Duration // see Progress
	lastSuccess    time.Time
	outageEnd      time.Time // end of the latest outage
	latest         Reply
}

// NewCopy returns a copy without records. See PollOptions for explicitDeletes.
func NewCopy(now time.Time, explicitDeletes bool) *Copy {
	return &Copy{explicitDeletes: explicitDeletes, records: make(map[string][]byte), pendingDeletes: make(map[string]time.Time), lastSuccess: now}
}

// Records returns the newest record of each key. The map must be neither changed
// nor retained.
func (c *Copy) Records() map[string][]byte { return c.records }

// Progress returns the progress of the latest read.
func (c *Copy) Progress() Progress { return Progress{c.nextOffset, c.age} }

// Touched reports whether the latest read may have had a record of a matching key.
// A list does not tell which records it was made of.
func (c *Copy) Touched(match func(key string) bool) bool {
	return c.latest.Listed || slices.ContainsFunc(c.latest.Records, func(r Record) bool { return match(r.Key) })
}

// Apply applies the reply to a read. It returns true if the records may have
// changed.
func (c *Copy) Apply(now time.Time, reply Reply) bool {
	for _, r := range reply.Records {
		c.apply(now, r)
	}
	if reply.Listed {
		c.deleteAbsent(now, reply.Records)
	}
	c.age = UnknownAge
	if !c.latest.Sent.IsZero() {
		c.age = now.Sub(c.latest.Sent)
	}
	c.latest = reply
	c.nextOffset = reply.Next
	c.lastSuccess = now
	return c.applyPendingDeletes(now) || reply.Listed || len(reply.Records) > 0
}

func (c *Copy) deleteAbsent(now time.Time, records []Record) {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	for key := range c.records {
		if !present[key] {
			c.apply(now, Record{Key: key})
		}
	}
}

// apply applies a record. A key that is deleted right after an outage is kept
// until its writer has had time to renew it, unless deletes are explicit.
func (c *Copy) apply(now time.Time, r Record) {
	if len(r.Value) > 0 {
		delete(c.pendingDeletes, r.Key)
		c.records[r.Key] = r.Value
		return
	}
	if _, known := c.records[r.Key]; !known {
		return
	}
	if now.Sub(c.lastSuccess) > outageAfter {
		c.outageEnd = now
	}
	if !c.explicitDeletes && !c.outageEnd.IsZero() && now.Sub(c.outageEnd) < deleteDelay {
		c.pendingDeletes[r.Key] = c.outageEnd.Add(deleteDelay)
		return
	}
	delete(c.records, r.Key)
}

func (c *Copy) applyPendingDeletes(now time.Time) bool {
	changed := false
	for key, until := range c.pendingDeletes {
		if now.After(until) {
			delete(c.pendingDeletes, key)
			delete(c.records, key)
			changed = true
		}
	}
	return changed
}
