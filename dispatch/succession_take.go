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
		delete(c.taking, from)
		return
	}
	staged := c.stagedFrom(from, t.Part.Session)
	if staged.done {
		return
	}
	staged.transfers[t.Part.Number] = t
	if !done {
		return
	}
	c.adopt(staged, t.Part.Number)
	staged.done = true
	staged.transfers = nil
}

func (c *Core) stagedFrom(from jobid.Incarnation, session uint64) *taking {
	staged := c.taking[from]
	if staged == nil || !staged.done && staged.session < session {
		staged = &taking{session: session, transfers: make(map[int]*Transfer)}
		c.taking[from] = staged
	}
	return staged
}

// adopt takes over what all parts say, the later ones over the earlier.
func (c *Core) adopt(staged *taking, last int) {
	latest := make(map[jobid.ID]*TransferredJob)
	var order []jobid.ID
	for number := range last + 1 {
		t := staged.transfers[number]
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
		c.keep(answer)
	}
}

// adoptJob puts an open job of the former owner into this core. A job that
// has ended since is left out by the ledger.
func (c *Core) adoptJob(from *TransferredJob) {
	id := from.Submit.ID
	record, open := c.ledger.Job(id)
	if !open || c.jobs[id] != nil {
		return
	}
	if service, ok := c.unknownService(&from.Submit); ok {
		c.endUnbuilt(from, "service "+service+" is not in the services text of the entry that took the job over: publish it and submit the job again")
		return
	}
	j := c.build(&from.Submit)
	j.admitted = from.Admitted
	j.longest = from.Longest
	copy(j.results, from.Results)
	c.jobs[id] = j
	c.open++
	c.admitted.Push(j)
	c.adoptTasks(j, record.Tasks)
	j.view.Arrived = c.join(j.trace)
	j.view.Turn = c.turn(j)
	c.enqueueWaiting(j, record.Tasks)
	c.settleAdopted(j, record.Tasks)
}

func (c *Core) unknownService(in *Submit) (name string, ok bool) {
	for i := range in.Tasks {
		name := serviceOf(in.Service, &in.Tasks[i])
		if s := c.services[name]; s == nil || !s.known {
			return name, true
		}
	}
	return "", false
}

// endUnbuilt ends a job that this core cannot hold.
func (c *Core) endUnbuilt(from *TransferredJob, detail string) {
	id := from.Submit.ID
	execution := NotRun
	if c.ledger.Ran(id) {
		execution = Ran
	}
	c.ledger.End(id)
	answer := &Answer{
		ID:       id,
		Service:  from.Submit.Service,
		Problem:  &Problem{Code: CodeUnknownService, Execution: execution, Detail: detail},
		Response: c.now.Sub(from.Admitted),
	}
	c.keep(answer)
	c.ready.Answers = append(c.ready.Answers, *answer)
}

// adoptTasks takes over what is known of each task.
func (c *Core) adoptTasks(j *job, records []ledger.TaskRecord) {
	for i := range j.groups {
		j.groups[i].waiting = nil
	}
	for i := range records {
		t := &j.tasks[i]
		t.begun = int(records[i].LastAttempt)
		if records[i].State != ledger.Done {
			continue
		}
		t.done = true
		j.left--
		j.view.Work -= t.expected
	}
}

func (c *Core) enqueueWaiting(j *job, records []ledger.TaskRecord) {
	for i := range records {
		if records[i].State == ledger.Waiting {
			c.enqueue(j, i)
		}
	}
}

// settleAdopted ends a job whose outcome follows from what was handed over.
func (c *Core) settleAdopted(j *job, records []ledger.TaskRecord) {
	for i := range records {
		switch records[i].State {
		case ledger.Failed:
			c.fail(j, CodeTaskFailed, "a task failed before the job was handed over")
			return
		case ledger.Lost:
			c.fail(j, CodeTaskLost, lostDetail)
			return
		}
	}
	if j.left == 0 {
		c.end(j, nil)
	}
}

const lostDetail = "the entry that started a task is gone: check the effects before you submit the job with a new ID"

// told takes the fate of an attempt that this core has not started.
func (c *Core) told(in *Told) {
	state, ok := c.ledger.Resolve(in.Task.Job, in.Task.Index, in.Attempt, in.Fate)
	if !ok {
		return
	}
	if in.Fate == ledger.AttemptDone {
		c.finish(in.Task, in.Result, in.RunTime)
		return
	}
	c.resolved(in.Task, state, in.Fate, in.Detail)
}

func (c *Core) gone(incarnation jobid.Incarnation) {
	for _, r := range c.ledger.ResolveAsUnknown(incarnation) {
		c.resolved(TaskRef{Job: r.ID, Index: r.Index}, r.State, ledger.AttemptUnknown, lostDetail)
	}
}

// finish takes the result of a task.
func (c *Core) finish(ref TaskRef, result []byte, runTime time.Duration) {
	j := c.jobs[ref.Job]
	if j == nil || j.ended {
		return
	}
	t := &j.tasks[ref.Index]
	t.done = true
	j.results[ref.Index] = result
	j.left--
	j.longest = max(j.longest, runTime)
	c.stopRuns(t)
	if j.left == 0 {
		c.end(j, nil)
	}
}

// resolved acts on the state of a task whose attempt gave no result.
func (c *Core) resolved(ref TaskRef, state ledger.TaskState, fate ledger.AttemptStatus, detail string) {
	j := c.jobs[ref.Job]
	if j == nil || j.ended {
		return
	}
	switch state {
	case ledger.Waiting:
		if fate != ledger.AttemptNotStarted && j.tasks[ref.Index].begun >= c.opts.MaxAttempts {
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
