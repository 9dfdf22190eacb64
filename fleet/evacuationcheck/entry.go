package evacuationcheck

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lovagespread.example/dispatch/evacuation"
	"lovagespread.example/dispatch/leased"
	"lovagespread.example/fleet/follow"
	"lovagespread.example/membership/cells"
)

// Intervals and limits of an entry, as in package fleet.
const (
	heartbeatInterval = 110 * time.Millisecond
	refreshInterval   = 60 * time.Millisecond // of the view, in an idle loop
	assignInterval    = 250 * time.Millisecond
	snapshotTimeout   = 500 * time.Millisecond
	maxLease          = time.Second
	minAnnounced      = 1000 // millicores
	tokenLowBits      = 10
)

// entry is one incarnation of an entry. It makes the decisions of fleet.Loop that
// matter for starts, with the same packages.
type entry struct {
	*world
	index               int
	self                cells.Entry
	born                time.Duration
	alive               bool
	diedAt              time.Duration
	copy                *follow.Copy
	listed              bool
	failures            int
	requests            *evacuation.Requests
	core                *leased.Core
	roster              *cells.Roster
	view                *cells.View
	held                []leased.EndpointID
	nextAssign          time.Duration
	fencedWhileIsolated bool
	fetching            bool
	maxToken            int64
	lastTicket          leased.Ticket
	delegations         map[leased.TaskID]*delegation // to other entries
	received            map[leased.Ticket]*delegation // from other entries

	reads []*read
}

// boot starts an incarnation of an entry.
func (w *world) boot(index int) {
	w.lastInc++
	name := fmt.Sprintf("entry-%d", index)
	e := &entry{
		world: w, index: index, born: w.now, alive: true, copy: follow.NewCopy(w.time(), true),
		self: cells.Entry{
			Name: name, Address: name, HeartbeatAddress: name, FailureDomain: entryDomains[index],
			Incarnation: w.lastInc, Weight: 1, Interval: heartbeatInterval,
		},
		requests:    evacuation.NewRequests(Bound),
		delegations: make(map[leased.TaskID]*delegation), received: make(map[leased.Ticket]*delegation),
	}
	e.roster = cells.New(e.self, w.time())
	e.view = e.roster.View(w.time())
	e.core = leased.New(leased.Options{MaxLease: maxLease, NextToken: e.nextToken, Yields: e.yields})
	if old := w.entries[index]; old != nil {
		w.past = append(w.past, old)
	}
	w.entries[index] = e
	w.logf("%s starts as %d", name, e.self.Incarnation)
	e.follow()
	e.every(leased.TickInterval, func() { e.step(&leased.Tick{}) })
	e.every(refreshInterval, e.refresh)
	e.every(heartbeatInterval, e.sendHeartbeats)
	e.submitJobs()
}

// later runs do after a time, unless this incarnation has crashed by then.
func (e *entry) later(d time.Duration, do func()) {
	e.after(d, func() {
		if e.alive {
			do()
		}
	})
}

func (e *entry) every(d time.Duration, do func()) {
	e.later(d, func() { do(); e.every(d, do) })
}

// crash ends the incarnation. Its calls to other entries break.
func (e *entry) crash() {
	if !e.alive {
		return
	}
	e.logf("%s crashes", e.self.Name)
	e.alive, e.diedAt = false, e.now
	for _, id := range sortedTasks(e.delegations) {
		e.delegations[id].abandon()
	}
}

// refresh is fleet.Loop.refresh.
func (e *entry) refresh() {
	previous := e.view
	e.view = e.roster.View(e.time())
	changed := !slices.Equal(previous.Live, e.view.Live)
	if e.fencedWhileIsolated && !e.view.Isolated {
		e.fencedWhileIsolated, changed = false, true
	}
	if previous.SomeUnreachable != e.view.SomeUnreachable {
		e.step(&leased.SetReachability{SomeUnreachable: e.view.SomeUnreachable})
	}
	if changed || previous.Settled != e.view.Settled || previous.Isolated != e.view.Isolated || e.now >= e.nextAssign {
		e.assign()
	}
}

// assign is fleet.Loop.assignEndpoints.
func (e *entry) assign() {
	e.nextAssign = e.now + assignInterval
	var held []leased.Endpoint
	mayHold := e.requests.Known() || e.Mutant == HoldsBeforeRead
	for _, x := range e.endpoints {
		spec := x.spec
		if mayHold && !e.fencedWhileIsolated && e.view.Holds(cellOf(&spec)) {
			held = append(held, spec)
		}
	}
	e.step(&leased.SetEndpoints{Endpoints: held})
	e.held = e.held[:0]
	for _, spec := range held {
		e.held = append(e.held, spec.ID)
	}
}

func cellOf(spec *leased.Endpoint) cells.Cell {
	return cells.ForEndpoint(spec.FailureDomain, string(spec.ID), cellsPerDomain)
}

// nextToken is fleet.Loop.nextToken.
func (e *entry) nextToken(floor int64) int64 {
	next := max(max(e.maxToken, floor)>>tokenLowBits+1, e.time().UnixMilli())
	e.maxToken = next<<tokenLowBits | int64(e.self.Incarnation)%(1<<tokenLowBits)
	return e.maxToken
}

// yields is fleet.Loop.yields.
func (e *entry) yields(cell string) bool {
	for _, domain := range domains {
		for _, c := range cells.All(domain, cellsPerDomain) {
			if c.String() == cell {
				return !e.view.Reclaims(c)
			}
		}
	}
	return true
}

// requestsRead is fleet.evacuationsRead.handle.
func (e *entry) requestsRead() {
	progress, awaited := e.copy.Progress(), !e.requests.Known()
	e.apply(e.requests.ApplyRead(evacuation.Read{
		Offset: progress.Offset, Domains: requestedDomains(e.copy.Records()), Age: progress.Age,
		Touched: e.copy.Touched(func(key string) bool { return strings.HasPrefix(key, requestPrefix) }),
	}))
	if awaited {
		e.assign()
	}
}

// apply is fleet.Loop.applyEvacuations.
func (e *entry) apply(u evacuation.Update, accepted bool) {
	if !accepted || !u.Changed {
		return
	}
	e.logf("%s: %v in force at revision %d, late %v, from a peer %v", e.self.Name, u.Domains, u.Revision, u.Late, u.FromPeer)
	in := leased.SetEvacuations{Domains: u.Domains, Late: u.Late}
	switch e.Mutant {
	case UnboundedDrain:
		in.Late = false
	case UnawareHolder:
		in.Domains = slices.DeleteFunc(slices.Clone(in.Domains), func(domain string) bool { return !e.holdsAny(domain) })
	}
	e.step(&in)
	e.assign()
}

// holdsAny reports whether this entry holds any endpoint of a domain.
func (e *entry) holdsAny(domain string) bool {
	return slices.ContainsFunc(e.held, func(id leased.EndpointID) bool { return e.byID[id].spec.FailureDomain == domain })
}

// step passes an input to the core and executes the resulting actions.
func (e *entry) step(in leased.Input) {
	out := e.core.Step(e.time(), in)
	for i := range out.Starts {
		e.sendStart(out.Starts[i])
	}
	for i := range out.Stops {
		e.sendStop(out.Stops[i])
	}
	for i := range out.Holds {
		e.sendHold(out.Holds[i])
	}
	for _, d := range out.Delegations {
		e.delegate(d)
	}
	for _, c := range out.DelegateCancels {
		if d := e.delegations[c.Task]; d != nil {
			d.abandon()
		}
	}
	for _, a := range out.DelegatedAnswers {
		e.answerDelegated(a)
	}
	for _, event := range out.EndpointEvents {
		if event.Event == "endpoint_fenced" && e.view.Isolated {
			e.fencedWhileIsolated = true
		}
	}
}

// Callers' load. It takes about half of the capacity.
const (
	submitInterval = 220 * time.Millisecond
	callerTimeout  = 1500 * time.Millisecond
	taskMilliCores = 8000
)

// submitJobs submits jobs to this entry, wherever their callers should go: load in
// an evacuated domain must not matter.
func (e *entry) submitJobs() {
	e.later(e.between(submitInterval/2, 3*submitInterval/2), func() {
		e.lastJob++
		e.lastTicket++
		e.step(&leased.Submit{Ticket: e.lastTicket, Job: leased.Job{
			ID: leased.JobID(fmt.Sprintf("job-%d", e.lastJob)), Service: "s", Queue: "q", MaxAttempts: 2, Stretch: 1.6, Slack: 60 * time.Millisecond, CallerTimeout: callerTimeout,
			Steps: []leased.Step{{Tasks: 1 + e.rng.IntN(3), Demand: leased.Demand{MilliCores: taskMilliCores}, Estimate: 200 * time.Millisecond}},
		}})
		e.submitJobs()
	})
}
