package membership

import "time"

// Limits of failure detection.
const (
	suspectAfter      = 2 * time.Second  // without a heartbeat from an entry of the same failure domain
	goneAfter         = 10 * time.Second // the same
	remoteFactor      = 6                // multiplies both for entries of other failure domains
	removeAbsentAfter = 30 * time.Second // for an endpoint that is missing from a trusted list
	minSuspectPeriod  = 2 * time.Second  // of an unresponsive endpoint; doubles up to maxSuspectPeriod
	maxSuspectPeriod  = time.Minute
	maxUnanswered     = 3 // consecutive requests without an answer
)

// DefaultRetention is the default of Options.Retention.
const DefaultRetention = 20 * time.Minute

// Options are the fixed parameters of a Tracker.
type Options struct {
	Self Entry
	// Retention is how long the record of a gone entry is kept. It should
	// exceed the lifetime of job IDs. The default is DefaultRetention.
	Retention time.Duration
}

// Tracker tracks the states of members. It is not safe for concurrent use.
type Tracker struct {
	opts           Options
	now            time.Time
	self           Entry
	entries        map[Incarnation]*Entry
	listedEntries  map[string]Entry // by name
	endpoints      map[string]*endpoint
	listAsOf       time.Time // time of the latest list, by the platform's clock
	listReceivedAt time.Time // when that list arrived
	selfListed     bool      // the list includes this entry
	changed        bool
	view           View
}

// New returns a tracker that knows no other member.
func New(opts Options) *Tracker {
	if opts.Retention == 0 {
		opts.Retention = DefaultRetention
	}
	return &Tracker{
		opts:          opts,
		self:          opts.Self,
		entries:       make(map[Incarnation]*Entry),
		listedEntries: make(map[string]Entry),
		endpoints:     make(map[string]*endpoint),
		view:          View{Self: opts.Self, Entries: 1},
		changed:       true,
	}
}

// Step applies one input at the given time, which must not decrease. It returns
// the view and whether it has changed.
func (t *Tracker) Step(now time.Time, in Input) (View, bool) {
	t.now = now
	switch in := in.(type) {
	case *List:
		t.applyList(in)
	case *Heartbeat:
		t.applyHeartbeat(in)
	case *EndpointAnswered:
		t.endpointAnswered(in)
	case *EndpointUnresponsive:
		t.endpointUnresponsive(in.Name)
	case *HandoverReceived:
		t.applyHandover(in)
	case *Tick:
		t.tick()
	}
	changed := t.changed
	if changed {
		t.view = t.buildView()
		t.changed = false
	}
	return t.view, changed
}

func (t *Tracker) applyList(in *List) {
	if !in.AsOf.After(t.listAsOf) {
		return
	}
	t.listAsOf = in.AsOf
	t.listReceivedAt = t.now
	t.applyEntryList(in.Entries)
	t.applyEndpointList(in.Endpoints)
}

func (t *Tracker) tick() {
	for _, e := range t.entries {
		t.ageEntry(e)
	}
	for _, e := range t.endpoints {
		t.ageEndpoint(e)
	}
}
