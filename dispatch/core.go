package dispatch

import (
	"math/rand/v2"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/evacuation"
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
	// Owner is the incarnation whose jobs the core may start. If zero, the
	// shell must submit only jobs that the core may start.
	Owner jobid.Incarnation
	// MaxWaiting bounds the tasks that wait for a slot. Default 10,000.
	MaxWaiting int
	// MaxAttempts bounds the attempts of one task that may have started.
	// Default 3.
	MaxAttempts int
	// MaxAnswers bounds the answers that are cached for repeated requests. The
	// oldest are evicted first. Default 100,000.
	MaxAnswers int
	// MaxAnswerBytes bounds the size of the results in cached answers. Default
	// 64 MiB.
	MaxAnswerBytes int

	// Order sorts waiting jobs. Default: the inferred urgency.
	Order urgency.Order
	// Picker chooses endpoints. Default: place.Spread.
	Picker place.Picker
	// ExpectedRunTime replaces the learned run times. For experiments only.
	ExpectedRunTime func(TaskRef) time.Duration
	// Disabled switches mechanisms off. For experiments only.
	Disabled Mechanism
}

// Mechanism is a set of mechanisms of the policy.
type Mechanism uint

// Mechanisms that can be switched off to measure their effect.
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
	// DefaultMaxAnswerBytes is a quarter of the memory that an entry may use
	// for control.
	DefaultMaxAnswerBytes = 64 << 20
	// DefaultStretch is the factor of the default order, urgency.Stretch.
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

// Core decides admission, order, placement and completion of jobs. It is not
// safe for concurrent use: one goroutine owns it.
type Core struct {
	opts            Options
	now             time.Time
	ready           Ready
	catalog         *catalog.Catalog
	ledger          *ledger.Ledger
	jobs            map[jobid.ID]*job // not ended, or with running tasks
	openCount       int               // jobs that have not ended
	waiting         int               // tasks without a slot
	answers         map[jobid.ID]*Answer
	answerOrder     queue.FIFO[jobid.ID]
	answerBytes     int // of the results in answers
	admissionOrder  queue.FIFO[*job]
	services        map[string]*service
	servicesByDepth []*service // deepest in the dependency graph first
	teams           map[string]*team
	traces          map[string]*trace
	executors       map[string]*executor
	executorsByID   []*executor // indexed by place.Endpoint.ID
	freeExecutorIDs []int
	lastEndpoints   []Endpoint // of the latest SetEndpoints
	pauses          queue.FIFO[pause]
	newlySuspect    []*executor // became suspect with the latest SetEndpoints
	share           SetShare
	evacuations     *evacuation.Tracker
	draining        bool
	sender          *handoverSender                         // nil: no handover was begun
	receivers       map[jobid.Incarnation]*handoverReceiver // by sender
}

// New returns a core without catalog or endpoints. It rejects every job until
// SetCatalog and SetEndpoints have been applied.
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
		receivers: make(map[jobid.Incarnation]*handoverReceiver),
		share:     SetShare{Rank: 0, Entries: 1},

		evacuations: evacuation.New(evacuation.Ramps),
	}
}

// Step applies one input at the given time and returns the resulting actions.
// The time must not decrease. The result is valid until the next Step.
func (c *Core) Step(now time.Time, in Input) *Ready {
	c.now = now
	c.ready.reset()
	if c.ledger.Relinquished() {
		c.applyAfterLastPart(in)
	} else {
		c.apply(in)
	}
	if !c.ledger.Relinquished() {
		c.placeAll()
	}
	return &c.ready
}

// NextTick returns the latest time for the next Tick.
func (c *Core) NextTick() time.Time { return c.now.Add(tickInterval) }

const tickInterval = 50 * time.Millisecond

// Open returns the number of jobs that were admitted and have not ended.
func (c *Core) Open() int { return c.openCount }

func (c *Core) apply(in Input) {
	switch in := in.(type) {
	case *Submit:
		c.submit(in)
	case *Ask:
		c.ask(in.ID)
	case *Disconnect:
		c.disconnect(in.ID)
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
		c.lastEndpoints = in.Endpoints
		c.setEndpoints(in.Endpoints)
	case *SetCatalog:
		c.setCatalog(in)
	case *SetShare:
		c.share = SetShare{Rank: in.Rank, Entries: max(in.Entries, 1)}
		c.setEndpoints(c.lastEndpoints)
	case *Drain:
		c.draining = true
	case *Tick:
		c.tick()
	default:
		c.applyHandover(in)
	}
}
