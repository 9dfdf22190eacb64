package compare

import (
	"math/rand/v2"
	"slices"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
)

// Times of the simulation.
const (
	oneWay     = 500 * time.Microsecond // network delay between entries and endpoints
	warmUp     = 3 * time.Second        // jobs that arrive earlier are not measured
	idLifetime = 15 * time.Minute
)

var epoch = time.Unix(1_800_000_000, 0)

// entry is a dispatch core with its issuer of job IDs.
type entry struct {
	core   *dispatch.Core
	issuer *jobid.Issuer
	tickAt time.Duration // of the next scheduled tick
}

// pendingJob is a job that was submitted and has no answer yet.
type pendingJob struct {
	*Job
	submitter      *entry
	submitted      time.Duration // time of this submission
	disconnected   bool          // the caller has disconnected
	firstSubmitted time.Duration // time of the first submission of the same request
	resubmitted    bool          // the request was submitted again
}

// sim is a run of one policy in one scenario.
type sim struct {
	loop
	scenario     *Scenario
	entries      []*entry
	endpoints    map[string]*endpoint
	endpointList []*endpoint
	jobs         map[jobid.ID]*pendingJob
	results      *Results
	end          time.Duration
	lateBinding  bool // tasks are sent to free slots only; endpoints refuse others
}

// Run runs one scenario under one policy.
func Run(scenario *Scenario, policy Policy, seed uint64) *Results {
	s := &sim{
		scenario:    scenario,
		endpoints:   make(map[string]*endpoint),
		jobs:        make(map[jobid.ID]*pendingJob),
		results:     newResults(),
		end:         scenario.Duration,
		lateBinding: !policy.earlyBinding,
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	s.addEndpoints()
	jobs := scenario.generate(rng)
	s.addEntries(policy, seed)
	for i := range jobs {
		j := &jobs[i]
		s.at(j.Arrival, func() { s.submit(j, j.Arrival) })
	}
	scenario.injectFaults(s, rand.New(rand.NewPCG(seed, 2)))
	s.runUntil(s.end + drainTime)
	s.results.Unanswered = s.unanswered()
	return s.results
}

// drainTime is how long a run continues after the last arrival.
const drainTime = 60 * time.Second

func (s *sim) unanswered() (n int) {
	for _, j := range s.jobs {
		if j.Arrival >= warmUp {
			n++
		}
	}
	return n
}

func (s *sim) addEndpoints() {
	for _, spec := range s.scenario.endpointSpecs() {
		e := &endpoint{spec: spec, attempts: make(map[attemptKey]*attempt)}
		s.endpoints[spec.Name] = e
		s.endpointList = append(s.endpointList, e)
	}
}

func (s *sim) addEntries(policy Policy, seed uint64) {
	services := make([]catalog.Service, 0, len(s.scenario.profiles))
	for _, profile := range s.scenario.profiles {
		services = append(services, profile.service)
		s.results.idempotent[profile.service.Name] = profile.service.Idempotent
	}
	serviceCatalog := &catalog.Catalog{Version: 1, Services: services, Teams: s.scenario.teams()}
	for i := range s.scenario.Entries {
		issuer, err := jobid.NewIssuer(jobid.Incarnation(i+1), jobid.Key{Number: 1, Secret: make([]byte, jobid.MinKeyBytes)})
		if err != nil {
			panic(err) // not reached: the key above has the required length
		}
		en := &entry{issuer: issuer, core: dispatch.New(policy.options(rand.New(rand.NewPCG(seed, uint64(3+i))), s.trueRunTime))}
		s.entries = append(s.entries, en)
		s.step(en, &dispatch.SetCatalog{Catalog: serviceCatalog})
		if s.scenario.Overlap {
			continue
		}
		s.step(en, &dispatch.SetShare{Rank: i, Entries: s.scenario.Entries})
	}
	s.setEndpoints(func(*endpoint) dispatch.EndpointState { return dispatch.EndpointLive })
}

func (s *sim) trueRunTime(ref dispatch.TaskRef) time.Duration {
	return s.jobs[ref.Job].Tasks[ref.Index].RunTime
}

// setEndpoints sets the list of endpoints of every entry.
func (s *sim) setEndpoints(stateOf func(*endpoint) dispatch.EndpointState) {
	list := make([]dispatch.Endpoint, 0, len(s.endpointList))
	for _, e := range s.endpointList {
		spec := e.spec
		spec.State = stateOf(e)
		list = append(list, spec)
	}
	for _, en := range s.entries {
		s.step(en, &dispatch.SetEndpoints{Endpoints: slices.Clone(list)})
	}
}

func (s *sim) submit(j *Job, firstSubmitted time.Duration) {
	en := s.entries[0]
	if len(s.entries) > 1 {
		en = s.entries[int(s.seq)%len(s.entries)]
	}
	id, _ := en.issuer.Issue(epoch.Add(s.now), idLifetime)
	pending := &pendingJob{Job: j, submitter: en, submitted: s.now, firstSubmitted: firstSubmitted}
	s.jobs[id] = pending
	specs := make([]dispatch.TaskSpec, len(j.Tasks))
	for i, t := range j.Tasks {
		specs[i].Declared = t.Declared
	}
	s.after(j.CallerTimeout, func() { s.disconnect(id) })
	if j.CancelAt > 0 {
		s.after(j.CancelAt, func() { s.cancel(id) })
	}
	s.step(en, &dispatch.Submit{ID: id, Team: j.Team, Service: j.Service, Tasks: specs})
}

func (s *sim) disconnect(id jobid.ID) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	j.disconnected = true
	if s.scenario.Resubmit {
		s.submit(j.Job, j.firstSubmitted)
		j.resubmitted = true
	}
	s.step(j.submitter, &dispatch.Disconnect{ID: id})
}

func (s *sim) cancel(id jobid.ID) {
	if j := s.jobs[id]; j != nil {
		s.step(j.submitter, &dispatch.Cancel{ID: id})
	}
}

// step passes one input to a core and executes the returned actions.
func (s *sim) step(en *entry, in dispatch.Input) {
	ready := en.core.Step(epoch.Add(s.now), in)
	for _, start := range ready.Starts {
		s.send(en, start)
	}
	for _, stop := range ready.Stops {
		s.sendStop(stop)
	}
	for _, rejection := range ready.Rejections {
		s.handleRejection(rejection)
	}
	for i := range ready.Answers {
		s.handleAnswer(&ready.Answers[i])
	}
	s.scheduleTick(en)
}

func (s *sim) scheduleTick(en *entry) {
	at := en.core.NextTick().Sub(epoch)
	if at >= s.end+drainTime || (en.tickAt > s.now && en.tickAt <= at) {
		return
	}
	en.tickAt = at
	s.at(at, func() {
		if en.tickAt == at {
			en.tickAt = 0
			s.step(en, &dispatch.Tick{})
		}
	})
}

func (s *sim) send(en *entry, start dispatch.Start) {
	switch {
	case start.Hedge:
		s.results.count(messageHedge)
	case start.Attempt > 1:
		s.results.count(messageRetry)
	default:
		s.results.count(messageTask)
	}
	pending := s.jobs[start.Task.Job]
	a := &attempt{start: start, sender: en, task: &pending.Tasks[start.Task.Index]}
	e := s.endpoints[start.Endpoint]
	s.after(oneWay, func() { s.receive(e, a) })
}

func (s *sim) sendStop(stop dispatch.Stop) {
	s.results.count(messageStop)
	e := s.endpoints[stop.Endpoint]
	key := attemptKey{task: stop.Task, attempt: stop.Attempt}
	s.after(oneWay, func() { s.stop(e, key) })
}

// handleRejection ends a job that was not admitted. A caller that retries
// submits it again after the time that the rejection names.
func (s *sim) handleRejection(r dispatch.Rejection) {
	j := s.jobs[r.ID]
	if j == nil {
		return
	}
	delete(s.jobs, r.ID)
	if j.resubmitted {
		return
	}
	wait := r.Problem.RetryAfter
	if s.scenario.Resubmit && wait > 0 && s.now+wait < j.firstSubmitted+s.scenario.RetryWindow {
		s.after(wait, func() { s.submit(j.Job, j.firstSubmitted) })
		return
	}
	if j.Arrival < warmUp {
		return
	}
	s.results.arrivalsIn(j.Arrival).all++
	s.results.forEachResult(j.Job, func(r *ServiceResult) { r.Refused++ })
}

func (s *sim) handleAnswer(answer *dispatch.Answer) {
	j := s.jobs[answer.ID]
	if j == nil {
		return
	}
	delete(s.jobs, answer.ID)
	inTime := answer.Problem == nil && !j.disconnected
	if inTime && s.now >= warmUp && s.now < s.end {
		s.results.InTimeWork += j.work()
	}
	if j.Arrival < warmUp || j.resubmitted {
		return
	}
	response := s.now - j.firstSubmitted
	arrival := s.results.arrivalsIn(j.Arrival)
	arrival.all++
	if inTime {
		arrival.inTime++
	}
	s.results.forEachResult(j.Job, func(r *ServiceResult) { r.record(answer, inTime, float64(response)/float64(j.Ideal)) })
}

func (r *ServiceResult) record(answer *dispatch.Answer, inTime bool, slowdown float64) {
	if answer.Problem != nil {
		r.Failed++
		return
	}
	r.Complete++
	if inTime {
		r.InTime++
	}
	value := min(int64(slowdown*slowdownScale), maxSlowdown)
	_ = r.slowdown.RecordValue(value) // cannot fail: the value is in range
}
