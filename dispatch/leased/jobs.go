package leased

import "time"

type taskState uint8

const (
	waitingTask taskState = iota
	placedTask
	delegatedTask
	doneTask
)

type task struct {
	id            TaskID
	job           *job
	step          *Step
	state         taskState
	run           *run          // of a placed task
	failures      int           // runs that ended as failed
	runs          int           // number of the newest run
	moves         int           // runs stopped for want of progress
	took          time.Duration // of the run that was done
	checkpoint    string
	avoid         EndpointID   // where the last run did badly
	failedOn      []EndpointID // where runs failed
	notBefore     time.Time    // an earlier run may go on until then
	lostCell      string       // cell whose new holder may know an earlier run
	delegate      uint64       // of a lent task
	delegatedCell string       // cell of a lent task
	searching     bool         // lent to find an earlier run, not to start one
	delegatedAt   time.Time
}

type job struct {
	Job
	tickets []Ticket
	arrived time.Time
	expires time.Time // the caller's deadline
	// latestStart is when the job must start to be answered in time.
	latestStart time.Time
	goal        time.Time // by when the answer should come
	queued      bool      // in the queue
	class       class     // its part of the queue
	tasks       [][]task
	remaining   []int // tasks of each step that are not done
	begun       bool  // a run was started
	failed      bool  // a run has failed
	delegated   bool
	cell        string // of a guest: the only one where it may run, so that its run can be found again
}

func (j *job) task(id TaskID) *task {
	if id.Step < 0 || id.Step >= len(j.tasks) || id.Index < 0 || id.Index >= len(j.tasks[id.Step]) || id.Occurrence != 0 {
		return nil
	}
	return &j.tasks[id.Step][id.Index]
}

// ready reports whether the steps before a step are done.
func (j *job) ready(step int) bool {
	for _, before := range j.Steps[step].After {
		if j.remaining[before] > 0 {
			return false
		}
	}
	return true
}

// resubmittedRunOffset is the number from which runs of a job are counted that
// another holder may have started before.
const resubmittedRunOffset = 16

func (c *Core) submit(in *Submit) {
	if j := c.jobs[in.Job.ID]; j != nil {
		j.tickets = append(j.tickets, in.Ticket)
		c.tickets[in.Ticket] = j
		c.mergeProgress(&in.Job)
		return
	}
	j := c.newJob(in.Job, in.Ticket)
	if in.Job.Stored {
		c.submitStored(j)
		return
	}
	if reason := c.unschedulableReason(&in.Job); reason != "" {
		c.finish(j, Rejected, reason, 0)
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

// submitStored takes a job that waits for as long as it takes.
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
	chain := criticalPath(spec.Steps, func(d time.Duration) time.Duration { return c.expectedTime(spec.Queue, d) })
	j.goal = c.now.Add(time.Duration(spec.Stretch*float64(chain)) + spec.Slack - spec.Waited)
	j.latestStart = j.goal.Add(-chain)
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
				t.notBefore = c.now.Add(c.resubmitPause(&spec))
			}
			if at, lent := c.cancelledTasks[t.id]; lent {
				t.notBefore = later(t.notBefore, at.Add(c.opts.MaxLease+clockSlack))
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

// resubmitPause is how long runs of a resubmitted job may go on unseen: not at
// all if the job was withdrawn here, since its runs here are known. Tasks of a
// kept job wait until ends that others have seen are reported.
func (c *Core) resubmitPause(j *Job) time.Duration {
	if j.Stored {
		return c.opts.MaxLease + clockSlack + reportDelay
	}
	if _, known := c.cancelledJobs[j.ID]; known {
		return 0
	}
	return c.opts.MaxLease + clockSlack
}

// claimRuns gives a resubmitted job the runs that were found on the endpoints.
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

// unschedulableReason says why no endpoint can ever run a job, or nothing.
func (c *Core) unschedulableReason(j *Job) string {
	known := false
	for s := range j.Steps {
		fits := false
		for _, e := range c.order {
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
			return "no endpoint of the service is large enough or has the label"
		}
	}
	return ""
}

func (c *Core) cancel(ticket Ticket) {
	j := c.tickets[ticket]
	if j == nil {
		return
	}
	delete(c.tickets, ticket)
	for i, t := range j.tickets {
		if t == ticket {
			j.tickets = append(j.tickets[:i], j.tickets[i+1:]...)
			break
		}
	}
	if len(j.tickets) == 0 {
		c.removeJob(j, "its caller has gone")
	}
}

// removeJob stops all runs of a job and forgets it.
func (c *Core) removeJob(j *job, reason string) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			t := &j.tasks[s][i]
			switch t.state {
			case placedTask:
				c.revokeRun(t, reason)
			case delegatedTask:
				c.out.DelegateCancels = append(c.out.DelegateCancels, DelegateCancel{Task: t.id})
				c.cancelledTasks[t.id] = c.now
			}
			t.state = doneTask
		}
	}
	c.waiting.remove(j)
	if !j.delegated {
		c.cancelledJobs[j.ID] = c.now
	}
	if j.delegated {
		delete(c.delegated, j.tasks[0][0].id)
		return
	}
	delete(c.jobs, j.ID)
}

// revokeRun stops the run of a task that is not wanted any more. The endpoint's
// room stays taken until the end is listed.
func (c *Core) revokeRun(t *task, reason string) {
	r := c.runs[t.id]
	if r == nil || r.task != t {
		return
	}
	c.sendStop(r.endpoint, r, reason)
	r.task = nil
	r.unclaimedSince = c.now
}

// finish ends a job for all its tickets.
func (c *Core) finish(j *job, verdict Verdict, reason string, retryAfter time.Duration) {
	for _, t := range j.tickets {
		delete(c.tickets, t)
		c.out.Answers = append(c.out.Answers, Answer{
			Ticket: t, Job: j.ID, Verdict: verdict, Reason: reason, RetryAfter: retryAfter, Took: c.now.Sub(j.arrived),
		})
	}
	j.tickets = nil
	c.removeJob(j, reason)
}

// taskRunEnded takes the end of a task's run.
func (c *Core) taskRunEnded(t *task, end End, saved string) {
	t.run = nil
	t.state = waitingTask
	if saved != "" {
		t.checkpoint = saved
	}
	switch end {
	case EndDone:
		c.taskDone(t)
		return
	case EndNotRun:
		if t.searching {
			t.notBefore = time.Time{} // the earlier run has ended
		}
	case EndFailed:
		t.failures++
		t.job.failed = true
		if n := len(t.failedOn); n > 0 {
			t.avoid = t.failedOn[n-1]
		}
		if t.failures >= max(1, t.job.MaxAttempts) {
			c.finish(t.job, Failed, "a task has failed as often as it may", 0)
			return
		}
	case EndNoCapacity:
		if t.searching { // the holder could not be reached
			c.addLostRun(t, t.delegatedCell)
		}
	case EndUnknown:
		c.addLostRun(t, t.delegatedCell)
		t.notBefore = c.now.Add(c.opts.MaxLease + clockSlack + claimTimeout)
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
				c.enqueue(j) // later steps may begin
			}
			return
		}
	}
	c.finish(j, Completed, "", 0)
}

// enqueue puts a job on the queue.
func (c *Core) enqueue(j *job) {
	c.waiting.add(j, c.now)
	for s := range j.Steps {
		c.minDemand = min(c.minDemand, j.Steps[s].Demand.MilliCores)
	}
}

// dequeueIfPlaced takes a job without waiting tasks off the queue.
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

// expireJobs ends jobs whose caller's deadline has passed, and rejects those that
// have not begun and cannot end in time any more.
func (c *Core) expireJobs() {
	for _, j := range c.jobs {
		if j.Stored {
			continue
		}
		if !c.now.Before(j.expires) {
			verdict := Abandoned
			if !j.begun {
				verdict = Rejected
			}
			c.finish(j, verdict, "the caller's deadline has passed", c.retryAfter())
			continue
		}
		if j.begun {
			continue
		}
		if !j.queued {
			continue
		}
		if c.now.Add(c.expectedRunTime(j)).After(j.expires) {
			c.finish(j, Rejected, "no room before the caller's deadline", c.retryAfter())
		}
	}
}

// expectedRunTime returns the expected run time of what is left of a job.
func (c *Core) expectedRunTime(j *job) time.Duration {
	return criticalPath(j.Steps, func(d time.Duration) time.Duration { return c.expectedTime(j.Queue, d) })
}

// spareTime is the time that a caller can wait beyond the run time of its job.
func spareTime(j *job, c *Core) time.Duration { return j.expires.Sub(c.now) - c.expectedRunTime(j) }

// expectedWait returns how long the queue takes to be served, as counted by the
// latest Tick. It is 0 while nothing is held: then others may have room.
func (c *Core) expectedWait() time.Duration { return c.queueServiceTime }

// measureServiceTime counts how long the queue takes to be served.
func (c *Core) measureServiceTime() {
	c.queueServiceTime = 0
	if c.waiting.len() > 0 {
		c.queueServiceTime = c.serviceTime()
	}
	if !c.fixedOrder {
		c.waiting.adaptOrder(c.queueServiceTime)
	}
}

// minRetryAfter is the least that a rejected caller is told to wait.
const minRetryAfter = time.Second

// retryAfter returns when a rejected caller may find room: when what waits now
// has been served by what is held.
func (c *Core) retryAfter() time.Duration { return max(minRetryAfter, c.serviceTime()) }

// serviceTime returns what waits divided by what is held.
func (c *Core) serviceTime() time.Duration {
	var work float64 // core-seconds
	c.waiting.walk(func(j *job) bool {
		if j.Stored && j.class == lateClass {
			return true // those that can be in time go first
		}
		for s := range j.Steps {
			work += float64(j.remaining[s]*j.Steps[s].Demand.MilliCores) / 1000 * c.expectedTime(j.Queue, j.Steps[s].Estimate).Seconds()
		}
		return true
	})
	var cores float64
	for _, e := range c.order {
		if e.held && !e.dropped {
			cores += float64(e.Capacity.MilliCores) / 1000
		}
	}
	if cores == 0 {
		return 0
	}
	return time.Duration(work / cores * float64(time.Second))
}
