package evacuationcheck

import (
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

// Limits of requests to endpoints.
const (
	callTimeout  = 120 * time.Millisecond
	startTimeout = 30 * time.Millisecond // of the first attempt; it doubles with each further one
	maxHoldDelay = 300 * time.Millisecond
)

// endpoint is an endpoint and the requests that wait there.
type endpoint struct {
	spec  leased.Endpoint
	state *leasedtest.Endpoint
	wake  time.Duration // when its state changes next
	polls []*poll
}

// poll is a Hold that waits for a run to end.
type poll struct {
	by       *entry
	sequence uint64
	until    time.Duration
}

func (w *world) addEndpoint(domain, name string) {
	id := leased.EndpointID(name)
	spec := leased.Endpoint{ID: id, Address: name, Service: "s", FailureDomain: domain, Capacity: leased.Demand{MilliCores: 2 * taskMilliCores}}
	spec.Cell = cellOf(&spec).String()
	x := &endpoint{spec: spec}
	x.state = leasedtest.New(id, spec.Capacity, func(leased.TaskID) leasedtest.Work {
		return leasedtest.Work{Demand: leased.Demand{MilliCores: taskMilliCores}, Time: w.between(100*time.Millisecond, 400*time.Millisecond)}
	})
	w.endpoints = append(w.endpoints, x)
	w.byID[id] = x
}

// sendStart sends a Start, which is what the bound limits.
func (e *entry) sendStart(s leased.Start) {
	x := e.byID[s.Endpoint]
	e.starts = append(e.starts, start{e, x.spec.FailureDomain, e.now})
	e.call(x, func() leased.Input { reply := x.state.Start(e.now, &s); return &reply },
		&leased.StartReply{Endpoint: s.Endpoint, Task: s.Task, Run: s.Run, Result: leased.StartUnanswered}, startTimeout<<(s.Attempt-1))
}

func (e *entry) sendStop(s leased.Stop) {
	x := e.byID[s.Endpoint]
	e.call(x, func() leased.Input { reply := x.state.Stop(e.now, &s); return &reply },
		&leased.StopReply{Endpoint: s.Endpoint, Task: s.Task, Run: s.Run}, callTimeout)
}

// call delivers a request to an endpoint and its reply to the entry. A lost one may
// be executed later.
func (e *entry) call(x *endpoint, handle func() leased.Input, noReply leased.Input, timeout time.Duration) {
	if e.chance(e.lossRate) {
		if e.chance(0.5) {
			e.after(e.between(0, 10*time.Second), func() { handle(); e.advance(x) })
		}
		e.later(timeout, func() { e.step(noReply) })
		return
	}
	e.after(networkDelay, func() {
		x.state.Advance(e.now)
		reply := handle()
		e.advance(x)
		e.later(networkDelay, func() { e.step(reply) })
	})
}

func (e *entry) sendHold(h leased.Hold) {
	x := e.byID[h.Endpoint]
	if e.chance(e.lossRate) {
		e.later(h.Wait+callTimeout, func() {
			e.step(&leased.HoldReply{Endpoint: h.Endpoint, Sequence: h.Sequence, Result: leased.HoldUnanswered})
		})
		return
	}
	e.after(networkDelay, func() {
		x.state.Advance(e.now)
		reply := x.state.Hold(e.now, &h)
		if reply.Result != leased.HoldAnswered || h.Wait == 0 || x.state.HasUnacknowledged() {
			e.later(networkDelay, func() { e.step(&reply) })
			e.advance(x)
			return
		}
		p := &poll{e, h.Sequence, e.now + min(h.Wait, maxHoldDelay)}
		x.polls = append(x.polls, p)
		e.at(p.until, func() { e.advance(x) })
		e.advance(x)
	})
}

// advance advances an endpoint to the present and answers the polls that are due.
func (w *world) advance(x *endpoint) {
	x.state.Advance(w.now)
	waiting := x.polls
	x.polls = nil
	for _, p := range waiting {
		if !x.state.HasUnacknowledged() && w.now < p.until {
			x.polls = append(x.polls, p)
			continue
		}
		reply := x.state.List(w.now, p.sequence)
		p.by.later(networkDelay, func() { p.by.step(&reply) })
	}
	if next := x.state.NextEvent(); next != leasedtest.Never && x.wake != next {
		x.wake = next
		w.at(max(next, w.now), func() { w.advance(x) })
	}
}
