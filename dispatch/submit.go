package dispatch

import (
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch/estimate"
	"lovagespread.example/dispatch/ledger"
	"lovagespread.example/dispatch/limit"
)

// burstAllowance is how much of its fair share a team may use ahead of time.
const burstAllowance = 5 * time.Second

func (c *Core) submit(in *Submit) {
	if c.ledger.State(in.ID) != ledger.Absent {
		c.ask(in.ID)
		return
	}
	if problem := c.refusal(in); problem != nil {
		c.refuse(in.ID, *problem)
		return
	}
	j := c.build(in)
	if problem := c.overload(j); problem != nil {
		c.refuse(in.ID, *problem)
		return
	}
	c.admit(j)
}

// refusal checks what does not depend on the load.
func (c *Core) refusal(in *Submit) *Problem {
	if in.ID.Expired(c.now) {
		return forgotten()
	}
	if c.draining {
		return notRun(CodeDraining, "this entry is stopping: submit again with a new job ID", time.Second)
	}
	for i := range in.Tasks {
		if problem := c.taskRefusal(serviceOf(in.Service, &in.Tasks[i]), &in.Tasks[i]); problem != nil {
			return problem
		}
	}
	return nil
}

func (c *Core) taskRefusal(name string, spec *TaskSpec) *Problem {
	s := c.services[name]
	if s == nil || !s.known {
		return notRun(CodeUnknownService, "service "+name+" is not in the services text: correct the name or publish it", 0)
	}
	if len(s.pool.All()) == 0 {
		return notRun(CodeNoEndpoint, "service "+name+" has no endpoint here: start one or submit again later", time.Second)
	}
	if spec.Needs != nil && !s.everFits(*spec.Needs) {
		return notRun(CodeNeverRuns, "no worker of service "+name+" is large enough for the task: declare smaller needs or add a larger worker", 0)
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

func serviceOf(job string, spec *TaskSpec) string {
	if spec.Service != "" {
		return spec.Service
	}
	return job
}

// build returns the job with what is expected of it. It is not admitted yet.
func (c *Core) build(in *Submit) *job {
	j := &job{
		id:       in.ID,
		submit:   in,
		service:  in.Service,
		team:     c.teamOf(in.Team),
		trace:    in.Parent,
		tasks:    make([]task, len(in.Tasks)),
		results:  make([][]byte, len(in.Tasks)),
		left:     len(in.Tasks),
		admitted: c.now,
	}
	j.groups = c.groupsOf(j, in)
	for i := range in.Tasks {
		c.buildTask(j, i, in)
	}
	c.fillView(j)
	return j
}

// groupsOf returns one group for each service of the job's tasks.
func (c *Core) groupsOf(j *job, in *Submit) []group {
	groups := make([]group, 0, 1)
	for i := range in.Tasks {
		s := c.services[serviceOf(in.Service, &in.Tasks[i])]
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
	s := c.services[serviceOf(in.Service, spec)]
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
	j.view.Declared += spec.Declared
	if c.opts.Expect != nil {
		t.expected = c.opts.Expect(TaskRef{Job: in.ID, Index: i})
	} else {
		t.expected = s.runs.ExpectedRunTime(j.team.index, spec.Declared)
	}
}

func (c *Core) fillView(j *job) {
	v := &j.view
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

// overload checks quotas and the bounds of the queues.
func (c *Core) overload(j *job) *Problem {
	for i := range j.groups {
		if limit.Full(c.opts.MaxWaiting, c.waiting, j.groups[i].service.waiting, len(j.tasks)) {
			return notRun(CodeOverload, "too many tasks are waiting: submit again with a new job ID after the given time", time.Second)
		}
		if problem := c.groupOverload(&j.groups[i]); problem != nil {
			return problem
		}
	}
	return c.overQuota(j)
}

func (c *Core) groupOverload(g *group) *Problem {
	if c.opts.Off.has(Admission) {
		return nil
	}
	load := c.load(g)
	wait := g.service.acceptableWait()
	if limit.Admit(load, wait) {
		return nil
	}
	return notRun(CodeOverload, "service "+g.service.spec.Name+" is overloaded: submit again with a new job ID after the given time", limit.RetryAfter(load, wait))
}

func (c *Core) load(g *group) limit.Load {
	s := g.service
	slots := float64(max(s.pool.Slots(), 1))
	return limit.Load{
		All:  time.Duration(float64(s.backlog) / slots),
		Team: time.Duration(float64(g.job.team.at(s).backlog) / s.fairShare(g.job.team)),
	}
}

// acceptableWait returns the longest expected wait that callers bear.
func (s *service) acceptableWait() time.Duration {
	const part = 2 // the rest of the patience is for running
	if known := s.patience.Estimate(); known > 0 {
		return min(known/part, limit.DefaultMaxWait)
	}
	return limit.DefaultMaxWait
}

// fairShare returns the slots of a service that a team may claim under
// contention.
func (s *service) fairShare(t *team) float64 {
	weight := s.weight
	if t.at(s).open == 0 {
		weight += t.weight
	}
	return float64(max(s.pool.Slots(), 1)) * float64(t.weight) / float64(weight)
}

func (c *Core) overQuota(j *job) *Problem {
	spec := &j.team.spec
	if spec.TasksPerSecond <= 0 {
		return nil
	}
	wait, ok := j.team.bucket.Take(c.now, len(j.tasks), spec.TasksPerSecond, spec.Burst)
	if ok {
		return nil
	}
	return notRun(CodeQuota, "team "+spec.Name+" is over its quota: submit again with a new job ID after the given time", wait)
}

func notRun(code Code, detail string, retryAfter time.Duration) *Problem {
	return &Problem{Code: code, Execution: NotRun, Detail: detail, RetryAfter: retryAfter}
}

func (c *Core) admit(j *job) {
	idempotent := make([]bool, len(j.tasks))
	for i := range j.tasks {
		idempotent[i] = j.tasks[i].group.service.spec.Idempotent
	}
	c.ledger.Open(j.id, idempotent)
	c.jobs[j.id] = j
	c.open++
	c.admitted.Push(j)
	j.view.Arrived = c.join(j.trace)
	j.view.VirtualStart = c.turn(j)
	c.enqueueAll(j)
	c.ready.Admissions = append(c.ready.Admissions, j.id)
}

// turn returns the latest turn that a job's team has at its services.
func (c *Core) turn(j *job) time.Time {
	turn := j.view.Arrived
	if c.opts.Off.has(FairShare) {
		return turn
	}
	for i := range j.groups {
		s := j.groups[i].service
		clock := &j.team.at(s).clock
		if s.waiting == 0 {
			clock.Reset()
			continue
		}
		if at := clock.Advance(c.now, j.view.Work, s.fairShare(j.team), burstAllowance); at.After(c.now) {
			turn = at
		}
	}
	return turn
}
