package evacuation

import (
	"slices"
	"time"
)

// List is the list of failure domains whose evacuation operators request.
type List struct {
	// Revision is the offset of the operators' log for which Domains is the list. A
	// list with a higher one replaces one with a lower one.
	Revision int64
	Domains  []string // sorted
}

// Read is a list of requests that an entry has read from the operators' log.
type Read struct {
	Offset  int64 // of the log, up to which the records were read
	Domains []string
	Touched bool          // requests were among the records read: they may have changed and changed back
	Age     time.Duration // the longest time for which a change of the list may have been in the log
}

// Update is a list that replaces the one known before.
type Update struct {
	List
	// Changed reports that the list has to be put in force: the domains differ from
	// those known before, or a peer has known their requests for some time.
	Changed  bool
	Late     bool // the list may have been in force for some time
	FromPeer bool
}

// delayMargin covers a tick and a busy entry between the read of a request and the
// last start that it allows.
const delayMargin = 300 * time.Millisecond

// Requests are the operators' requests as an entry knows them, from its own reads
// and from its peers. It is not safe for concurrent use.
type Requests struct {
	// maxAge is the age of a change above which it is in force at once, because a
	// drain in steps would end too late.
	maxAge time.Duration
	known  *List
	tried  bool // a read of the operators' log was answered or has failed
}

// NewRequests returns requests of which none is known. They must be in force within
// bound of their acknowledgement. A bound that leaves no time for Ramps.Drain puts all
// of them in force at once.
func NewRequests(bound time.Duration) *Requests {
	return &Requests{maxAge: bound - Ramps.Drain - delayMargin}
}

// Latest returns the newest known list, or nil if none is known. The caller
// must not modify it.
func (r *Requests) Latest() *List { return r.known }

// Known reports whether the entry knows a list that is good enough to start tasks.
// The list of a peer, which may have lost the operators' log long ago, is good enough
// only once the entry has tried to read the log itself.
func (r *Requests) Known() bool { return r.known != nil && r.tried }

// ReadFailed records that the operators' log could not be read.
func (r *Requests) ReadFailed() { r.tried = true }

// OlderThan reports whether a peer that knows a list of the given revision knows
// a newer one. A revision of 0 means that the peer knows none.
func (r *Requests) OlderThan(revision int64) bool {
	return revision > 0 && (r.known == nil || revision > r.known.Revision)
}

// ApplyRead applies a list that this entry has read. It returns false if a newer
// one is known. Records that changed for another reason keep the revision, so that
// entries do not ask each other for what they know.
func (r *Requests) ApplyRead(read Read) (Update, bool) {
	r.tried = true
	list := List{Revision: read.Offset, Domains: slices.Sorted(slices.Values(read.Domains))}
	if r.known != nil && !read.Touched && slices.Equal(r.known.Domains, list.Domains) {
		list.Revision = r.known.Revision
	}
	if r.known != nil && list.Revision < r.known.Revision {
		return Update{}, false
	}
	return r.replace(Update{List: list, Late: read.Age > r.maxAge}), true
}

// ApplyPeer applies a list that a peer knows. It returns false if this entry knows
// the same revision or a newer one. How old the requests are is not known.
func (r *Requests) ApplyPeer(list List) (Update, bool) {
	if r.known != nil && list.Revision <= r.known.Revision {
		return Update{}, false
	}
	return r.replace(Update{List: list, Late: true, FromPeer: true}), true
}

func (r *Requests) replace(u Update) Update {
	u.Changed = r.known == nil || u.FromPeer && len(u.Domains) > 0 || !slices.Equal(r.known.Domains, u.Domains)
	u.Late = u.Late || r.known == nil
	r.known = &u.List
	return u
}
