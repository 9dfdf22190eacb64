package leased

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagespread.example/dispatch/outlier"
)

// Options are the fixed parameters of a Core.
type Options struct {
	// MaxLease is the longest lease that endpoints grant.
	MaxLease time.Duration
	// NextToken returns a fencing token above floor and above all tokens that
	// this process has seen.
	NextToken func(floor int64) int64
	// Yields reports whether a holder that is fenced off leaves the endpoint
	// to the other one, instead of taking it back.
	Yields func(cell string) bool
}

// Core owns the decisions for the endpoints that it holds. It is not safe for
// concurrent use.
type Core struct {
	opts      Options
	now       time.Time
	endpoints map[EndpointID]*endpoint
	order     []*endpoint // by ID
	peers     map[string]*outlier.Peers
	jobs      map[JobID]*job
	guests    map[TaskID]*job
	tickets   map[Ticket]*job
	waiting   queue   // jobs with tasks that wait for a place
	seeking   []*task // whose earlier runs are to be asked for
	runs      map[TaskID]*run
	room      *roomIndex
	adopting  []*job               // guests whose earlier runs are looked for
	doneAlone map[TaskID]time.Time // ends of runs that nobody claimed
	keptDone  map[TaskID]time.Time // done tasks of kept jobs
	lacking   bool                 // some entries cannot be reached
	reached   time.Time            // since when none is lacking
	dropped   map[JobID]time.Time  // jobs that were withdrawn here
	withdrawn map[TaskID]time.Time // withdrawn tasks that may go on under other holders
	cellSince map[string]time.Time // since when the endpoints of a cell are held
	rooms     []Room
	learned   map[string]*average // run time ÷ estimate, by queue
	least     int                 // no waiting task asks for less, in thousandths of a core
	bound     int                 // no usable endpoint has more free, in thousandths of a core
	touched   []*endpoint         // whose Holds may be due
	queueTime time.Duration       // that what waits takes to be served
	quietTill time.Time           // nothing is started before
	// fixedOrder keeps the queue's order, for tests that compare orders.
	fixedOrder bool
	out        Actions
}

// New returns a core that holds nothing.
func New(opts Options) *Core {
	return &Core{
		opts:      opts,
		waiting:   newQueue(),
		endpoints: make(map[EndpointID]*endpoint),
		peers:     make(map[string]*outlier.Peers),
		jobs:      make(map[JobID]*job),
		guests:    make(map[TaskID]*job),
		tickets:   make(map[Ticket]*job),
		runs:      make(map[TaskID]*run),
		room:      &roomIndex{},
		doneAlone: make(map[TaskID]time.Time),
		keptDone:  make(map[TaskID]time.Time),
		dropped:   make(map[JobID]time.Time),
		cellSince: make(map[string]time.Time),
		withdrawn: make(map[TaskID]time.Time),
		learned:   make(map[string]*average),
	}
}

// Step applies one input at the given time, which must not go back, and
// returns what is to be done. The result is valid until the next Step.
func (c *Core) Step(now time.Time, in Input) *Actions {
	c.now = now
	c.out.reset()
	switch in := in.(type) {
	case *SetEndpoints:
		c.setEndpoints(in.Endpoints)
	case *SetRooms:
		c.rooms = in.Rooms
	case *SetReach:
		c.setReach(in.Lacking)
	case *Submit:
		c.submit(in)
	case *SubmitGuest:
		c.submitGuest(in)
	case *Cancel:
		c.cancel(in.Ticket)
	case *StartReply:
		c.startReply(in)
	case *StopReply:
		c.stopReply(in)
	case *HoldReply:
		c.holdReply(in)
	case *LendReply:
		c.lendReply(in)
	case *Reported:
		c.reported(in)
	case *Learned:
		c.taskLearned(in.Task)
	case *Pause:
		c.quietTill = c.now.Add(in.For)
	case *Tick:
		c.tick()
	}
	c.resolveAdoptions()
	c.raiseBound()
	c.place()
	c.holdTouched()
	return &c.out
}

// TickInterval is how often the core wants a Tick.
const TickInterval = 20 * time.Millisecond

// droppedTime is how long a withdrawn job is remembered: a caller sends it
// again within this time.
const droppedTime = 3 * time.Second

func (c *Core) tick() {
	for _, e := range c.order {
		c.review(e)
		c.touch(e)
	}
	c.forgetDropped()
	c.waiting.age(c.now)
	c.measureQueue()
	c.expire()
	c.forgetKeptDone()
	for id, at := range c.doneAlone {
		if c.now.Sub(at) > claimTime {
			delete(c.doneAlone, id)
		}
	}
	for id, at := range c.dropped {
		if c.now.Sub(at) > droppedTime {
			delete(c.dropped, id)
		}
	}
	for id, at := range c.withdrawn {
		if c.now.Sub(at) > droppedTime {
			delete(c.withdrawn, id)
		}
	}
}

// setEndpoints takes the announced endpoints. One that is announced no more is
// kept, without new work, until nothing runs there.
func (c *Core) setEndpoints(list []Endpoint) {
	announced := make(map[EndpointID]bool, len(list))
	present := make(map[string]bool)
	for _, spec := range list {
		present[spec.Cell] = true
		if c.cellSince[spec.Cell].IsZero() {
			c.cellSince[spec.Cell] = c.now
		}
		announced[spec.ID] = true
		c.setEndpoint(spec)
	}
	for id, e := range c.endpoints {
		if !announced[id] && !e.dropped {
			e.dropped = true
			c.out.Notes = append(c.out.Notes, e.note("endpoint_dropped", "not announced any more, or held by another entry"))
		}
		if announced[id] {
			e.dropped = false
		}
	}
	maps.DeleteFunc(c.cellSince, func(cell string, _ time.Time) bool { return !present[cell] })
	c.forgetDropped()
	c.giveUpQueue()
}

func (c *Core) setEndpoint(spec Endpoint) {
	e := c.endpoints[spec.ID]
	defer func() { c.touch(c.endpoints[spec.ID]) }()
	if e == nil {
		e = &endpoint{Endpoint: spec, runs: make(map[TaskID]*run), idleFrom: c.now, room: c.room}
		e.token = c.opts.NextToken(0)
		c.endpoints[spec.ID] = e
		c.order = append(c.order, e)
		slices.SortFunc(c.order, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
		c.room.rebuild(c.order)
		c.peersOf(e).Endpoints++
		c.out.Notes = append(c.out.Notes, e.note("endpoint_added", ""))
		return
	}
	if spec.Born != 0 && e.Born != 0 && spec.Born > e.Born {
		c.reborn(e, spec.Born)
	}
	born := max(e.Born, spec.Born)
	e.Endpoint = spec
	e.Born = born
	e.room.note(e)
}

// forgetDropped removes dropped endpoints on which nothing runs.
func (c *Core) forgetDropped() {
	c.order = slices.DeleteFunc(c.order, func(e *endpoint) bool {
		gone := e.dropped && (len(e.runs) == 0 || !e.held && e.orphans == len(e.runs))
		if !gone {
			return false
		}
		for _, r := range e.runs {
			c.forgetRun(e, r)
		}
		e.record.RemoveFrom(c.peersOf(e))
		c.peersOf(e).Endpoints--
		delete(c.endpoints, e.ID)
		return true
	})
	c.room.rebuild(c.order)
}

func (c *Core) peersOf(e *endpoint) *outlier.Peers {
	p := c.peers[e.Service]
	if p == nil {
		p = &outlier.Peers{}
		c.peers[e.Service] = p
	}
	return p
}

// average is a moving average of the logarithm of ratios.
type average struct {
	value float64
	n     int
}

// Status is what a core holds, for metrics.
type Status struct {
	Endpoints int
	Held      int
	Ejected   int
	Jobs      int
	Guests    int // tasks of other holders' jobs
	Waiting   int // jobs with tasks without a place
	Running   int
	FreeCores float64
}

// Status counts what the core holds.
func (c *Core) Status() Status {
	s := Status{Endpoints: len(c.order), Jobs: len(c.jobs), Guests: len(c.guests), Waiting: c.waiting.len(), Running: len(c.runs)}
	for _, e := range c.order {
		if e.held {
			s.Held++
			s.FreeCores += float64(e.free().MilliCores) / 1000
		}
		if e.record.Health() == outlier.Ejected {
			s.Ejected++
		}
	}
	return s
}

// FreeRoom lists the free thousandths of a core of each endpoint of a cell
// that takes new work, those with less than least left out.
func (c *Core) FreeRoom(cell string, least int) []int {
	var free []int
	for _, e := range c.order {
		if e.Cell != cell || !e.usable(c.now) || e.record.Health() != outlier.Healthy {
			continue
		}
		if f := e.free().MilliCores; f >= least {
			free = append(free, f)
		}
	}
	return free
}
