package dispatch

import (
	"time"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
)

func (c *Core) accept(t *Transfer) {
	from := t.Part.From
	done, err := c.ledger.Accept(t.Part)
	c.ready.Acceptance = &Acceptance{From: from, Done: done, Err: err}
	if err != nil {
		delete(c.receivers, from)
		return
	}
	r := c.receiverOf(from, t.Part.Session)
	if r.done {
		return
	}
	r.transfers[t.Part.Number] = t
	if !done {
		return
	}
	c.adopt(r, t.Part.Number)
	r.done = true
	r.transfers = nil
}

func (c *Core) receiverOf(from jobid.Incarnation, session uint64) *handoverReceiver {
	r := c.receivers[from]
	if r == nil || !r.done && r.session < session {
		r = &handoverReceiver{session: session, transfers: make(map[int]*Transfer)}
		c.receivers[from] = r
	}
	return r
}

// adopt takes over the jobs and answers of all parts. If several parts hold the
// same job, the latest one counts.
func (c *Core) adopt(r *handoverReceiver, last int) {
	latest := make(map[jobid.ID]*TransferredJob)
	var order []jobid.ID
	for number := range last + 1 {
		t := r.transfers[number]
		for i := range t.Answers {
			c.adoptAnswer(&t.Answers[i])
		}
		for i := range t.Jobs {
			id := t.Jobs[i].Submit.ID
			if latest[id] == nil {
				order = append(order, id)
			}
			latest[id] = &t.Jobs[i]
		}
	}
	for _, id := range order {
		c.adoptJob(latest[id])
	}
}

func (c *Core) adoptAnswer(answer *Answer) {
	if c.ledger.State(answer.ID) == ledger.Ended && c.answers[answer.ID] == nil {
		c.cacheAnswer(answer)
	}
}

// adoptJob adds an open job of the sender to this core. It skips a job that the
// ledger no longer lists as open, because it has ended since the part was sent.
func (c *Core) adoptJob(transferred *TransferredJob) {
	id := transferred.Submit.ID
	record, open := c.ledger.Job(id)
	if !open || c.jobs[id] != nil {
		return
	}
	if service, ok := c.unknownService(&transferred.Submit); ok {
		c.failUnknownService(transferred, "service "+service+" is not in the services file of the entry that took the job over: publish it and submit the job again")
		return
	}
	j := c.newJob(&transferred.Submit)
	j.admitted = transferred.Admitted
	j.longestRun = transferred.Longest
	copy(j.results, transferred.Results)
	c.jobs[id] = j
	c.openCount++
	c.admissionOrder.Push(j)
	c.adoptTasks(j, record.Tasks)
	j.urgency.Arrived = c.joinTrace(j.trace)
	j.urgency.VirtualStart = c.virtualStart(j)
	c.enqueueWaiting(j, record.Tasks)
	c.endAdopted(j, record.Tasks)
}

func (c *Core) unknownService(in *Submit) (name string, ok bool) {
	for i := range in.Tasks {
		name := serviceName(in.Service, &in.Tasks[i])
		if s := c.services[name]; s == nil || !s.known {
			return name, true
		}
	}
	return "", false
}

// failUnknownService fails a job that this core cannot run, because its catalog
// lacks a service of the job.
func (c *Core) failUnknownService(transferred *TransferredJob, detail string) {
	id := transferred.Submit.ID
	execution := NotRun
	if c.ledger.Ran(id) {
		execution = Ran
	}
	c.ledger.End(id)
	answer := &Answer{
		ID:       id,
		Service:  transferred.Submit.Service,
		Problem:  &Problem{Code: CodeUnknownService, Execution: execution, Detail: detail},
		Response: c.now.Sub(transferred.Admitted),
	}
	c.cacheAnswer(answer)
	c.ready.Answers = append(c.ready.Answers, *answer)
}

// adoptTasks restores the state of each task from its record.
func (c *Core) adoptTasks(j *job, records []ledger.TaskRecord) {
	for i := range j.groups {
		j.groups[i].waiting = nil
	}
	for i := range records {
		t := &j.tasks[i]
		t.possibleStarts = int(records[i].LastAttempt)
		if records[i].State != ledger.Done {
			continue
		}
		t.done = true
		j.unfinished--
		j.urgency.Work -= t.expected
	}
}

func (c *Core) enqueueWaiting(j *job, records []ledger.TaskRecord) {
	for i := range records {
		if records[i].State == ledger.Waiting {
			c.enqueue(j, i)
		}
	}
}

// endAdopted ends an adopted job if the task records already determine its
// outcome.
func (c *Core) endAdopted(j *job, records []ledger.TaskRecord) {
	for i := range records {
		switch records[i].State {
		case ledger.Failed:
			c.fail(j, CodeTaskFailed, "a task failed before the job was handed over")
			return
		case ledger.Lost:
			c.fail(j, CodeTaskLost, starterGoneDetail)
			return
		}
	}
	if j.unfinished == 0 {
		c.end(j, nil)
	}
}

const starterGoneDetail = "the entry that started a task no longer runs: check the effects before you submit the job with a new ID"

// updateStatus applies the status of an attempt that this core has not started.
func (c *Core) updateStatus(in *StatusUpdate) {
	state, ok := c.ledger.Resolve(in.Task.Job, in.Task.Index, in.Attempt, in.Status)
	if !ok {
		return
	}
	if in.Status == ledger.AttemptDone {
		c.completeTask(in.Task, in.Result, in.RunTime)
		return
	}
	c.applyTaskState(in.Task, state, in.Status, in.Detail)
}

// ownerGone marks the status of all running attempts of an entry as unknown.
func (c *Core) ownerGone(incarnation jobid.Incarnation) {
	for _, r := range c.ledger.ResolveAsUnknown(incarnation) {
		c.applyTaskState(TaskRef{Job: r.ID, Index: r.Index}, r.State, ledger.AttemptUnknown, starterGoneDetail)
	}
}

// completeTask stores the result of a task.
func (c *Core) completeTask(ref TaskRef, result []byte, runTime time.Duration) {
	j := c.jobs[ref.Job]
	if j == nil || j.ended {
		return
	}
	t := &j.tasks[ref.Index]
	t.done = true
	j.results[ref.Index] = result
	j.unfinished--
	j.longestRun = max(j.longestRun, runTime)
	c.stopRuns(t)
	if j.unfinished == 0 {
		c.end(j, nil)
	}
}

// applyTaskState acts on the state of a task after an attempt without a result:
// it retries the task or fails the job.
func (c *Core) applyTaskState(ref TaskRef, state ledger.TaskState, status ledger.AttemptStatus, detail string) {
	j := c.jobs[ref.Job]
	if j == nil || j.ended {
		return
	}
	switch state {
	case ledger.Waiting:
		if status != ledger.AttemptNotStarted && j.tasks[ref.Index].possibleStarts >= c.opts.MaxAttempts {
			c.fail(j, CodeTaskFailed, detail)
			return
		}
		c.enqueue(j, ref.Index)
	case ledger.Failed:
		c.fail(j, CodeTaskFailed, detail)
	case ledger.Lost:
		c.fail(j, CodeTaskLost, detail)
	}
}
