package dispatch

import (
	"math/rand/v2"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
)

// Options are the fixed parameters of a Core.
type Options struct {
	// Rand is the source of every random choice. Required.
	Rand *rand.Rand
	// Owner is the incarnation whose jobs the core may start. Zero: the
	// shell sees to it that only such jobs come in.
	Owner jobid.Incarnation
	// MaxWaiting bounds the tasks that wait for a slot. Default 10,000.
	MaxWaiting int
	// MaxAttempts bounds the attempts of one task. Default 3.
	MaxAttempts int
}

// Defaults of Options.
const (
	DefaultMaxWaiting  = 10_000
	DefaultMaxAttempts = 3
)

// Core decides admission, order, placement and the end of jobs. It is not
// safe for concurrent use: one goroutine owns it.
type Core struct {
	opts      Options
	now       time.Time
	ready     Ready
	catalog   *catalog.Catalog
	ledger    *ledger.Ledger
	jobs      map[jobid.ID]*job
	answers   map[jobid.ID]*Answer
	endpoints map[string]*endpoint
	byService map[string][]*endpoint
	waiting   []TaskRef
	running   map[TaskRef]string // endpoint of each started task without a fate
	share     SetShare
	draining  bool
}

type job struct {
	id        jobid.ID
	service   string
	specs     []TaskSpec
	results   [][]byte
	remaining int
	admitted  time.Time
	longest   time.Duration
}

type endpoint struct {
	Endpoint
	running int
}

// New returns a core without catalog or endpoints: it rejects every job until
// SetCatalog and SetEndpoints have come.
func New(opts Options) *Core {
	if opts.MaxWaiting == 0 {
		opts.MaxWaiting = DefaultMaxWaiting
	}
	if opts.MaxAttempts == 0 {
		opts.MaxAttempts = DefaultMaxAttempts
	}
	return &Core{
		opts:      opts,
		catalog:   &catalog.Catalog{},
		ledger:    ledger.New(opts.Owner),
		jobs:      make(map[jobid.ID]*job),
		answers:   make(map[jobid.ID]*Answer),
		endpoints: make(map[string]*endpoint),
		byService: make(map[string][]*endpoint),
		running:   make(map[TaskRef]string),
		share:     SetShare{Rank: 0, Entries: 1},
	}
}

// Step applies one input at the given time, which must not go back, and
// returns what has to be done. The result is valid until the next Step.
func (c *Core) Step(now time.Time, in Input) *Ready {
	c.now = now
	c.ready.reset()
	c.apply(in)
	c.place()
	return &c.ready
}

// NextTick returns the time by which Step wants a Tick at the latest.
func (c *Core) NextTick() time.Time { return c.now.Add(tickInterval) }

const tickInterval = 100 * time.Millisecond

// Open returns the number of jobs that were admitted and have not ended.
func (c *Core) Open() int { return len(c.jobs) }

func (c *Core) apply(in Input) {
	switch in := in.(type) {
	case *Submit:
		c.submit(in)
	case *Ask:
		c.ask(in.ID)
	case *HangUp:
	case *Cancel:
		c.cancel(in.ID)
	case *Done:
		c.done(in)
	case *Refused:
		c.resolve(in.Task, in.Attempt, ledger.FateNotStarted, "the endpoint refused the task")
	case *Failed:
		c.resolve(in.Task, in.Attempt, ledger.FateFailed, in.Detail)
	case *Lost:
		c.lost(in)
	case *SetEndpoints:
		c.setEndpoints(in.Endpoints)
	case *SetCatalog:
		c.catalog = in.Catalog
	case *SetShare:
		c.share = *in
	case *Drain:
		c.draining = true
	case *Tick:
		c.expire()
	}
}

func (c *Core) submit(in *Submit) {
	if c.ledger.State(in.ID) != ledger.Absent {
		c.ask(in.ID)
		return
	}
	if problem := c.refusal(in); problem != nil {
		c.refuse(in.ID, *problem)
		return
	}
	c.admit(in)
}

func (c *Core) refusal(in *Submit) *Problem {
	if in.ID.Expired(c.now) {
		return forgotten()
	}
	if c.draining {
		return notRun(CodeDraining, "this entry is stopping: submit again with a new job ID", time.Second)
	}
	for _, spec := range in.Tasks {
		name := serviceOf(in.Service, spec)
		if _, ok := c.catalog.Service(name); !ok {
			return notRun(CodeUnknownService, "service "+name+" is not in the services text: correct the name or publish it", 0)
		}
		if len(c.byService[name]) == 0 {
			return notRun(CodeNoEndpoint, "service "+name+" has no endpoint here: start one or submit again later", time.Second)
		}
	}
	if len(c.waiting)+len(in.Tasks) > c.opts.MaxWaiting {
		return notRun(CodeOverload, "too many tasks are waiting: submit again with a new job ID after the given time", time.Second)
	}
	return nil
}

func notRun(code Code, detail string, retryAfter time.Duration) *Problem {
	return &Problem{Code: code, Execution: NotRun, Detail: detail, RetryAfter: retryAfter}
}

func serviceOf(job string, spec TaskSpec) string {
	if spec.Service != "" {
		return spec.Service
	}
	return job
}

func (c *Core) admit(in *Submit) {
	idempotent := make([]bool, len(in.Tasks))
	for i, spec := range in.Tasks {
		service, _ := c.catalog.Service(serviceOf(in.Service, spec))
		idempotent[i] = service.Idempotent
	}
	c.ledger.Open(in.ID, idempotent)
	c.jobs[in.ID] = &job{
		id:        in.ID,
		service:   in.Service,
		specs:     in.Tasks,
		results:   make([][]byte, len(in.Tasks)),
		remaining: len(in.Tasks),
		admitted:  c.now,
	}
	for i := range in.Tasks {
		c.waiting = append(c.waiting, TaskRef{Job: in.ID, Index: i})
	}
	c.ready.Admissions = append(c.ready.Admissions, in.ID)
}

func (c *Core) ask(id jobid.ID) {
	switch c.ledger.State(id) {
	case ledger.Open:
		c.ready.Admissions = append(c.ready.Admissions, id)
	case ledger.Ended:
		c.answerAgain(id)
	case ledger.Closed:
		c.reject(id, *notRun("id_closed", "the job was refused earlier and was not run: submit it with a new job ID", 0))
	case ledger.Forgotten:
		c.reject(id, *forgotten())
	case ledger.Foreign:
		c.reject(id, *foreign())
	default:
		c.refuse(id, *notRun(CodeUnknownJob, "no job was submitted with this ID, which is closed now: submit the job with a new ID", 0))
	}
}

func (c *Core) answerAgain(id jobid.ID) {
	answer := c.answers[id]
	if answer == nil {
		c.reject(id, *forgotten())
		return
	}
	c.ready.Answers = append(c.ready.Answers, *answer)
}

// refuse closes the ID for good before it says that the job was not run.
func (c *Core) refuse(id jobid.ID, problem Problem) {
	if !c.ledger.Close(id) {
		problem.Execution = Unknown
	}
	c.reject(id, problem)
}

func foreign() *Problem {
	return &Problem{
		Code:       CodeNotOwner,
		Execution:  Unknown,
		Detail:     "another entry answers for this job ID: ask again, it will be forwarded",
		RetryAfter: time.Second,
	}
}

func forgotten() *Problem {
	return &Problem{
		Code:      CodeExpired,
		Execution: Unknown,
		Detail:    "the job ID has expired and its outcome is no longer kept: check the effects before you submit the job with a new ID",
	}
}

func (c *Core) reject(id jobid.ID, problem Problem) {
	c.ready.Rejections = append(c.ready.Rejections, Rejection{ID: id, Problem: problem})
}

func (c *Core) cancel(id jobid.ID) {
	j := c.jobs[id]
	if j == nil {
		c.ask(id)
		return
	}
	c.fail(j, CodeCancelled, "the caller cancelled the job")
}

func (c *Core) done(in *Done) {
	c.release(in.Task)
	if _, ok := c.ledger.Resolve(in.Task.Job, in.Task.Index, in.Attempt, ledger.FateDone); !ok {
		return
	}
	j := c.jobs[in.Task.Job]
	if j == nil {
		return
	}
	j.results[in.Task.Index] = in.Result
	j.remaining--
	j.longest = max(j.longest, in.RunTime)
	if j.remaining == 0 {
		c.end(j, nil)
	}
}

func (c *Core) lost(in *Lost) {
	fate := ledger.FateUnknown
	if in.NotSent {
		fate = ledger.FateNotStarted
	}
	c.resolve(in.Task, in.Attempt, fate, in.Detail)
}

func (c *Core) resolve(ref TaskRef, attempt int, fate ledger.Fate, detail string) {
	c.release(ref)
	state, ok := c.ledger.Resolve(ref.Job, ref.Index, attempt, fate)
	j := c.jobs[ref.Job]
	if !ok || j == nil {
		return
	}
	switch state {
	case ledger.Waiting:
		c.waiting = append(c.waiting, ref)
	case ledger.Failed:
		c.fail(j, CodeTaskFailed, detail)
	case ledger.Lost:
		c.fail(j, CodeTaskLost, detail)
	}
}

func (c *Core) fail(j *job, code Code, detail string) {
	execution := NotRun
	if c.ledger.Ran(j.id) {
		execution = Ran
	}
	c.end(j, &Problem{Code: code, Execution: execution, Detail: detail})
}

func (c *Core) end(j *job, problem *Problem) {
	c.ledger.End(j.id)
	delete(c.jobs, j.id)
	answer := &Answer{
		ID:       j.id,
		Service:  j.service,
		Problem:  problem,
		Response: c.now.Sub(j.admitted),
		Ideal:    j.longest,
	}
	if problem == nil {
		answer.Results = j.results
	}
	c.answers[j.id] = answer
	c.ready.Answers = append(c.ready.Answers, *answer)
}

func (c *Core) release(ref TaskRef) {
	if e := c.endpoints[c.running[ref]]; e != nil {
		e.running--
	}
	delete(c.running, ref)
}

func (c *Core) setEndpoints(list []Endpoint) {
	old := c.endpoints
	c.endpoints = make(map[string]*endpoint, len(list))
	c.byService = make(map[string][]*endpoint)
	for _, spec := range list {
		e := &endpoint{Endpoint: spec}
		if known := old[spec.Name]; known != nil {
			e.running = known.running
		}
		c.endpoints[spec.Name] = e
		c.byService[spec.Service] = append(c.byService[spec.Service], e)
	}
}

func (c *Core) place() {
	kept := c.waiting[:0]
	for _, ref := range c.waiting {
		j := c.jobs[ref.Job]
		if j == nil {
			continue
		}
		if !c.placeTask(j, ref) {
			kept = append(kept, ref)
		}
	}
	c.waiting = kept
}

func (c *Core) placeTask(j *job, ref TaskRef) bool {
	name := serviceOf(j.service, j.specs[ref.Index])
	best, eligible := c.pick(name)
	if best == nil {
		return false
	}
	attempt, ok := c.ledger.Start(ref.Job, ref.Index)
	if !ok {
		return true
	}
	service, _ := c.catalog.Service(name)
	best.running++
	c.running[ref] = best.Name
	c.ready.Starts = append(c.ready.Starts, Start{
		Task:     ref,
		Service:  name,
		Attempt:  attempt,
		Endpoint: best.Name,
		Address:  best.Address,
		LeaseEnd: c.now.Add(service.Timeout),
		Eligible: eligible,
		Reason:   ReasonLeastLoaded,
	})
	return true
}

func (c *Core) pick(service string) (best *endpoint, eligible int) {
	for _, e := range c.byService[service] {
		if e.State != EndpointLive || e.running >= c.slots(e) {
			continue
		}
		eligible++
		if best == nil || e.running < best.running {
			best = e
		}
	}
	return best, eligible
}

// slots returns the slots of e that this entry owns. The remainder of an
// uneven division goes to different entries at different endpoints.
func (c *Core) slots(e *endpoint) int {
	share := e.Slots / c.share.Entries
	if (c.share.Rank+len(e.Name))%c.share.Entries < e.Slots%c.share.Entries {
		share++
	}
	return share
}

func (c *Core) expire() {
	c.ledger.Expire(c.now)
	for id := range c.answers {
		if id.Expired(c.now) {
			delete(c.answers, id)
		}
	}
}
