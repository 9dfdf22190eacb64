package leased

import "time"

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
		j.Offer = max(j.Offer, in.Job.Offer)
		c.mergeProgress(&in.Job)
		return
	}
	c.noteEarlierRuns(&in.Job)
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

// noteEarlierRuns marks a job as resubmitted to its only holder if a run of it may be active
// here: another entry had submitted it, and has cancelled it. So it is not rejected, which
// would say that none of its tasks has run.
func (c *Core) noteEarlierRuns(spec *Job) {
	if !spec.Stored && !spec.Resubmitted && c.mayHaveRuns(spec) {
		spec.Resubmitted, spec.OnlyHolder = true, true
	}
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
	if c.learnCounted(j); c.jobs[j.ID] != j {
		return
	}
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
			if spec.Resubmitted || t.evidence == EvidenceElapsed {
				c.doubtRemoteEnd(t)
			}
		}
	}
	c.tickets[ticket] = j
	return j
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
		return c.storedPause()
	}
	return c.remoteRunTimeout()
}

// storedPause is how long a task of a stored job waits for runs under other holders.
func (c *Core) storedPause() time.Duration { return ownerGrace + c.remoteRunTimeout() + reportDelay }

// claimRuns assigns the runs that were found on the endpoints to a resubmitted
// job.
func (c *Core) claimRuns(j *job) {
	for s := range j.tasks {
		for i := range j.tasks[s] {
			t := &j.tasks[s][i]
			if t.state != waitingTask {
				continue
			}
			if r := c.runs[t.id]; r != nil && r.task == nil && r.state == runRunning && t.mayAdopt(r.number) {
				c.adopt(t, r.endpoint, r)
				continue
			}
			if _, done := c.doneUnclaimed[t.id]; done && t.superseded == 0 {
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
