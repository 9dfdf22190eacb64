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
	suspended     // waits to learn whether it has crashed its endpoints
	uncountedTask // delegated to this core, failed or lost, and not returned before that is counted
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
	learnedAt      time.Time    // when the owner of the stored job last told what it knows
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
	lostEndpoint   EndpointID   // endpoint of that run; empty: not known
	delegate       uint64       // holder that runs a delegated task
	delegatedCell  string       // cell of a delegated task
	refusedBy      []string     // cells that have refused a task that requires a label (labels.go)
	searching      bool         // delegated to find an earlier run, not to start one
	searchedOn     EndpointID   // where the search is for that run; empty: not known
	delegatedAt    time.Time
	// endInDoubt is set for a task of a stored job if an earlier run may have ended unseen.
	endInDoubt     bool
	remoteSince    time.Time // since when that may have been seen by another entry; zero: it was not
	restartRequest uint64    // number of the unanswered request to start the task again; 0: none
	superseded     int       // ends of runs up to this number do not count
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
	begun       bool      // a run was started, or a task was delegated
	// begunReported is set once the owner of a stored job was told that a run has begun.
	begunReported bool
	failed        bool   // a run has failed, or was lost with its endpoint
	delegated     bool   // one task of another holder's job
	suspect       bool   // of a delegated task: an endpoint was lost with it before
	origin        uint64 // of a delegated task: the entry that waits for its job; 0: the delegator, or not known
	// originHeardAt is when the delegator last heard the origin.
	originHeardAt time.Time
	// checkUntil is when a delegated task is returned that waits for an endpoint which is
	// asked for its incarnation; zero: it does not.
	checkUntil time.Time
	cell       string     // of a delegated task: the only cell where it may run, so that its run can be found again
	searchedOn EndpointID // of a search: where the run was; empty: not known
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
	c.doubtRemoteEnd(t)
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
			c.unseen.overAt(t.id, t.searchedOn)
			t.remoteSince = time.Time{}
		}
	case EndFailed:
		t.failures++
		t.job.failed = true
		if n := len(t.failedOn); n > 0 {
			t.avoid = t.failedOn[n-1]
		}
		if t.usedUp() {
			c.finish(t.job, Failed, usedUpReason, 0)
			return
		}
	case EndNoCapacity:
		if t.searching { // the delegate could not be reached
			c.addLostRun(t, t.delegatedCell, t.searchedOn)
		}
	case EndEndpointLost:
		t.doubtEnd()
		c.endpointLost(t)
		return
	case EndUnknown:
		c.addLostRun(t, t.delegatedCell, "")
		c.addRemoteRun(t)
	}
	c.enqueue(t.job)
}

func (c *Core) taskDone(t *task) {
	j := t.job
	t.state = doneTask
	j.remaining[t.id.Step]--
	if j.Stored {
		c.noteStoredDone(t.id, t.runs)
	}
	c.markBegun(j)
	c.reportBegun(j, t.runs)
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
