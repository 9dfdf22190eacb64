package leased

import (
	"slices"
	"time"

	"lovagespread.example/dispatch/blame"
)

type taskState uint8

const (
	waitingTask taskState = iota
	placedTask
	delegatedTask
	suspended // waits to learn whether it has crashed its endpoints
	doneTask
)

type task struct {
	id             TaskID
	job            *job
	step           *Step
	state          taskState
	run            *run         // of a placed task
	failures       int          // number of failed runs
	crashes        blame.Record // of endpoints that ran the task
	losses         int          // endpoints that were lost with the task, and may have crashed
	lostAt         time.Time    // when the last of them was lost
	suspendedUntil time.Time
	runs           int           // number of the newest run
	moves          int           // runs stopped because of too little progress
	took           time.Duration // run time of the run that completed the task
	work           time.Duration // nominal run time, once it is known from a run (unequal.go)
	workedOn       EndpointID    // where that run was
	checkpoint     string
	avoid          EndpointID   // endpoint where the last run failed or was too slow
	failedOn       []EndpointID // endpoints where runs failed
	evidence       Evidence     // why no earlier run is active
	lostCell       string       // cell whose new holder may have an earlier run
	delegate       uint64       // holder that runs a delegated task
	delegatedCell  string       // cell of a delegated task
	searching      bool         // delegated to find an earlier run, not to start one
	delegatedAt    time.Time
}

type job struct {
	Job
	tickets []Ticket
	arrived time.Time
	expires time.Time // the caller's deadline
	// latestStart is when the job must start to be answered in time.
	latestStart time.Time
	due         time.Time // when the answer is due
	queued      bool      // in the queue
	class       class     // of a queued job
	tasks       [][]task  // by step
	remaining   []int     // tasks of each step that are not done
	begun       bool      // a run was started
	failed      bool      // a run has failed, or was lost with its endpoint
	delegated   bool      // one task of another holder's job
	suspect     bool      // of a delegated task: an endpoint was lost with it before
	origin      uint64    // of a delegated task: the entry that waits for its job; 0: the delegator, or not known
	// originHeardAt is when the delegator last heard the origin.
	originHeardAt time.Time
	cell          string // of a delegated task: the only cell where it may run, so that its run can be found again
}

func (j *job) task(id TaskID) *task {
	if id.Step < 0 || id.Step >= len(j.tasks) || id.Index < 0 || id.Index >= len(j.tasks[id.Step]) || id.Occurrence != 0 {
		return nil
	}
	return &j.tasks[id.Step][id.Index]
}

// ready reports whether all steps that a step depends on are done.
func (j *job) ready(step int) bool {
	for _, before := range j.Steps[step].After {
		if j.remaining[before] > 0 {
			return false
		}
	}
	return true
}

// resubmittedRunOffset is added to the run numbers of a resubmitted job, so that
// they exceed those of runs that another holder may have started.
const resubmittedRunOffset = 16

func (c *Core) submit(in *Submit) {
	if c.isLate(in.SentAt) {
		c.refuseLate(in)
		return
	}
	c.addCaller(in.Ticket, in.Caller, in.CallerHeardAt)
	c.recordCall(in.Ticket, in.CallerCall)
	earlier := c.takeOverTickets(&in.Job)
	if j := c.jobs[in.Job.ID]; j != nil {
		j.tickets = append(j.tickets, in.Ticket)
		c.tickets[in.Ticket] = j
		j.Movable = j.Movable && in.Job.Movable
		c.mergeProgress(&in.Job)
		return
	}
	j := c.newJob(in.Job, in.Ticket)
	for _, ticket := range earlier {
		j.tickets = append(j.tickets, ticket)
		c.tickets[ticket] = j
	}
	if in.Job.Stored {
		c.submitStored(j)
		return
	}
	if reason := c.unschedulableReason(&in.Job); reason != "" {
		c.finish(j, Rejected, reason, 0)
		return
	}
	if rejection := c.admit(j); rejection != nil {
		c.finish(j, Rejected, rejection.Error(), rejection.RetryAfter)
		return
	}
	if wait := c.expectedWait(); c.now.Add(wait+c.expectedRunTime(j)).After(j.expires) && !in.Job.Resubmitted {
		c.finish(j, Rejected, "the queue is longer than the caller waits", max(minRetryAfter, wait-spareTime(j, c)))
		return
	}
	c.jobs[j.ID] = j
	if in.Job.Resubmitted {
		c.claimRuns(j)
	}
	c.enqueue(j)
}

// refuseLate returns a job that was submitted by a late call.
func (c *Core) refuseLate(in *Submit) {
	c.out.Answers = append(c.out.Answers, Answer{
		Ticket: in.Ticket, Job: in.Job.ID, Verdict: Moved, Reason: "its call was delivered too late", EarlierRuns: c.mayHaveRuns(&in.Job),
	})
}

// mayHaveRuns reports whether a job is here, or a run of one of its tasks may be active.
func (c *Core) mayHaveRuns(spec *Job) bool {
	if c.jobs[spec.ID] != nil {
		return true
	}
	for s := range spec.Steps {
		for i := range spec.Steps[s].Tasks {
			id := TaskID{Job: spec.ID, Step: s, Index: i}
			if c.runs[id] != nil || c.unseen.possible(id, c.now) {
				return true
			}
		}
	}
	return false
}

// takeOverTickets removes a best-effort job that is here and was at another holder
// since, and returns its tickets. That holder may still start its tasks, so the runs
// here are stopped, and the tasks wait like those of any resubmitted job.
func (c *Core) takeOverTickets(spec *Job) []Ticket {
	j := c.jobs[spec.ID]
	if j == nil || j.Stored || !spec.Resubmitted || spec.OnlyHolder {
		return nil
	}
	c.removeJob(j, "another holder has had its job since")
	tickets := j.tickets
	j.tickets = nil
	return tickets
}

// submitStored accepts a stored job, which waits without a deadline.
func (c *Core) submitStored(j *job) {
	c.jobs[j.ID] = j
	c.restoreProgress(j)
	if j.complete() {
		c.finish(j, Completed, "", 0)
		return
	}
	if j.Resubmitted {
		c.claimRuns(j)
	}
	if c.jobs[j.ID] == j {
		c.enqueue(j)
	}
}

func (c *Core) newJob(spec Job, ticket Ticket) *job {
	j := &job{Job: spec, tickets: []Ticket{ticket}, arrived: c.now, expires: c.now.Add(spec.CallerTimeout)}
	runTime := criticalPath(spec.Steps, func(d time.Duration) time.Duration { return c.expectedTime(spec.Queue, d) })
	j.due = c.now.Add(span(spec.Stretch*float64(runTime)) + spec.Slack - spec.Waited)
	j.latestStart = j.due.Add(-runTime)
	j.tasks = make([][]task, len(spec.Steps))
	j.remaining = make([]int, len(spec.Steps))
	for s := range spec.Steps {
		step := &j.Steps[s]
		j.remaining[s] = step.Tasks
		j.tasks[s] = make([]task, step.Tasks)
		for i := range j.tasks[s] {
			t := &j.tasks[s][i]
			*t = task{id: TaskID{Job: spec.ID, Step: s, Index: i}, job: j, step: step}
			if spec.Resubmitted {
				t.runs = resubmittedRunOffset
				t.evidence = EvidenceOnlyHolder
			}
			if pause := c.resubmitPause(&spec); pause > 0 {
				c.unseen.add(t.id, c.now.Add(pause), "")
			}
			if c.unseen.possible(t.id, c.now) {
				t.evidence = EvidenceElapsed
			}
		}
	}
	c.tickets[ticket] = j
	return j
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// resubmitPause returns how long runs of a submitted job may be active without being
// seen: those under holders that had the job before. What is known here of runs that
// this holder has started is among its runs and unseen runs. Tasks of a stored job also
// wait until an owner that was replaced has noticed it, and the ends that others have
// seen are reported.
func (c *Core) resubmitPause(j *Job) time.Duration {
	switch {
	case !j.Resubmitted || j.OnlyHolder:
		return 0
	case j.Stored:
		return ownerGrace + c.remoteRunTimeout() + reportDelay
	}
	return c.remoteRunTimeout()
}

// claimRuns assigns the runs that were found on the endpoints to a resubmitted
// job.
func (c *Core) claimRuns(j *job) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			t := &j.tasks[s][i]
			if t.state != waitingTask {
				continue
			}
			if r := c.runs[t.id]; r != nil && r.task == nil && r.state == runRunning {
				c.adopt(t, r.endpoint, r)
				continue
			}
			if _, done := c.doneUnclaimed[t.id]; done {
				c.taskDone(t)
			}
		}
	}
}

// unschedulableReason returns why no endpoint can run a job, or "" if one may.
// Those of other holders may, as far as this core knows.
func (c *Core) unschedulableReason(j *Job) string {
	if len(c.announced) > 0 {
		return ""
	}
	known := false
	for s := range j.Steps {
		fits := false
		for _, e := range c.endpointList {
			if e.Service != j.Service || e.dropped {
				continue
			}
			known = true
			if j.Steps[s].fits(&e.Endpoint) {
				fits = true
				break
			}
		}
		if known && !fits {
			return "no endpoint of the service is large enough and has the label"
		}
	}
	return ""
}

func (c *Core) dropTicket(ticket Ticket) {
	delete(c.tickets, ticket)
	delete(c.callers, ticket)
}

func (c *Core) cancel(ticket Ticket) {
	j := c.tickets[ticket]
	if j == nil {
		return
	}
	if len(j.tickets) == 1 {
		c.removeJob(j, "its caller has disconnected")
	}
	c.dropTicket(ticket)
	j.tickets = slices.DeleteFunc(j.tickets, func(t Ticket) bool { return t == ticket })
}

// removeJob stops all runs of a job and removes it. The job still has its tickets, which
// bound the leases of the runs.
func (c *Core) removeJob(j *job, reason string) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			t := &j.tasks[s][i]
			switch t.state {
			case placedTask:
				c.revokeRun(t, reason)
			case delegatedTask:
				c.withdraw(t)
			}
			t.state = doneTask
		}
	}
	c.waiting.remove(j)
	if j.delegated {
		c.forgetDelegated(j)
		return
	}
	delete(c.jobs, j.ID)
}

// revokeRun stops the run of a task that is no longer wanted. It occupies the
// endpoint's capacity until it is listed as ended.
func (c *Core) revokeRun(t *task, reason string) {
	r := c.runs[t.id]
	if r == nil || r.task != t {
		return
	}
	c.sendStop(r.endpoint, r, reason)
	r.task = nil
	r.unclaimedSince = c.now
	r.leaseLimit = c.now.Add(c.opts.MaxLease)
	if limit := c.claimLimit(t.job); !limit.IsZero() && limit.Before(r.leaseLimit) {
		r.leaseLimit = limit // its caller was not heard, and relies on that
	}
}

// withdraw cancels a delegated task. The delegate does not confirm it.
func (c *Core) withdraw(t *task) {
	c.out.DelegateCancels = append(c.out.DelegateCancels, DelegateCancel{Task: t.id})
	c.addRemoteRun(t)
}

// addRemoteRun records that a task may run at its delegate. It may be on an endpoint that
// is no longer announced, of which a new holder of the cell knows nothing, so that its
// word does not settle it.
func (c *Core) addRemoteRun(t *task) {
	t.evidence = EvidenceElapsed
	c.unseen.add(t.id, c.now.Add(c.remoteRunTimeout()), "")
}

// finish answers all tickets of a job and removes it. A job that was submitted
// before may have run under another holder, so it is never rejected.
func (c *Core) finish(j *job, verdict Verdict, reason string, retryAfter time.Duration) {
	if verdict == Rejected && j.Resubmitted {
		verdict, retryAfter = Abandoned, 0
	}
	c.removeJob(j, reason)
	earlierRuns := verdict == Moved && c.earlierRunPossible(j)
	for _, t := range j.tickets {
		c.dropTicket(t)
		c.out.Answers = append(c.out.Answers, Answer{
			Ticket: t, Job: j.ID, Verdict: verdict, Reason: reason, RetryAfter: retryAfter, Took: c.now.Sub(j.arrived), EarlierRuns: earlierRuns,
		})
	}
	j.tickets = nil
}

// earlierRunPossible reports whether a run of a task of a job may be active without
// being seen.
func (c *Core) earlierRunPossible(j *job) bool {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			if c.unseen.possible(j.tasks[s][i].id, c.now) {
				return true
			}
		}
	}
	return false
}

// taskRunEnded applies the end of a task's run.
func (c *Core) taskRunEnded(t *task, end End, checkpoint string) {
	t.run = nil
	t.state = waitingTask
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	switch end {
	case EndDone:
		c.taskDone(t)
		return
	case EndNotRun:
		if t.searching {
			c.unseen.overIn(t.id, t.delegatedCell)
		}
	case EndFailed:
		t.failures++
		t.job.failed = true
		if n := len(t.failedOn); n > 0 {
			t.avoid = t.failedOn[n-1]
		}
		if t.failures >= max(1, t.job.MaxAttempts) {
			c.finish(t.job, Failed, "a task has used up its attempts", 0)
			return
		}
	case EndNoCapacity:
		if t.searching { // the delegate could not be reached
			c.addLostRun(t, t.delegatedCell)
		}
	case EndEndpointLost:
		c.endpointLost(t)
		return
	case EndUnknown:
		c.addLostRun(t, t.delegatedCell)
		c.addRemoteRun(t)
	}
	c.enqueue(t.job)
}

func (c *Core) taskDone(t *task) {
	j := t.job
	t.state = doneTask
	j.remaining[t.id.Step]--
	if j.Stored {
		c.storedDone[t.id] = c.now
	}
	c.markBegun(j)
	for _, left := range j.remaining {
		if left > 0 {
			if j.remaining[t.id.Step] == 0 {
				c.enqueue(j) // later steps may be ready
			}
			return
		}
	}
	c.finish(j, Completed, "", 0)
}

// enqueue adds a job to the queue.
func (c *Core) enqueue(j *job) {
	c.waiting.add(j, c.now)
	for s := range j.Steps {
		c.minDemand = min(c.minDemand, j.Steps[s].Demand.MilliCores)
	}
}

// dequeueIfPlaced removes a job without waiting tasks from the queue.
func (c *Core) dequeueIfPlaced(j *job) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			if j.tasks[s][i].state == waitingTask && j.ready(s) {
				return
			}
		}
	}
	c.waiting.remove(j)
}
