package fleet

import (
	"context"
	"maps"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/admission"
	"lovagespread.example/dispatch/balance"
	"lovagespread.example/dispatch/evacuation"
	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
	"lovagespread.example/membership/contact"
)

// Sizes and intervals of the loop.
const (
	messageQueueLength = 8192
	idleTickInterval   = 60 * time.Millisecond
	// assignInterval is how often the held endpoints are recomputed without any
	// change of entries or endpoints, because a failure domain may have become
	// empty with time.
	assignInterval = 250 * time.Millisecond
	// stallThreshold is the time between two ticks above which this process has stood
	// still. On a VM with a share of a processor it regularly stands still for 80 ms.
	stallThreshold = 150 * time.Millisecond
	// backlogTime is the time allowed after that for reading queued heartbeats. It is
	// half of the time from the cancellation of a call to the end of its runs' leases.
	backlogTime            = 100 * time.Millisecond
	minAnnouncedMilliCores = 1000 // endpoints with less free capacity are not announced
)

// Snapshot is an immutable copy of the control state.
type Snapshot struct {
	View           *cells.View
	Configuration  *Configuration // nil: none received yet
	Endpoints      []leased.Endpoint
	CellCounts     map[string]int     // number of cells by failure domain
	FreeMilliCores map[cells.Cell]int // announced free millicores
	Status         leased.Status
	Evacuations    *Evacuations       // nil: not known
	DomainShares   map[string]float64 // share of the endpoints that may get tasks, by failure domain; 1 where it is absent
	Stopping       bool
	ProbesLog      bool // this entry must find out whether the log of stored jobs serves it
}

// message is a message to the loop. The loop calls handle in its goroutine.
type message interface{ handle(*Loop) }

// Loop owns the control state. Create it with newLoop and run it with run.
type Loop struct {
	settings       Settings
	log            *zap.Logger
	metrics        *metrics
	guard          guard
	endpoints      EndpointClient
	peers          *peers
	heartbeats     *heartbeats
	messages       chan message
	snapshot       atomic.Pointer[Snapshot]
	freezeDetector *freezeDetector
	reporter       *reporter     // nil: stored jobs are not served
	jobLog         *observedLog  // the same
	recordsWanted  chan struct{} // has a value if the endpoints' records should be read at once
	startTimeout   timeoutEstimator
	balancer       balancer

	// Owned by the goroutine in run.
	core                *leased.Core
	roster              *cells.Roster
	view                *cells.View
	directory           Directory
	requests            *evacuation.Requests
	sharedDemand        sharedDemand
	dirty               bool // endpoints or holders may have changed since the last assignEndpoints
	nextAssign          time.Time
	fencedWhileIsolated bool // holds no endpoints until it is no longer isolated
	held                map[leased.EndpointID]bool
	cellCounts          map[string]int
	ownCapacity         map[cells.Cell][]int // free millicores of each endpoint
	peerCapacity        map[cells.Cell]announcedCapacity
	newCapacity         bool // some of it is not passed on to the core yet
	maxToken            int64
	lastTicket          leased.Ticket
	tickets             map[leased.Ticket]context.Context // of the submissions that wait for an answer
	waiters             map[leased.Ticket]chan leased.Answer
	delegatedWaiters    map[leased.Ticket]chan leased.DelegatedAnswer
	unheardCalls        map[cells.Incarnation][]*submittedCall // of incarnations without a heartbeat
	delegations         map[leased.TaskID]*delegation
	stopping            bool
	evacuatedRuns       int       // on evacuated endpoints, in the latest snapshot
	resumedAt           time.Time // end of the latest freeze that was handled
	withdrawalsSentAt   time.Time // apart from the usual heartbeats
	originAskedAt       map[cells.Incarnation]time.Time
	delays              contact.Delays
	tickedAt            time.Time // the latest tick
	backlogUntil        time.Time // heartbeats that arrived while this process stood still may be unread
}

// announcedCapacity is the free capacity of a cell as announced by its holder.
type announcedCapacity struct {
	holder     cells.Incarnation
	receivedAt time.Time
	free       []int
	load       *balance.Load         // of the holder; nil: none announced
	shared     *admission.SharedLoad // of the holder; nil: none announced since the core got the last one
	transfer   time.Duration         // of a job to the holder
	passedOn   bool                  // to the core
}

func newLoop(s Settings, self cells.Entry, endpoints EndpointClient, log *zap.Logger, m *metrics, p *peers, f *freezeDetector) *Loop {
	l := &Loop{
		settings: s, log: log, metrics: m, guard: guard{log, m}, endpoints: endpoints, peers: p, freezeDetector: f,
		messages:         make(chan message, messageQueueLength),
		recordsWanted:    make(chan struct{}, 1),
		roster:           cells.New(self, time.Now()),
		held:             make(map[leased.EndpointID]bool),
		cellCounts:       make(map[string]int),
		peerCapacity:     make(map[cells.Cell]announcedCapacity),
		tickets:          make(map[leased.Ticket]context.Context),
		originAskedAt:    make(map[cells.Incarnation]time.Time),
		waiters:          make(map[leased.Ticket]chan leased.Answer),
		delegatedWaiters: make(map[leased.Ticket]chan leased.DelegatedAnswer),
		unheardCalls:     make(map[cells.Incarnation][]*submittedCall),
		delegations:      make(map[leased.TaskID]*delegation),
		requests:         evacuation.NewRequests(s.EvacuationBound),
		sharedDemand:     sharedDemand{sentAt: make(map[bool]time.Time)},
	}
	l.core = leased.New(leased.Options{MaxLease: s.MaxLease, CallerRetry: s.CallerRetry, NextToken: l.nextToken, Yields: l.yields, Balancing: s.Balancing, Recovery: s.Recovery, Policy: s.policy()})
	l.view = l.roster.View(time.Now())
	l.publish()
	return l
}

// Latest returns the newest snapshot.
func (l *Loop) Latest() *Snapshot { return l.snapshot.Load() }

func (l *Loop) send(m message) { l.messages <- m }

func (l *Loop) run(ctx context.Context) {
	l.freezeDetector.check()
	l.updateMaxCheckGap()
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.messages:
			l.handle(m)
		case <-timer.C:
			l.handleFreeze()
			l.tick()
			timer.Reset(l.tickInterval())
		}
	}
}

// handle handles a message. It handles a freeze first, because the content of
// the message may be older than the freeze.
func (l *Loop) handle(m message) {
	l.handleFreeze()
	m.handle(l)
}

func (l *Loop) tickInterval() time.Duration {
	s := l.core.Status()
	if s.Jobs > 0 || s.Running > 0 {
		return leased.TickInterval
	}
	return idleTickInterval
}

func (l *Loop) tick() {
	now := time.Now()
	l.refresh(now)
	l.detectStall(now)
	l.cancelCallsOfLostEntries(now)
	l.passCapacityOn(now)
	l.step(&leased.Tick{Contacts: l.callerContacts()})
	l.updateOwnLoad(now)
	l.announceWithdrawn(now)
	l.askOrigins(now)
	l.sendHeartbeats(now)
	l.publish()
}

// refresh updates the view of the entries, and the held endpoints if they may
// have changed.
func (l *Loop) refresh(now time.Time) {
	previous := l.view
	l.reviewShards(now)
	l.view = l.roster.View(now)
	if !sameEntries(previous, l.view) {
		l.dirty = true
		l.updateMaxCheckGap()
		l.entriesChanged(previous, l.view)
	}
	if l.fencedWhileIsolated && !l.view.Isolated {
		l.fencedWhileIsolated = false
		l.dirty = true
	}
	if previous.SomeUnreachable != l.view.SomeUnreachable {
		l.step(&leased.SetReachability{SomeUnreachable: l.view.SomeUnreachable})
	}
	selfChanged := previous.Settled != l.view.Settled || previous.Isolated != l.view.Isolated || previous.Majority != l.view.Majority
	if l.dirty || selfChanged || !now.Before(l.nextAssign) {
		l.dirty = false
		l.nextAssign = now.Add(assignInterval)
		l.assignEndpoints()
	}
}

// step passes an input to the core and executes the resulting actions.
func (l *Loop) step(in leased.Input) {
	out := l.core.Step(time.Now(), in)
	l.sendStarts(out.Starts)
	for i := range out.Stops {
		l.stop(out.Stops[i])
	}
	for i := range out.Holds {
		l.hold(out.Holds[i])
	}
	for i := range out.Answers {
		l.answer(out.Answers[i])
	}
	for i := range out.DelegatedAnswers {
		l.answerDelegated(out.DelegatedAnswers[i])
	}
	for i := range out.Delegations {
		l.delegate(out.Delegations[i])
	}
	for _, cancel := range out.DelegateCancels {
		l.cancelDelegation(cancel.Task)
	}
	for i := range out.RunEnds {
		l.runEnded(&out.RunEnds[i])
	}
	for i := range out.Crashes {
		l.logCrash(&out.Crashes[i])
	}
	for i := range out.EndpointEvents {
		l.logEndpointEvent(&out.EndpointEvents[i])
	}
	for i := range out.Reports {
		l.report(out.Reports[i])
	}
	for _, change := range out.DomainChanges {
		l.logDomainChange(change)
	}
	for i := range out.RecoveryEvents {
		l.logRecovery(&out.RecoveryEvents[i])
	}
}

// report sends a report about a run to the owner of its stored job.
func (l *Loop) report(r leased.Report) {
	if l.reporter == nil {
		l.log.Error("report_impossible", zap.String("job", string(r.Task.Job)), zap.String("reason", "this entry has no log of stored jobs"))
		return
	}
	l.reporter.add(r)
}

// logEndpointEvent logs and counts a change of an endpoint's state. If this entry
// was fenced off while it is isolated, it gives up all endpoints.
func (l *Loop) logEndpointEvent(event *leased.EndpointEvent) {
	l.log.Warn(event.Event, zap.String("endpoint", string(event.Endpoint)), zap.String("reason", event.Reason),
		zap.Int64("token", event.Token), zap.Int("runs", event.Runs))
	l.metrics.endpointEvents.WithLabelValues(event.Event).Inc()
	switch {
	case event.Event == "endpoint_fenced" && l.view.Isolated:
		l.fencedWhileIsolated = true
		l.dirty = true
	case event.Event == leased.EventUndescribed:
		l.readRecordsSoon()
	}
}

// readRecordsSoon makes the next read of the endpoints' records due at once.
func (l *Loop) readRecordsSoon() {
	select {
	case l.recordsWanted <- struct{}{}:
	default:
	}
}

// logCrash logs and counts a run under which its endpoint has crashed.
func (l *Loop) logCrash(crash *leased.Crash) {
	l.log.Warn("endpoint_crashed", zap.String("job", string(crash.Task.Job)), zap.Int("step", crash.Task.Step), zap.Int("task", crash.Task.Index),
		zap.Int("run", crash.Run), zap.String("endpoint", string(crash.Endpoint)), zap.String("queue", crash.Queue), zap.Bool("alone", crash.Alone), zap.Bool("unconfirmed", crash.Unconfirmed))
	l.metrics.crashes.WithLabelValues(crash.Queue, strconv.FormatBool(crash.Alone)).Inc()
}

func (l *Loop) publish() {
	s := &Snapshot{
		View: l.view, Configuration: l.directory.Configuration, Endpoints: l.directory.Endpoints,
		CellCounts: maps.Clone(l.cellCounts), FreeMilliCores: make(map[cells.Cell]int), Status: l.core.Status(), Stopping: l.stopping,
		Evacuations: l.directory.Evacuations, DomainShares: l.core.DomainShares(time.Now()),
		ProbesLog: l.jobLog != nil && l.roster.ProbesLog(time.Now()),
	}
	for cell, a := range l.peerCapacity {
		s.FreeMilliCores[cell] = lo.Sum(a.free)
	}
	for cell, free := range l.ownCapacity {
		s.FreeMilliCores[cell] = lo.Sum(free)
	}
	l.noteEmptied(s.Status.EvacuatedRuns)
	l.logShortage(s)
	l.snapshot.Store(s)
	l.metrics.publish(s)
}

// leave is a message that starts a planned stop: this entry gives up all cells.
type leave struct{}

func (leave) handle(l *Loop) {
	l.stopping = true
	l.roster.Leave()
	l.refresh(time.Now())
	l.assignEndpoints()
	for range 2 { // a datagram may be lost
		l.heartbeats.nextLocal, l.heartbeats.nextRemote = time.Time{}, time.Time{}
		l.sendHeartbeats(time.Now())
	}
	l.publish()
}
