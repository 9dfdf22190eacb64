package compare

import (
	"fmt"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

const (
	endpointDelay = 300 * time.Microsecond // one way, between the holder and its endpoints
	maxLease      = time.Second
)

// shortageSim runs a holder and its endpoints in virtual time.
type shortageSim struct {
	loop
	core       *leased.Core
	endpoints  map[leased.EndpointID]*leasedtest.Endpoint
	polls      map[leased.EndpointID][]poll
	wakeups    map[leased.EndpointID]time.Duration
	jobs       map[leased.JobID]*shortageJob
	answers    map[leased.JobID]leased.Answer
	answeredAt map[leased.JobID]time.Duration
	busy       float64 // core-seconds of the runs that were started
}

// poll is a Hold that waits at an endpoint.
type poll struct {
	sequence uint64
	until    time.Duration
}

func newShortageSim(policy leased.Policy) *shortageSim {
	s := &shortageSim{
		endpoints: make(map[leased.EndpointID]*leasedtest.Endpoint), polls: make(map[leased.EndpointID][]poll),
		wakeups: make(map[leased.EndpointID]time.Duration), jobs: make(map[leased.JobID]*shortageJob),
		answers: make(map[leased.JobID]leased.Answer), answeredAt: make(map[leased.JobID]time.Duration),
	}
	token := int64(0)
	s.core = leased.New(leased.Options{
		MaxLease: maxLease, Yields: func(string) bool { return false }, Policy: policy,
		NextToken: func(floor int64) int64 { token = max(token, floor) + 1; return token },
	})
	list := make([]leased.Endpoint, shortageEndpoints)
	for i := range list {
		id := leased.EndpointID(fmt.Sprintf("e%02d", i))
		list[i] = leased.Endpoint{ID: id, Address: string(id), Service: "s", FailureDomain: "a", Cell: "c",
			Capacity: leased.Demand{MilliCores: endpointCores * 1000, MemoryMiB: 64_000}}
		s.endpoints[id] = leasedtest.New(id, list[i].Capacity, s.start)
	}
	s.step(&leased.SetEndpoints{Endpoints: list})
	s.tick()
	return s
}

// start returns the work of a task that an endpoint starts, and counts it as used.
func (s *shortageSim) start(task leased.TaskID) leasedtest.Work {
	j := s.jobs[task.Job]
	s.busy += taskCores * j.runTime.Seconds()
	return leasedtest.Work{Demand: leased.Demand{MilliCores: taskCores * 1000, MemoryMiB: 64}, Time: j.runTime}
}

func (s *shortageSim) tick() {
	s.step(&leased.Tick{})
	s.after(leased.TickInterval, s.tick)
}

// submit submits a job and cancels it when its caller times out.
func (s *shortageSim) submit(ticket leased.Ticket, j *shortageJob) {
	s.jobs[j.id] = j
	s.step(&leased.Submit{Ticket: ticket, Job: leased.Job{
		ID: j.id, Service: "s", Queue: j.queue.name, Priority: j.queue.priority, MaxAttempts: 3,
		Stretch: shortageStretch, Slack: shortageSlack, CallerTimeout: callerTimeout,
		Steps: []leased.Step{{Tasks: j.tasks, Demand: leased.Demand{MilliCores: taskCores * 1000, MemoryMiB: 64}, Estimate: j.estimate}},
	}})
	s.after(callerTimeout, func() { s.step(&leased.Cancel{Ticket: ticket}) })
}

// step passes an input to the core and executes the resulting actions.
func (s *shortageSim) step(in leased.Input) {
	out := s.core.Step(epoch.Add(s.now), in)
	for _, start := range out.Starts {
		s.request(start.Endpoint, func(e *leasedtest.Endpoint) leased.Input { r := e.Start(s.now, &start); return &r })
	}
	for _, stop := range out.Stops {
		s.request(stop.Endpoint, func(e *leasedtest.Endpoint) leased.Input { r := e.Stop(s.now, &stop); return &r })
	}
	for _, h := range out.Holds {
		s.hold(h)
	}
	for _, a := range out.Answers {
		s.answers[a.Job], s.answeredAt[a.Job] = a, s.now
	}
}

func (s *shortageSim) request(id leased.EndpointID, handle func(*leasedtest.Endpoint) leased.Input) {
	s.after(endpointDelay, func() {
		reply := handle(s.endpoints[id])
		s.advance(id)
		s.after(endpointDelay, func() { s.step(reply) })
	})
}

func (s *shortageSim) hold(h leased.Hold) {
	s.after(endpointDelay, func() {
		e := s.endpoints[h.Endpoint]
		e.Advance(s.now)
		reply := e.Hold(s.now, &h)
		s.advance(h.Endpoint)
		if reply.Result != leased.HoldAnswered || e.HasUnacknowledged() || h.Wait == 0 {
			s.after(endpointDelay, func() { s.step(&reply) })
			return
		}
		s.polls[h.Endpoint] = append(s.polls[h.Endpoint], poll{h.Sequence, s.now + h.Wait})
		s.at(s.now+h.Wait, func() { s.advance(h.Endpoint) })
	})
}

// advance advances an endpoint and answers the polls that are due.
func (s *shortageSim) advance(id leased.EndpointID) {
	e := s.endpoints[id]
	e.Advance(s.now)
	waiting := s.polls[id]
	s.polls[id] = nil
	for _, p := range waiting {
		if !e.HasUnacknowledged() && s.now < p.until {
			s.polls[id] = append(s.polls[id], p)
			continue
		}
		reply := e.List(s.now, p.sequence)
		s.after(endpointDelay, func() { s.step(&reply) })
	}
	if next := e.NextEvent(); next != leasedtest.Never && s.wakeups[id] != next {
		s.wakeups[id] = next
		s.at(next, func() { s.advance(id) })
	}
}
