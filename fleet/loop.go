package fleet

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// Sizes and times of the loop.
const (
	queueLength = 8192 // messages
	idleTick    = 60 * time.Millisecond
	// assignInterval is how often holdings are looked at without any news:
	// failure domains become empty as time passes.
	assignInterval = 250 * time.Millisecond
	roomsMinFree   = 1000 // thousandths of a core; less is not announced
)

// Snapshot is an immutable picture of the control state.
type Snapshot struct {
	View          *cells.View
	Configuration *Configuration // nil: none yet
	Endpoints     []leased.Endpoint
	CellsOf       map[string]int     // cells of a failure domain
	Free          map[cells.Cell]int // announced free thousandths of a core
	Status        leased.Status
	Stopping      bool
}

// message is something that the loop handles.
type message interface{ handle(*Loop) }

// Loop owns the control state. Create it with newLoop, run it with run.
type Loop struct {
	settings  Settings
	log       *zap.Logger
	metrics   *metrics
	endpoints Endpoints
	peers     *peers
	beats     *beats
	in        chan message
	snapshot  atomic.Pointer[Snapshot]
	freezes   *freezeWatch
	reporter  *reporter // nil: kept jobs are not served

	// Owned by the goroutine in run.
	core       *leased.Core
	roster     *cells.Roster
	view       *cells.View
	directory  Directory
	dirty      bool // endpoints or holders may have changed
	nextAssign time.Time
	yielded    bool // fenced off while isolated: holds nothing until it hears others
	held       map[leased.EndpointID]bool
	cellsOf    map[string]int
	rooms      map[cells.Cell]announced
	maxToken   int64
	nextTick   leased.Ticket
	waiters    map[leased.Ticket]chan leased.Answer
	guests     map[leased.Ticket]chan leased.DelegatedAnswer
	lends      map[leased.TaskID]context.CancelFunc
	stopping   bool
	woke       time.Time // the latest end of a freeze that was dealt with
}

// announced is the free room of a cell as its holder has told.
type announced struct {
	holder cells.Incarnation
	at     time.Time
	free   []int
}

func newLoop(s Settings, self cells.Entry, endpoints Endpoints, log *zap.Logger, m *metrics, p *peers, f *freezeWatch) *Loop {
	l := &Loop{
		settings: s, log: log, metrics: m, endpoints: endpoints, peers: p, freezes: f,
		in:      make(chan message, queueLength),
		roster:  cells.New(self, time.Now()),
		held:    make(map[leased.EndpointID]bool),
		cellsOf: make(map[string]int),
		rooms:   make(map[cells.Cell]announced),
		waiters: make(map[leased.Ticket]chan leased.Answer),
		guests:  make(map[leased.Ticket]chan leased.DelegatedAnswer),
		lends:   make(map[leased.TaskID]context.CancelFunc),
	}
	l.core = leased.New(leased.Options{MaxLease: s.MaxLease, NextToken: l.nextToken, Yields: l.yields})
	l.view = l.roster.View(time.Now())
	l.publish()
	return l
}

// Latest returns the newest snapshot.
func (l *Loop) Latest() *Snapshot { return l.snapshot.Load() }

func (l *Loop) send(m message) { l.in <- m }

func (l *Loop) run(ctx context.Context) {
	l.freezes.look()
	l.expectLooks()
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.in:
			l.take(m)
		case <-timer.C:
			l.noticeFreeze()
			l.tick()
			timer.Reset(l.untilTick())
		}
	}
}

// take handles a message. What it says may be from before a freeze, so that is
// noticed first.
func (l *Loop) take(m message) {
	l.noticeFreeze()
	m.handle(l)
}

func (l *Loop) untilTick() time.Duration {
	s := l.core.Status()
	if s.Jobs > 0 || s.Running > 0 {
		return leased.TickInterval
	}
	return idleTick
}

func (l *Loop) tick() {
	now := time.Now()
	l.refresh(now)
	l.step(&leased.Tick{})
	l.sendBeats(now)
	l.publish()
}

// refresh takes the newest view of the entries, and the endpoints that follow
// from it.
func (l *Loop) refresh(now time.Time) {
	previous := l.view
	l.view = l.roster.View(now)
	if !sameEntries(previous, l.view) {
		l.dirty = true
		l.expectLooks()
		l.noteEntries(previous, l.view)
	}
	if l.yielded && !l.view.Isolated {
		l.yielded = false
		l.dirty = true
	}
	if previous.Lacking != l.view.Lacking {
		l.step(&leased.SetReachability{SomeUnreachable: l.view.Lacking})
	}
	standing := previous.Settled != l.view.Settled || previous.Isolated != l.view.Isolated || previous.Majority != l.view.Majority
	if l.dirty || standing || !now.Before(l.nextAssign) {
		l.dirty = false
		l.nextAssign = now.Add(assignInterval)
		l.assign()
	}
}

func sameEntries(a, b *cells.View) bool {
	return slices.EqualFunc(a.Live, b.Live, func(x, y cells.Entry) bool {
		return x.Incarnation == y.Incarnation && x.Leaving == y.Leaving
	})
}

// noteEntries logs who has come and gone, and ends the calls of and to those
// that are gone.
func (l *Loop) noteEntries(before, after *cells.View) {
	for _, e := range before.Live {
		if _, ok := after.Find(e.Incarnation); !ok {
			l.log.Warn("entry_gone", zap.String("entry", e.Name), zap.Uint64("incarnation", uint64(e.Incarnation)))
			l.peers.lost(e.Incarnation)
			l.forgetRooms(e.Incarnation)
		}
	}
	for _, e := range after.Live {
		if old, ok := before.Find(e.Incarnation); !ok || old.Leaving != e.Leaving {
			l.log.Info("entry_seen", zap.String("entry", e.Name), zap.String("failure_domain", e.FailureDomain),
				zap.Uint64("incarnation", uint64(e.Incarnation)), zap.Bool("leaving", e.Leaving))
		}
	}
}

func (l *Loop) forgetRooms(holder cells.Incarnation) {
	maps.DeleteFunc(l.rooms, func(_ cells.Cell, a announced) bool { return a.holder == holder })
}

// assign tells the core which endpoints this entry holds.
func (l *Loop) assign() {
	counts := make(map[string]int)
	for i := range l.directory.Endpoints {
		counts[l.directory.Endpoints[i].FailureDomain]++
	}
	for domain, n := range counts {
		l.cellsOf[domain] = cells.Count(n, l.settings.EndpointsPerCell)
	}
	var mine []leased.Endpoint
	holds := make(map[cells.Cell]bool)
	for _, e := range l.directory.Endpoints {
		cell := cells.Of(e.FailureDomain, string(e.ID), l.cellsOf[e.FailureDomain])
		hold, known := holds[cell]
		if !known {
			hold = !l.yielded && !l.stopping && l.view.Holds(cell)
			holds[cell] = hold
		}
		if hold {
			e.Cell = cell.String()
			mine = append(mine, e)
		}
	}
	l.step(&leased.SetEndpoints{Endpoints: mine})
}

// nextToken returns a fencing token above all that were seen. The low bits
// tell entries apart.
func (l *Loop) nextToken(floor int64) int64 {
	const low = 1 << tokenLowBits
	epoch := max(l.maxToken, floor)>>tokenLowBits + 1
	l.maxToken = epoch<<tokenLowBits | int64(uint64(l.view.Self.Incarnation)%low)
	return l.maxToken
}

// tokenLowBits is the number of bits of a token that tell entries apart.
const tokenLowBits = 10

func (l *Loop) yields(cell string) bool {
	for domain, n := range l.cellsOf {
		for _, c := range cells.All(domain, n) {
			if c.String() == cell {
				return !l.view.Insists(c)
			}
		}
	}
	return true
}

// step feeds the core and carries out what it decides.
func (l *Loop) step(in leased.Input) {
	out := l.core.Step(time.Now(), in)
	l.startAll(out.Starts)
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
		l.guestAnswer(out.DelegatedAnswers[i])
	}
	for i := range out.Delegations {
		l.lend(out.Delegations[i])
	}
	for _, cancel := range out.DelegateCancels {
		l.cancelLend(cancel.Task)
	}
	for i := range out.RunEnds {
		l.runEnded(&out.RunEnds[i])
	}
	for i := range out.EndpointEvents {
		l.note(&out.EndpointEvents[i])
	}
	for i := range out.Reports {
		l.report(out.Reports[i])
	}
}

// report has the owner of a kept job told of a run.
func (l *Loop) report(r leased.Report) {
	if l.reporter == nil {
		l.log.Error("report_impossible", zap.String("job", string(r.Task.Job)), zap.String("reason", "no log of jobs is set up here"))
		return
	}
	l.reporter.add(r)
}

func (l *Loop) note(n *leased.EndpointEvent) {
	l.log.Warn(n.Event, zap.String("endpoint", string(n.Endpoint)), zap.String("reason", n.Reason),
		zap.Int64("token", n.Token), zap.Int("runs", n.Runs))
	l.metrics.endpointEvents.WithLabelValues(n.Event).Inc()
	if n.Event == "endpoint_fenced" && l.view.Isolated {
		l.yielded = true
		l.dirty = true
	}
}

func (l *Loop) publish() {
	s := &Snapshot{
		View: l.view, Configuration: l.directory.Configuration, Endpoints: l.directory.Endpoints,
		CellsOf: maps.Clone(l.cellsOf), Free: make(map[cells.Cell]int), Status: l.core.Status(), Stopping: l.stopping,
	}
	for cell, a := range l.rooms {
		for _, free := range a.free {
			s.Free[cell] += free
		}
	}
	l.snapshot.Store(s)
	l.metrics.publish(s)
}

// suspectEntry notes that a call to an entry broke.
type suspectEntry struct{ id cells.Incarnation }

func (m suspectEntry) handle(l *Loop) {
	l.roster.Suspect(m.id)
	l.refresh(time.Now())
	l.publish()
}

// leave makes this entry hold nothing any more.
type leave struct{}

func (leave) handle(l *Loop) {
	l.stopping = true
	l.roster.Leave()
	l.refresh(time.Now())
	l.assign()
	for range 2 { // a datagram may be lost
		l.beats.nextFull = time.Time{}
		l.sendBeats(time.Now())
	}
	l.publish()
}
