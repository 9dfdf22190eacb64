package membership

import "time"

// Periods after which silence counts.
const (
	suspectAfter      = 2 * time.Second  // an entry of the own failure domain
	goneAfter         = 10 * time.Second // an entry of the own failure domain
	remoteFactor      = 6                // longer for entries of other failure domains
	removeAbsentAfter = 30 * time.Second // an endpoint that a trusted list lacks
	minSuspectPeriod  = 2 * time.Second  // a silent endpoint; doubles up to the next
	maxSuspectPeriod  = time.Minute
	maxUnanswered     = 3 // requests without an answer, in a row
)

// DefaultRetention is how long the record of a gone entry is kept.
const DefaultRetention = 20 * time.Minute

// Options are the fixed parameters of a Tracker.
type Options struct {
	Self Entry
	// Retention is how long the record of a gone entry is kept; it should
	// exceed the lifetime of job IDs. Default DefaultRetention.
	Retention time.Duration
}

// Tracker keeps the members. It is not safe for concurrent use.
type Tracker struct {
	opts           Options
	now            time.Time
	self           Entry
	entries        map[Incarnation]*Entry
	listedEntries  map[string]Entry // entries of the list, by name
	endpoints      map[string]*endpoint
	listAsOf       time.Time // of the latest list, by the platform's clock
	listReceivedAt time.Time // when it came
	selfListed     bool      // the list names this entry
	changed        bool
	view           View
}

// New returns a tracker that knows only itself.
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

// Step applies one input at the given time, which must not go back. It
// returns the view and whether it differs from the one before.
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
