package control

import (
	"context"
	"sync/atomic"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/evacuation"
	"lovagespread.example/entry/endpointclient"
	"lovagespread.example/membership"
)

// Limits of the loop.
const (
	queueLength = 8192 // messages
	maxBatch    = 512  // messages between two checks of the timer
)

// Endpoints carries out the actions of the core. Its methods do not block.
type Endpoints interface {
	Start(endpointclient.Task)
	Stop(dispatch.Stop)
}

// Observer is notified of what the loop does. Its methods must not block.
type Observer interface {
	BatchHandled(time.Duration)
	Published(*Snapshot)
	Answered(*dispatch.Answer)
	Rejected(*dispatch.Rejection)
	EvacuationChanged(evacuation.Change)
	// Emptied reports that no attempt of this entry runs in its evacuated failure
	// domain any more.
	Emptied(domain string)
}

// Options are the dependencies of a Loop.
type Options struct {
	Core      *dispatch.Core
	Tracker   *membership.Tracker
	Endpoints Endpoints
	Observer  Observer
}

// Loop owns the control state. Create it with New, run it with Run.
type Loop struct {
	opts     Options
	in       chan message
	done     chan struct{}
	snapshot atomic.Pointer[Snapshot]

	// Owned by the goroutine in Run.
	waiters     waiters
	submissions submissions
	catalog     *catalog.Catalog
	view        membership.View
	loads       loads

	handover handoverState
	emptied  bool // Observer.Emptied was called in this evacuation
}

// New returns a loop that handles no messages until Run is called.
func New(opts Options) *Loop {
	l := &Loop{
		opts:        opts,
		in:          make(chan message, queueLength),
		done:        make(chan struct{}),
		waiters:     make(waiters),
		submissions: make(submissions),
		catalog:     &catalog.Catalog{},
		loads:       make(loads),

		handover: newHandoverState(),
	}
	l.view, _ = opts.Tracker.Step(time.Now(), &membership.Tick{})
	l.publish()
	return l
}

// Run handles messages until the context ends. It must be called only once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	timer := time.NewTimer(l.untilTick())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.in:
			l.handleBatch(m)
		case <-timer.C:
			l.tick()
		}
		timer.Reset(l.untilTick())
	}
}

// minTickDelay is the minimum delay before the next tick. It keeps the timer in
// the future: a timer that is already due would advance the tick by less than
// this.
const minTickDelay = time.Millisecond

func (l *Loop) untilTick() time.Duration {
	return max(time.Until(l.opts.Core.NextTick()), minTickDelay)
}

// handleBatch handles a message and the messages that are queued behind it.
func (l *Loop) handleBatch(m message) {
	start := time.Now()
	m.handle(l)
	for range maxBatch {
		select {
		case next := <-l.in:
			next.handle(l)
			continue
		default:
		}
		break
	}
	l.opts.Observer.BatchHandled(time.Since(start))
}

func (l *Loop) tick() {
	l.step(&dispatch.Tick{})
	l.updateMembership(&membership.Tick{})
	l.publish()
	l.reportEmptied()
}

// step passes an input to the core and carries out the resulting actions. The
// result is valid until the next step.
func (l *Loop) step(in dispatch.Input) *dispatch.Ready {
	ready := l.opts.Core.Step(time.Now(), in)
	for _, id := range ready.Admissions {
		l.waiters.admit(id)
	}
	for i := range ready.Starts {
		l.start(&ready.Starts[i])
	}
	for _, stop := range ready.Stops {
		l.opts.Endpoints.Stop(stop)
	}
	for i := range ready.Answers {
		l.answer(ready.Answers[i])
	}
	for i := range ready.Rejections {
		l.reject(&ready.Rejections[i])
	}
	for _, change := range ready.Evacuations {
		l.opts.Observer.EvacuationChanged(change)
	}
	l.applyHandover(ready)
	return ready
}

func (l *Loop) start(s *dispatch.Start) {
	service, _ := l.catalog.Service(s.Service)
	l.loads[s.Service]++
	l.opts.Endpoints.Start(endpointclient.Task{
		Start:   *s,
		Label:   l.submissions.label(s.Task.Job),
		Payload: l.submissions.payload(s.Task),
		Needs:   l.submissions.needs(s.Task, service),
	})
}

func (l *Loop) answer(a dispatch.Answer) {
	l.opts.Observer.Answered(&a)
	delete(l.submissions, a.ID)
	l.waiters.finish(a.ID, event{answer: &a})
}

func (l *Loop) reject(r *dispatch.Rejection) {
	l.opts.Observer.Rejected(r)
	delete(l.submissions, r.ID)
	problem := r.Problem
	l.waiters.finish(r.ID, event{problem: &problem})
}

// setCatalog applies a version of the configuration.
func (l *Loop) setCatalog(c *catalog.Catalog, late bool) {
	l.catalog = c
	l.step(&dispatch.SetCatalog{Catalog: c, Late: late})
	l.setEndpoints()
	l.publish()
}

// setEndpoints passes the current endpoints to the core, with the drains that
// operators have set.
func (l *Loop) setEndpoints() {
	l.step(&dispatch.SetEndpoints{Endpoints: endpointsIn(l.view, l.catalog)})
}

// updateMembership passes an input to the membership tracker and a changed view
// to the core.
func (l *Loop) updateMembership(in membership.Input) {
	view, changed := l.opts.Tracker.Step(time.Now(), in)
	if !changed {
		return
	}
	l.view = view
	l.setEndpoints()
	l.step(&dispatch.SetShare{Rank: view.Rank, Entries: view.Entries})
	l.reportGoneOwners()
	l.publish()
}
