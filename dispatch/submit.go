package dispatch

import (
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/estimate"
	"lovagespread.example/dispatch/ledger"
	"lovagespread.example/dispatch/limit"
)

// maxFairShareBurst is how far a team may be ahead of its fair share before its
// jobs are ordered later.
const maxFairShareBurst = 5 * time.Second

func (c *Core) submit(in *Submit) {
	if c.ledger.State(in.ID) != ledger.Absent {
		c.ask(in.ID)
		return
	}
	if problem := c.validateJob(in); problem != nil {
		c.rejectAndClose(in.ID, *problem)
		return
	}
	j := c.newJob(in)
	if problem := c.checkLoad(j); problem != nil {
		c.rejectAndClose(in.ID, *problem)
		return
	}
	c.admit(j)
}

// validateJob checks the conditions of admission that do not depend on the load.
func (c *Core) validateJob(in *Submit) *Problem {
	if in.ID.Expired(c.now) {
		return expired()
	}
	if c.draining {
		return notRunProblem(CodeDraining, "this entry is stopping: submit again with a new job ID", time.Second)
	}
	for i := range in.Tasks {
		if problem := c.validateTask(serviceName(in.Service, &in.Tasks[i]), &in.Tasks[i]); problem != nil {
			return problem
		}
	}
	return nil
}

func (c *Core) validateTask(name string, spec *TaskSpec) *Problem {
	s := c.services[name]
	if s == nil || !s.known {
		return notRunProblem(CodeUnknownService, "service "+name+" is not in the services file: correct the name or publish it", 0)
	}
	if len(s.pool.All()) == 0 {
		return notRunProblem(CodeNoEndpoint, "service "+name+" has no endpoint here: start one or submit again later", time.Second)
	}
	if c.isEvacuated(s) {
		return evacuatedProblem(s)
	}
	if spec.Needs != nil && !s.everFits(*spec.Needs) {
		return notRunProblem(CodeNeverRuns, "no worker of service "+name+" is large enough for the task: declare smaller needs or add a larger worker", 0)
	}
	return nil
}

func (s *service) everFits(needs catalog.Resources) bool {
	for _, e := range s.pool.All() {
		if e.Worker.FitsWhenIdle(needs) {
			return true
		}
	}
	return false
}

func serviceName(job string, spec *TaskSpec) string {
	if spec.Service != "" {
		return spec.Service
	}
	return job
}

// newJob returns a job that is not admitted yet, with its estimates.
func (c *Core) newJob(in *Submit) *job {
	j := &job{
		id:         in.ID,
		submit:     in,
		service:    in.Service,
		team:       c.teamOf(in.Team),
		trace:      in.TraceID,
		tasks:      make([]task, len(in.Tasks)),
		results:    make([][]byte, len(in.Tasks)),
		unfinished: len(in.Tasks),
		admitted:   c.now,
	}
	j.groups = c.groupsOf(j, in)
	for i := range in.Tasks {
		c.buildTask(j, i, in)
	}
	c.estimateJob(j)
	return j
}

// groupsOf returns one group for each service of the job's tasks.
func (c *Core) groupsOf(j *job, in *Submit) []group {
	groups := make([]group, 0, 1)
	for i := range in.Tasks {
		s := c.services[serviceName(in.Service, &in.Tasks[i])]
		if groupAt(groups, s) == nil {
			groups = append(groups, group{job: j, service: s})
		}
	}
	return groups
}

func groupAt(groups []group, s *service) *group {
	for i := range groups {
		if groups[i].service == s {
			return &groups[i]
		}
	}
	return nil
}

func (c *Core) buildTask(j *job, i int, in *Submit) {
	spec := &in.Tasks[i]
	s := c.services[serviceName(in.Service, spec)]
	g := groupAt(j.groups, s)
	g.item.Value = g
	g.waiting = append(g.waiting, int32(i))
	t := &j.tasks[i]
	t.group = g
	t.needs = s.spec.Needs
	if spec.Needs != nil {
		t.needs = *spec.Needs
	}
	t.class = estimate.ClassOf(spec.Declared)
	j.urgency.Declared += spec.Declared
	if c.opts.ExpectedRunTime != nil {
		t.expected = c.opts.ExpectedRunTime(TaskRef{Job: in.ID, Index: i})
	} else {
		t.expected = s.runs.ExpectedRunTime(j.team.index, spec.Declared)
	}
}

// estimateJob estimates the total work of a job and its response time in an idle
// system.
func (c *Core) estimateJob(j *job) {
	v := &j.urgency
	v.Arrived, v.VirtualStart = c.now, c.now
	for i := range j.groups {
		g := &j.groups[i]
		var work, longest time.Duration
		for _, index := range g.waiting {
			t := &j.tasks[index]
			work += t.expected
			longest = max(longest, t.expected)
		}
		v.Work += work
		v.Ideal = max(v.Ideal, longest, work/time.Duration(max(g.service.pool.Slots(), 1)))
	}
}

// checkLoad checks the queue limits, the expected wait and the team's quota.
func (c *Core) checkLoad(j *job) *Problem {
	for i := range j.groups {
		if limit.Full(c.opts.MaxWaiting, c.waiting, j.groups[i].service.waiting, len(j.tasks)) {
			return notRunProblem(CodeOverload, "too many tasks are waiting: submit again with a new job ID after the given time", time.Second)
		}
		if problem := c.checkGroupLoad(&j.groups[i]); problem != nil {
			return problem
		}
	}
	return c.checkQuota(j)
}

func (c *Core) checkGroupLoad(g *group) *Problem {
	if c.opts.Disabled.has(Admission) {
		return nil
	}
	load := c.groupLoad(g)
	wait := g.service.acceptableWait()
	if limit.Admit(load, wait) {
		return nil
	}
	return notRunProblem(CodeOverload, "service "+g.service.spec.Name+" is overloaded: submit again with a new job ID after the given time", limit.RetryAfter(load, wait))
}

func (c *Core) groupLoad(g *group) limit.Load {
	s := g.service
	slots := float64(max(s.pool.Slots(), 1))
	return limit.Load{
		All:  time.Duration(float64(s.backlog) / slots),
		Team: time.Duration(float64(g.job.team.usageOf(s).backlog) / s.fairShare(g.job.team)),
	}
}

// acceptableWait returns the longest expected wait for which jobs are admitted:
// half of the time after which callers disconnect, if that is known, and at most
// limit.DefaultMaxWait.
func (s *service) acceptableWait() time.Duration {
	const part = 2 // the other half is for running
	if known := s.callerTimeout.Estimate(); known > 0 {
		return min(known/part, limit.DefaultMaxWait)
	}
	return limit.DefaultMaxWait
}

// fairShare returns the slots of a service that a team may claim under
// contention.
func (s *service) fairShare(t *team) float64 {
	weight := s.weight
	if t.usageOf(s).open == 0 {
		weight += t.weight
	}
	return float64(max(s.pool.Slots(), 1)) * float64(t.weight) / float64(weight)
}

func (c *Core) checkQuota(j *job) *Problem {
	spec := &j.team.spec
	if spec.TasksPerSecond <= 0 {
		return nil
	}
	wait, ok := j.team.bucket.Take(c.now, len(j.tasks), spec.TasksPerSecond, spec.Burst)
	if ok {
		return nil
	}
	return notRunProblem(CodeQuota, "team "+spec.Name+" is over its quota: submit again with a new job ID after the given time", wait)
}

func notRunProblem(code Code, detail string, retryAfter time.Duration) *Problem {
	return &Problem{Code: code, Execution: NotRun, Detail: detail, RetryAfter: retryAfter}
}

func (c *Core) admit(j *job) {
	idempotent := make([]bool, len(j.tasks))
	for i := range j.tasks {
		idempotent[i] = j.tasks[i].group.service.spec.Idempotent
	}
	c.ledger.Open(j.id, idempotent)
	c.jobs[j.id] = j
	c.openCount++
	c.admissionOrder.Push(j)
	j.urgency.Arrived = c.joinTrace(j.trace)
	j.urgency.VirtualStart = c.virtualStart(j)
	c.enqueueAll(j)
	c.ready.Admissions = append(c.ready.Admissions, j.id)
}

// virtualStart returns the virtual start time of a job: its arrival, or later if
// its team exceeds its fair share of one of the job's services.
func (c *Core) virtualStart(j *job) time.Time {
	start := j.urgency.Arrived
	if c.opts.Disabled.has(FairShare) {
		return start
	}
	for i := range j.groups {
		s := j.groups[i].service
		clock := &j.team.usageOf(s).clock
		if s.waiting == 0 {
			clock.Reset()
			continue
		}
		if teamStart := clock.Advance(c.now, j.urgency.Work, s.fairShare(j.team), maxFairShareBurst); teamStart.After(c.now) {
			start = teamStart
		}
	}
	return start
}
