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
		c.repeatAnswer(id)
	case ledger.Closed:
		c.reject(id, *notRunProblem(CodeClosed, "the job was refused earlier and was not run: submit it with a new job ID", 0))
	case ledger.Expired:
		c.reject(id, *expired())
	case ledger.NotOwned:
		c.reject(id, *notOwner())
	default:
		c.rejectAndClose(id, *notRunProblem(CodeUnknownJob, "no job was submitted with this ID, which is closed now: submit the job with a new ID", 0))
	}
}

func (c *Core) repeatAnswer(id jobid.ID) {
	answer := c.answers[id]
	if answer == nil {
		c.reject(id, *expired())
		return
	}
	c.ready.Answers = append(c.ready.Answers, *answer)
}

// rejectAndClose rejects a job. It closes the ID in the ledger before it reports
// the job as not run, so that no later submission with this ID can start. If the
// ledger cannot close the ID, the rejection does not state that the job was not
// run.
func (c *Core) rejectAndClose(id jobid.ID, problem Problem) {
	if !c.ledger.Close(id) {
		problem.Execution = Unknown
	}
	c.reject(id, problem)
}

func (c *Core) reject(id jobid.ID, problem Problem) {
	c.ready.Rejections = append(c.ready.Rejections, Rejection{ID: id, Problem: problem})
}

func notOwner() *Problem {
	return &Problem{
		Code:       CodeNotOwner,
		Execution:  Unknown,
		Detail:     "another entry answers for this job ID: ask again, it will be forwarded",
		RetryAfter: time.Second,
	}
}

func expired() *Problem {
	return &Problem{
		Code:      CodeExpired,
		Execution: Unknown,
		Detail:    "the job ID has expired and its outcome is no longer stored: check the effects before you submit the job with a new ID",
	}
}

func (c *Core) disconnect(id jobid.ID) {
	j := c.jobs[id]
	if j == nil || j.ended {
		return
	}
	for i := range j.groups {
		j.groups[i].service.callerTimeout.Observe(c.now.Sub(j.admitted))
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

// end answers a job and stops its idempotent tasks that still run.
func (c *Core) end(j *job, problem *Problem) {
	c.ledger.End(j.id)
	j.ended = true
	c.openCount--
	c.dequeueAll(j)
	c.leaveTrace(j.trace)
	answer := &Answer{
		ID:       j.id,
		Service:  j.service,
		Problem:  problem,
		Response: c.now.Sub(j.admitted),
		Ideal:    j.longestRun,
	}
	if problem == nil {
		answer.Results = j.results
	}
	c.cacheAnswer(answer)
	c.ready.Answers = append(c.ready.Answers, *answer)
	for i := range j.tasks {
		c.stopRuns(&j.tasks[i])
	}
	c.removeIfIdle(j)
}

// removeIfIdle removes a job that has ended and has no running task.
func (c *Core) removeIfIdle(j *job) {
	if j.ended && j.running == 0 {
		delete(c.jobs, j.id)
	}
}

// cacheAnswer stores an answer for repeated requests and evicts the oldest
// answers beyond the limits. The newest answer is never evicted, whatever its
// size.
func (c *Core) cacheAnswer(answer *Answer) {
	c.answers[answer.ID] = answer
	c.answerOrder.Push(answer.ID)
	c.answerBytes += answer.bytes()
	for c.answerOrder.Len() > 1 && c.answerCacheFull() {
		c.evictAnswer()
	}
}

func (c *Core) answerCacheFull() bool {
	return c.answerOrder.Len() > c.opts.MaxAnswers || c.answerBytes > c.opts.MaxAnswerBytes
}

func (c *Core) evictAnswer() {
	id := c.answerOrder.First()
	if answer := c.answers[id]; answer != nil {
		c.answerBytes -= answer.bytes()
	}
	delete(c.answers, id)
	c.answerOrder.Pop()
}

// bytes returns the total size of the results.
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
		if r.stopSent {
			continue
		}
		r.stopSent = true
		c.ready.Stops = append(c.ready.Stops, Stop{
			Task:     TaskRef{Job: r.job.id, Index: r.index},
			Attempt:  r.attempt,
			Endpoint: r.executor.Name,
			Address:  r.executor.Address,
		})
	}
}
