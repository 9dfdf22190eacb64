package membership

import "time"

// Periods after which silence counts.
const (
	suspectAfter    = 2 * time.Second  // an entry of the own failure domain
	goneAfter       = 10 * time.Second // an entry of the own failure domain
	farFactor       = 6                // longer for entries of other failure domains
	absentGoneAfter = 30 * time.Second // an endpoint that a trusted list lacks
	minSuspicion    = 2 * time.Second  // a silent endpoint; doubles up to the next
	maxSuspicion    = time.Minute
	silenceLimit    = 3 // requests without an answer, in a row
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
	opts      Options
	now       time.Time
	self      Entry
	entries   map[Incarnation]*Entry
	listed    map[string]Entry // entries of the list, by name
	endpoints map[string]*endpoint
	asOf      time.Time // of the latest list, by the platform's clock
	listedAt  time.Time // when it came
	inList    bool      // the list names this entry
	changed   bool
	view      View
}

// New returns a tracker that knows only itself.
func New(opts Options) *Tracker {
	if opts.Retention == 0 {
		opts.Retention = DefaultRetention
	}
	return &Tracker{
		opts:      opts,
		self:      opts.Self,
		entries:   make(map[Incarnation]*Entry),
		listed:    make(map[string]Entry),
		endpoints: make(map[string]*endpoint),
		view:      View{Self: opts.Self, Entries: 1},
		changed:   true,
	}
}

// Step applies one input at the given time, which must not go back. It
// returns the view and whether it differs from the one before.
func (t *Tracker) Step(now time.Time, in Input) (View, bool) {
	t.now = now
	switch in := in.(type) {
	case *List:
		t.list(in)
	case *Heartbeat:
		t.heartbeat(in)
	case *EndpointAnswered:
		t.answered(in)
	case *EndpointUnresponsive:
		t.silent(in.Name)
	case *HandoverReceived:
		t.succeeded(in)
	case *Tick:
		t.tick()
	}
	changed := t.changed
	if changed {
		t.view = t.build()
		t.changed = false
	}
	return t.view, changed
}

func (t *Tracker) list(in *List) {
	if !in.AsOf.After(t.asOf) {
		return
	}
	t.asOf = in.AsOf
	t.listedAt = t.now
	t.listEntries(in.Entries)
	t.listEndpoints(in.Endpoints)
}

func (t *Tracker) tick() {
	for _, e := range t.entries {
		t.ageEntry(e)
	}
	for _, e := range t.endpoints {
		t.ageEndpoint(e)
	}
}
