package dispatch

import (
	"time"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
)

func (c *Core) ask(id jobid.ID) {
	switch c.ledger.State(id) {
	case ledger.Open:
		c.ready.Admissions = append(c.ready.Admissions, id)
	case ledger.Ended:
		c.answerAgain(id)
	case ledger.Closed:
		c.reject(id, *notRun(CodeClosed, "the job was refused earlier and was not run: submit it with a new job ID", 0))
	case ledger.Expired:
		c.reject(id, *forgotten())
	case ledger.NotOwned:
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

func (c *Core) reject(id jobid.ID, problem Problem) {
	c.ready.Rejections = append(c.ready.Rejections, Rejection{ID: id, Problem: problem})
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

func (c *Core) hangUp(id jobid.ID) {
	j := c.jobs[id]
	if j == nil || j.ended {
		return
	}
	for i := range j.groups {
		j.groups[i].service.patience.Observe(c.now.Sub(j.admitted))
	}
}

func (c *Core) cancel(id jobid.ID) {
	j := c.jobs[id]
	if j == nil || j.ended {
		c.ask(id)
		return
	}
	c.fail(j, CodeCancelled, "the caller cancelled the job")
}

func (c *Core) fail(j *job, code Code, detail string) {
	execution := NotRun
	if c.ledger.Ran(j.id) {
		execution = Ran
	}
	c.end(j, &Problem{Code: code, Execution: execution, Detail: detail})
}

// end gives a job its answer. Its idempotent tasks that still run are stopped.
func (c *Core) end(j *job, problem *Problem) {
	c.ledger.End(j.id)
	j.ended = true
	c.open--
	c.dequeueAll(j)
	c.leave(j.trace)
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
	c.keep(answer)
	c.ready.Answers = append(c.ready.Answers, *answer)
	for i := range j.tasks {
		c.stopRuns(&j.tasks[i])
	}
	c.forget(j)
}

// forget drops a job that has ended and has no running task.
func (c *Core) forget(j *job) {
	if j.ended && j.running == 0 {
		delete(c.jobs, j.id)
	}
}

// keep holds an answer for those who ask again, and drops the oldest ones
// beyond the bounds. The newest is kept whatever its size.
func (c *Core) keep(answer *Answer) {
	c.answers[answer.ID] = answer
	c.answered.Push(answer.ID)
	c.answerBytes += answer.bytes()
	for c.answered.Len() > 1 && c.keepsTooMuch() {
		c.dropAnswer()
	}
}

func (c *Core) keepsTooMuch() bool {
	return c.answered.Len() > c.opts.MaxAnswers || c.answerBytes > c.opts.MaxAnswerBytes
}

func (c *Core) dropAnswer() {
	id := c.answered.First()
	if answer := c.answers[id]; answer != nil {
		c.answerBytes -= answer.bytes()
	}
	delete(c.answers, id)
	c.answered.Pop()
}

// bytes returns the size of the results.
func (a *Answer) bytes() int {
	total := 0
	for _, result := range a.Results {
		total += len(result)
	}
	return total
}

// stopRuns stops the attempts of an idempotent task.
func (c *Core) stopRuns(t *task) {
	if !t.group.service.spec.Idempotent {
		return
	}
	for r := t.runs; r != nil; r = r.next {
		if r.stopped {
			continue
		}
		r.stopped = true
		c.ready.Stops = append(c.ready.Stops, Stop{
			Task:     TaskRef{Job: r.job.id, Index: r.index},
			Attempt:  r.attempt,
			Endpoint: r.executor.Name,
			Address:  r.executor.Address,
		})
	}
}
