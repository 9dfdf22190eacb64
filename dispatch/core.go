package dispatch

import (
	"math/rand/v2"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
	"lovagespread.example/dispatch/place"
	"lovagespread.example/dispatch/queue"
	"lovagespread.example/dispatch/urgency"
)

// Options are the fixed parameters of a Core.
type Options struct {
	// Rand is the source of every random choice. Required.
	Rand *rand.Rand
	// Owner is the incarnation whose jobs the core may start. Zero: the
	// shell sees to it that only such jobs come in.
	Owner jobid.Incarnation
	// MaxWaiting bounds the tasks that wait for a slot. Default 10,000.
	MaxWaiting int
	// MaxAttempts bounds the attempts of one task that may have started.
	// Default 3.
	MaxAttempts int
	// MaxAnswers bounds the answers that are kept for re-asking. The oldest
	// are dropped first. Default 100,000.
	MaxAnswers int
	// MaxAnswerBytes bounds the results of those answers, in bytes. Default
	// 64 MiB.
	MaxAnswerBytes int

	// Order decides which job goes first. Default: the inferred urgency.
	Order urgency.Order
	// Picker chooses endpoints. Default: place.Spread.
	Picker place.Picker
	// Expect replaces the learned run times. Experiments only.
	Expect func(TaskRef) time.Duration
	// Off switches mechanisms off. Experiments only.
	Off Mechanism
}

// Mechanism is a set of mechanisms of the policy.
type Mechanism uint

// Mechanisms that can be switched off to measure what they are worth.
const (
	Learning  Mechanism = 1 << iota // of run times
	Ejection                        // of failing and slow endpoints
	Hedging                         // of idempotent tasks
	FairShare                       // between teams
	Admission                       // by expected wait
)

func (m Mechanism) has(one Mechanism) bool { return m&one != 0 }

// Defaults of Options.
const (
	DefaultMaxWaiting  = 10_000
	DefaultMaxAttempts = 3
	DefaultMaxAnswers  = 100_000
	// DefaultMaxAnswerBytes is a quarter of what an entry may use for control.
	DefaultMaxAnswerBytes = 64 << 20
	// DefaultStretch is the factor of the default order.
	DefaultStretch = 12
)

func (o *Options) setDefaults() {
	if o.MaxWaiting == 0 {
		o.MaxWaiting = DefaultMaxWaiting
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	if o.MaxAnswers == 0 {
		o.MaxAnswers = DefaultMaxAnswers
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if o.Order == nil {
		o.Order = urgency.Stretch{Factor: DefaultStretch}
	}
	if o.Picker == nil {
		o.Picker = place.Spread{}
	}
}

// Core decides admission, order, placement and the end of jobs. It is not
// safe for concurrent use: one goroutine owns it.
type Core struct {
	opts        Options
	now         time.Time
	ready       Ready
	catalog     *catalog.Catalog
	ledger      *ledger.Ledger
	jobs        map[jobid.ID]*job // not ended, or with running tasks
	open        int               // jobs that have not ended
	waiting     int               // tasks without a slot
	answers     map[jobid.ID]*Answer
	answered    queue.FIFO[jobid.ID]
	answerBytes int // of the results in answers
	admitted    queue.FIFO[*job]
	services    map[string]*service
	byDepth     []*service // deepest in the dependency graph first
	teams       map[string]*team
	traces      map[string]*trace
	executors   map[string]*executor
	byID        []*executor // by place.Endpoint.ID
	freeIDs     []int
	listed      []Endpoint // as last announced
	pauses      queue.FIFO[pause]
	suspected   []*executor // since the endpoints were last announced
	share       SetShare
	draining    bool
	giving      *giving // nil: no hand-over was begun
	taking      map[jobid.Incarnation]*taking
}

// New returns a core without catalog or endpoints: it rejects every job until
// SetCatalog and SetEndpoints have come.
func New(opts Options) *Core {
	opts.setDefaults()
	return &Core{
		opts:      opts,
		catalog:   &catalog.Catalog{},
		ledger:    ledger.New(opts.Owner),
		jobs:      make(map[jobid.ID]*job),
		answers:   make(map[jobid.ID]*Answer),
		services:  make(map[string]*service),
		teams:     make(map[string]*team),
		traces:    make(map[string]*trace),
		executors: make(map[string]*executor),
		taking:    make(map[jobid.Incarnation]*taking),
		share:     SetShare{Rank: 0, Entries: 1},
	}
}

// Step applies one input at the given time, which must not go back, and
// returns what has to be done. The result is valid until the next Step.
func (c *Core) Step(now time.Time, in Input) *Ready {
	c.now = now
	c.ready.reset()
	if c.ledger.Relinquished() {
		c.stepGiven(in)
	} else {
		c.apply(in)
	}
	if !c.ledger.Relinquished() {
		c.place()
	}
	return &c.ready
}

// NextTick returns the time by which Step wants a Tick at the latest.
func (c *Core) NextTick() time.Time { return c.now.Add(tickInterval) }

const tickInterval = 50 * time.Millisecond

// Open returns the number of jobs that were admitted and have not ended.
func (c *Core) Open() int { return c.open }

func (c *Core) apply(in Input) {
	switch in := in.(type) {
	case *Submit:
		c.submit(in)
	case *Ask:
		c.ask(in.ID)
	case *HangUp:
		c.hangUp(in.ID)
	case *Cancel:
		c.cancel(in.ID)
	case *Done:
		c.done(in)
	case *Refused:
		c.refused(in)
	case *Failed:
		c.failed(in)
	case *Lost:
		c.lost(in)
	case *SetEndpoints:
		c.listed = in.Endpoints
		c.setEndpoints(in.Endpoints)
	case *SetCatalog:
		c.setCatalog(in.Catalog)
	case *SetShare:
		c.share = SetShare{Rank: in.Rank, Entries: max(in.Entries, 1)}
		c.setEndpoints(c.listed)
	case *Drain:
		c.draining = true
	case *Tick:
		c.tick()
	default:
		c.stepSuccession(in)
	}
}
