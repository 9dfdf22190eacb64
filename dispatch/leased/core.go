package leased

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lovagespread.example/dispatch/balance"
	"lovagespread.example/dispatch/evacuation"
	"lovagespread.example/dispatch/outlier"
	"lovagespread.example/dispatch/recovery"
)

// Options are the fixed parameters of a Core.
type Options struct {
	// MaxLease is the longest lease that an endpoint grants.
	MaxLease time.Duration
	// CallerRetry is how long after its connection broke a caller sends its job to
	// another entry, as a new one. Less than DefaultCallerRetry counts as that.
	CallerRetry time.Duration
	// NextToken returns a fencing token above floor and above all tokens that
	// this process has seen.
	NextToken func(floor int64) int64
	// Yields reports whether this holder, once fenced off by another one,
	// leaves the cell's endpoints to that one instead of reclaiming them.
	Yields func(cell string) bool
	// Balancing measures the wait of the queue, and returns jobs that another
	// holder will start sooner.
	Balancing bool
	// Recovery rejects jobs that missing capacity cannot serve, and uses endpoints
	// that leave while that is safe.
	Recovery bool
	// DrainLimit is the time after its notice for which a leaving endpoint may get
	// tasks that surely end before it leaves; 0: it gets none.
	DrainLimit time.Duration
	// Policy selects how jobs are ordered and admitted.
	Policy Policy
}

// Core makes all decisions for the endpoints that it holds. It is not safe for
// concurrent use.
type Core struct {
	opts              Options
	claimTime         time.Duration // after an entry was last heard, for which leases of its runs last
	now               time.Time
	endpoints         map[EndpointID]*endpoint
	endpointList      []*endpoint               // sorted by ID
	peers             map[string]*outlier.Peers // by service
	jobs              map[JobID]*job
	delegated         map[TaskID]*job
	tickets           map[Ticket]*job
	waiting           queue             // jobs with tasks that wait for a free endpoint
	meter             balance.Meter     // of the queue
	loads             balance.Table     // of other holders
	predictor         balance.Predictor // of the waits in the queue
	lostRuns          []*task           // whose earlier runs may be active under another holder
	runs              map[TaskID]*run
	freeIndex         *freeIndex
	suspended         []*task
	loadedAt          time.Time            // when less than half of the usable capacity was last idle
	adopting          []*job               // delegated tasks whose earlier runs are searched for
	doneUnclaimed     map[TaskID]time.Time // when a run that no job claimed was listed as done
	storedDone        map[TaskID]doneEnd   // done tasks of stored jobs
	restartRequests   uint64               // number of the newest request to start a task again
	uncounted         map[TaskID][]reportedEnd
	counted           map[TaskID]countedTask
	heldAnswers       map[TaskID][]heldAnswer
	someUnreachable   bool      // some entries cannot be reached
	reachableSince    time.Time // when all entries became reachable
	unseen            unseenRuns
	callers           map[Ticket]ticketCaller // entries that wait for tickets; those of this entry are absent
	contacts          map[uint64]time.Time    // when these entries were last heard
	searched          map[TaskID]searchedRun
	resumedAt         time.Time            // when this process was last frozen until
	unpolledCells     map[string]time.Time // when an endpoint of a cell was removed whose runs were not known
	cellHeldSince     map[string]time.Time // when the endpoints of a cell were first announced
	firstHeldAt       time.Time            // when this core last got a cell while it held none
	announced         []announcement       // of other cells; none is older than maxCapacityAge at a Tick
	runTimeRatios     map[string]*average  // run time ÷ estimate, by queue
	loss              lossEstimate
	minDemand         int           // lower bound of the demand of a waiting task, in millicores
	maxFree           int           // upper bound of what a usable endpoint has free, in millicores
	dirty             []*endpoint   // whose Holds may be due
	queueServiceTime  time.Duration // expected time to serve all waiting jobs
	startsPausedUntil time.Time     // no task is started before
	evacuations       *evacuation.Tracker
	recovery          recovery.Tracker
	recoveryRejected  int  // jobs rejected since the recovery has begun
	capacityShrunk    bool // endpoints leave or were dropped in this step
	admission         admissionControl
	// fixedOrder turns the adaptive order of the queue off, for tests that
	// compare orders.
	fixedOrder bool
	unequal    unequal // placement on endpoints of different speeds
	out        Actions
}

// New returns a core without endpoints.
func New(opts Options) *Core {
	c := &Core{
		opts:          opts,
		claimTime:     claimTime(opts.CallerRetry, opts.MaxLease),
		waiting:       newQueue(),
		endpoints:     make(map[EndpointID]*endpoint),
		peers:         make(map[string]*outlier.Peers),
		jobs:          make(map[JobID]*job),
		delegated:     make(map[TaskID]*job),
		tickets:       make(map[Ticket]*job),
		runs:          make(map[TaskID]*run),
		freeIndex:     &freeIndex{},
		doneUnclaimed: make(map[TaskID]time.Time),
		storedDone:    make(map[TaskID]doneEnd),
		uncounted:     make(map[TaskID][]reportedEnd),
		counted:       make(map[TaskID]countedTask),
		heldAnswers:   make(map[TaskID][]heldAnswer),
		unseen:        make(unseenRuns),
		callers:       make(map[Ticket]ticketCaller),
		contacts:      make(map[uint64]time.Time),
		searched:      make(map[TaskID]searchedRun),
		unpolledCells: make(map[string]time.Time),
		cellHeldSince: make(map[string]time.Time),
		runTimeRatios: make(map[string]*average),
		evacuations:   evacuation.New(evacuation.Ramps),
		unequal:       newUnequal(),
		admission:     newAdmissionControl(),
	}
	c.applyPolicy(opts.Policy)
	return c
}

// Step applies one input at the given time, which must not decrease, and
// returns the resulting actions. They are valid until the next Step. The same
// inputs in the same order return the same actions in the same order.
func (c *Core) Step(now time.Time, in Input) *Actions {
	c.now = now
	c.out.reset()
	switch in := in.(type) {
	case *SetEndpoints:
		c.setEndpoints(in.Endpoints)
	case *AnnounceFreeCapacity:
		c.announceFreeCapacity(in.Announced)
	case *SetReachability:
		c.setReachability(in.SomeUnreachable)
	case *SetEvacuations:
		c.setEvacuations(in)
	case *Submit:
		c.submit(in)
	case *SubmitDelegated:
		c.submitDelegated(in)
	case *Cancel:
		c.cancel(in.Ticket)
	case *StartReply:
		c.startReply(in)
	case *StopReply:
		c.stopReply(in)
	case *HoldReply:
		c.holdReply(in)
	case *DelegateReply:
		c.delegateReply(in)
	case *ReportsStored:
		for i := range in.Reports {
			c.reportStored(&in.Reports[i])
		}
	case *TaskUpdate:
		c.learn(in.Task, &in.Progress, true)
	case *Pause:
		c.startsPausedUntil = c.now.Add(in.For)
		c.forgetContacts()
	case *CallerContact:
		c.contact(in)
	case *Tick:
		for i := range in.Contacts {
			c.contact(&in.Contacts[i])
		}
		c.tick()
	}
	c.resolveAdoptions()
	c.raiseMaxFree()
	c.place()
	c.pollDirty()
	return &c.out
}

// TickInterval is the interval at which the core needs a Tick.
const TickInterval = 20 * time.Millisecond

func (c *Core) tick() {
	for _, e := range c.endpointList {
		c.review(e)
		c.markDirty(e)
	}
	c.removeDropped()
	c.advanceEvacuations()
	c.reviewSpeeds()
	c.resumeSuspended()
	c.measureLoad()
	c.waiting.demoteLate(c.now)
	c.measureServiceTime()
	c.trackRecovery()
	c.restartCutRuns()
	c.withdrawUnheard()
	c.orderQueue()
	c.expireJobs()
	c.expireDelegated()
	c.returnUnchecked()
	if c.opts.Balancing {
		c.balance()
	}
	c.expireAnnouncements()
	c.forgetStoredDone()
	c.forgetCounted()
	for id, at := range c.doneUnclaimed {
		if c.now.Sub(at) > claimTimeout {
			delete(c.doneUnclaimed, id)
		}
	}
	c.unseen.expire(c.now)
	c.expireContacts()
	maps.DeleteFunc(c.searched, func(_ TaskID, s searchedRun) bool { return c.now.Sub(s.at) > maxRequestDelay })
	maps.DeleteFunc(c.unpolledCells, func(_ string, at time.Time) bool { return c.now.Sub(at) > c.ownRunTimeout() })
}

// setEndpoints applies the announced endpoints. An endpoint that is no longer
// announced gets no new tasks and is removed once nothing runs there.
func (c *Core) setEndpoints(list []Endpoint) {
	announced := make(map[EndpointID]bool, len(list))
	present := make(map[string]bool)
	if c.HoldsNoCell() && len(list) > 0 {
		c.firstHeldAt = c.now
	}
	for _, spec := range list {
		present[spec.Cell] = true
		if c.cellHeldSince[spec.Cell].IsZero() {
			c.cellHeldSince[spec.Cell] = c.now
		}
		announced[spec.ID] = true
		c.setEndpoint(spec)
	}
	for _, e := range c.endpointList {
		if !announced[e.ID] && !e.dropped {
			e.dropped = true
			c.capacityShrunk = true
			c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_dropped", "no longer announced, or held by another entry"))
		}
		if announced[e.ID] {
			e.dropped = false
		}
	}
	maps.DeleteFunc(c.cellHeldSince, func(cell string, _ time.Time) bool { return !present[cell] })
	c.removeDropped()
	c.returnQueue()
	c.applyDepartures()
}

func (c *Core) setEndpoint(spec Endpoint) {
	e := c.endpoints[spec.ID]
	defer func() { c.markDirty(c.endpoints[spec.ID]) }()
	if e == nil {
		e = &endpoint{Endpoint: spec, addedAt: c.now, idleSince: c.now, freeIndex: c.freeIndex, clockReadingInterval: clockReadingInterval(spec.ID)}
		e.token = c.opts.NextToken(0)
		e.announcedBorn = spec.Born
		c.endpoints[spec.ID] = e
		e.evacuated = !c.evacuations.Admits(c.now, e.FailureDomain, string(e.ID))
		c.endpointList = append(c.endpointList, e)
		slices.SortFunc(c.endpointList, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
		c.freeIndex.rebuild(c.endpointList)
		c.peersOf(e).Endpoints++
		c.noteDeparture(e, spec.Leaving, false)
		c.out.EndpointEvents = append(c.out.EndpointEvents, e.note("endpoint_added", ""))
		return
	}
	wasLeaving := e.Leaving
	c.applyRecord(e, spec)
	c.noteDeparture(e, wasLeaving, true)
	e.freeIndex.update(e)
}

// applyRecord applies a new record of a known endpoint. The record is no evidence of a
// restart: a record of another writer may name any start and any address. The endpoint
// is asked instead, and what it answers counts.
func (c *Core) applyRecord(e *endpoint, spec Endpoint) {
	born := e.Born
	if born == 0 {
		born = spec.Born
	}
	moved := spec.Address != e.Address
	asked := moved || spec.Born > e.Born && spec.Born != e.announcedBorn
	if spec.Service != e.Service {
		e.record.RemoveFrom(c.peersOf(e))
		c.peersOf(e).Endpoints--
		e.record = outlier.Record{}
		defer func() { c.peersOf(e).Endpoints++ }()
	}
	e.Endpoint = spec
	e.Born, e.announcedBorn = born, spec.Born
	if moved {
		e.held = false // nothing is started there before it has answered
	}
	if asked {
		e.sequence++ // the reply to the Hold in flight is ignored: a new one is sent at once
		e.inFlight = false
		e.pollWanted = true
		e.nextHold = time.Time{}
	}
}

// removeDropped removes dropped endpoints on which nothing runs, and those not
// held on which only runs of unknown demand are left.
func (c *Core) removeDropped() {
	c.endpointList = slices.DeleteFunc(c.endpointList, func(e *endpoint) bool {
		removable := e.dropped && len(e.lostRuns) == 0 && (len(e.runs) == 0 || !e.held && e.unknownDemands == len(e.runs))
		if !removable {
			return false
		}
		if !e.held {
			c.unpolledCells[e.Cell] = c.now
		}
		for r := range e.runs.all() {
			c.unseen.add(r.id, c.now.Add(c.ownRunTimeout()), e.ID)
			if t := c.openTask(r.id); t != nil {
				t.doubtEnd()
			}
			c.forgetRun(e, r)
		}
		e.record.RemoveFrom(c.peersOf(e))
		c.peersOf(e).Endpoints--
		delete(c.endpoints, e.ID)
		return true
	})
	c.freeIndex.rebuild(c.endpointList)
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
	value   float64
	peak    float64 // of the newest ratios (leaving.go)
	samples int
}

// Status counts what a core holds, for metrics.
type Status struct {
	Endpoints      int
	Held           int
	Ejected        int
	Jobs           int
	DelegatedTasks int // tasks of other holders' jobs
	Waiting        int // jobs with tasks that wait for a free endpoint
	Running        int
	FreeCores      float64
	EvacuatedRuns  int // on evacuated endpoints
	Placement      PlacementCounts
	Admission      AdmissionStatus
}

// HasWaiting reports whether any job waits for a free endpoint.
func (c *Core) HasWaiting() bool { return c.waiting.len() > 0 }

// Status returns the current counts.
func (c *Core) Status() Status {
	s := Status{Endpoints: len(c.endpointList), Jobs: len(c.jobs), DelegatedTasks: len(c.delegated), Waiting: c.waiting.len(), Running: len(c.runs), Placement: c.unequal.counts, Admission: c.admissionStatus()}
	for _, e := range c.endpointList {
		if e.held {
			s.Held++
			s.FreeCores += float64(e.free().MilliCores) / 1000
		}
		if e.evacuated {
			s.EvacuatedRuns += len(e.runs)
		}
		if e.record.Health() == outlier.Ejected {
			s.Ejected++
		}
	}
	return s
}

// FreeCapacity lists the free millicores of the endpoints of a cell that accept
// new tasks, run no suspect and have at least minMilliCores free.
func (c *Core) FreeCapacity(cell string, minMilliCores int) []int {
	var free []int
	for _, e := range c.endpointList {
		if e.Cell != cell || !e.usable(c.now) || e.suspects > 0 || e.record.Health() != outlier.Healthy {
			continue
		}
		if f := e.free().MilliCores; f >= minMilliCores {
			free = append(free, f)
		}
	}
	return free
}
