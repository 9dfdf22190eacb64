package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/dispatch/ledger"
)

func (c *Core) handOver(in *HandOver) {
	if !c.ledger.BeginHandover(in.To) {
		return
	}
	c.giving = &giving{
		limit: ledger.PartLimit{
			Records:     cmp.Or(in.MaxRecords, DefaultTransferRecords),
			Bytes:       cmp.Or(in.MaxBytes, DefaultTransferBytes),
			RecordBytes: c.weigh,
		},
		sent: make(map[jobid.ID]bool),
	}
	c.transfer()
}

// weigh returns the bytes that go with the record of an open job.
func (c *Core) weigh(id jobid.ID) int {
	j := c.jobs[id]
	return j.submit.Bytes + bytesOf(j.results)
}

func bytesOf(results [][]byte) int {
	bytes := 0
	for _, r := range results {
		bytes += len(r)
	}
	return bytes
}

// collectAnswers queues the kept answers that were not sent.
func (c *Core) collectAnswers() {
	g := c.giving
	first := len(g.unsent)
	for id := range c.answers {
		if !g.sent[id] {
			g.sent[id] = true
			g.unsent = append(g.unsent, id)
		}
	}
	slices.SortFunc(g.unsent[first:], jobid.Compare)
}

// transfer sends the next part. The last one is due when all that is left
// fits into it.
func (c *Core) transfer() {
	g := c.giving
	var t Transfer
	if len(g.unsent) == 0 {
		c.collectAnswers()
	}
	t.Answers = c.takeAnswers()
	last := len(g.unsent) == 0 && c.ledger.Fits(g.limit)
	if last || g.parts >= maxTransferParts {
		t.Part, _ = c.ledger.Relinquish()
	} else {
		t.Part, _ = c.ledger.NextPart(g.limit)
	}
	for i := range t.Part.Jobs {
		t.Jobs = append(t.Jobs, c.transferredJob(t.Part.Jobs[i].ID))
	}
	g.parts++
	g.latest = &t
	c.ready.Transfer = &t
}

// takeAnswers returns the answers that go with the next part.
func (c *Core) takeAnswers() []Answer {
	g := c.giving
	var answers []Answer
	bytes := 0
	for len(g.unsent) > 0 && len(answers) < g.limit.Records {
		answer := c.answers[g.unsent[0]]
		if answer == nil {
			g.unsent = g.unsent[1:]
			continue
		}
		bytes += bytesOf(answer.Results)
		if bytes > g.limit.Bytes && len(answers) > 0 {
			break
		}
		answers = append(answers, *answer)
		g.unsent = g.unsent[1:]
	}
	return answers
}

func (c *Core) transferredJob(id jobid.ID) TransferredJob {
	j := c.jobs[id]
	return TransferredJob{Submit: *j.submit, Admitted: j.admitted, Results: slices.Clone(j.results), Longest: j.longest}
}

func (c *Core) transferResult(outcome TransferOutcome) {
	g := c.giving
	if g == nil || g.latest == nil {
		return
	}
	last := g.latest.Part.Last
	switch {
	case outcome == TransferUnsure:
		c.ready.Transfer = g.latest
	case outcome == TransferConfirmed && last:
		c.handedOver()
	case outcome == TransferConfirmed:
		c.transfer()
	case outcome == TransferHopeless && last:
		c.giveUpJobs()
	default:
		c.serveOn()
	}
}

// serveOn takes a hand-over back, and then the inputs that were held.
func (c *Core) serveOn() {
	held := c.giving.held
	c.giving = nil
	c.ledger.Reclaim()
	for _, in := range held {
		c.apply(in)
	}
}

// handedOver leaves the open jobs to the successor.
func (c *Core) handedOver() {
	c.ready.HandedOver = true
	for _, j := range c.openJobs() {
		c.ready.Moved = append(c.ready.Moved, j.id)
		c.moveOut(j)
	}
	c.settleDoubt(givenConfirmed)
}

// giveUpJobs tells the callers of all open jobs that their outcome is unknown.
func (c *Core) giveUpJobs() {
	for _, j := range c.openJobs() {
		c.reject(j.id, Problem{
			Code:      CodeOwnerGone,
			Execution: Unknown,
			Detail:    "the entry that took the job over is gone: check the effects before you submit the job with a new ID",
		})
		c.moveOut(j)
	}
	c.settleDoubt(givenHopeless)
}

// settleDoubt ends the doubt and takes in what was held.
func (c *Core) settleDoubt(state givenState) {
	g := c.giving
	held := g.held
	g.latest, g.held, g.given = nil, nil, state
	for _, in := range held {
		c.stepGiven(in)
	}
}

func (c *Core) openJobs() []*job {
	jobs := slices.SortedFunc(maps.Values(c.jobs), func(a, b *job) int { return jobid.Compare(a.id, b.id) })
	return slices.DeleteFunc(jobs, func(j *job) bool { return j.ended })
}

// moveOut lets go of a job that another entry answers for. Its running tasks
// keep their slots until their fates are known.
func (c *Core) moveOut(j *job) {
	j.ended = true
	c.open--
	c.dequeueAll(j)
	c.leave(j.trace)
	c.forget(j)
}

// stepGiven takes inputs after the last part was sent. What callers and
// endpoints say is held while the part is in doubt.
func (c *Core) stepGiven(in Input) {
	switch in := in.(type) {
	case *TransferResult:
		c.transferResult(in.Outcome)
	case *Accept:
		c.accept(&in.Transfer)
	case *SetEndpoints, *SetCatalog, *SetShare:
		c.apply(in)
	case *Submit, *Ask, *Cancel, *Done, *Refused, *Failed, *Lost, *Told:
		if c.giving.given == givenInDoubt {
			c.giving.held = append(c.giving.held, in)
			return
		}
		c.stepMoved(in)
	}
}

// stepMoved takes inputs about jobs that another entry answers for.
func (c *Core) stepMoved(in Input) {
	switch in := in.(type) {
	case *Submit:
		c.reject(in.ID, *foreign())
	case *Ask:
		c.reject(in.ID, *foreign())
	case *Cancel:
		c.reject(in.ID, *foreign())
	case *Done:
		c.tell(Told{Task: in.Task, Attempt: in.Attempt, Fate: ledger.AttemptDone, RunTime: in.RunTime, Result: in.Result})
	case *Refused:
		c.tell(Told{Task: in.Task, Attempt: in.Attempt, Fate: ledger.AttemptNotStarted, Detail: "the endpoint refused the task"})
	case *Failed:
		c.tell(Told{Task: in.Task, Attempt: in.Attempt, Fate: ledger.AttemptFailed, RunTime: in.RunTime, Detail: in.Detail})
	case *Lost:
		c.tell(Told{Task: in.Task, Attempt: in.Attempt, Fate: in.fate(), Detail: in.Detail})
	case *Told:
		c.tell(*in)
	}
}

func (l *Lost) fate() ledger.AttemptStatus {
	if l.NotSent {
		return ledger.AttemptNotStarted
	}
	return ledger.AttemptUnknown
}

// tell frees the slot of an attempt and passes its fate on.
func (c *Core) tell(t Told) {
	if r := c.find(t.Task, t.Attempt); r != nil {
		c.release(r)
	}
	if c.giving.given == givenConfirmed {
		c.ready.Told = append(c.ready.Told, t)
	}
}
