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
	c.sender = &handoverSender{
		limit: ledger.PartLimit{
			Records:     cmp.Or(in.MaxRecords, DefaultTransferRecords),
			Bytes:       cmp.Or(in.MaxBytes, DefaultTransferBytes),
			RecordBytes: c.transferBytes,
		},
		collectedAnswers: make(map[jobid.ID]bool),
	}
	c.sendNextPart()
}

// transferBytes returns the size of the data that is transferred with the record
// of an open job.
func (c *Core) transferBytes(id jobid.ID) int {
	j := c.jobs[id]
	return j.submit.Bytes + resultBytes(j.results)
}

func resultBytes(results [][]byte) int {
	bytes := 0
	for _, r := range results {
		bytes += len(r)
	}
	return bytes
}

// queueUnsentAnswers queues the cached answers that were not collected before.
func (c *Core) queueUnsentAnswers() {
	s := c.sender
	first := len(s.unsentAnswers)
	for id := range c.answers {
		if !s.collectedAnswers[id] {
			s.collectedAnswers[id] = true
			s.unsentAnswers = append(s.unsentAnswers, id)
		}
	}
	slices.SortFunc(s.unsentAnswers[first:], jobid.Compare)
}

// sendNextPart sends the next part. It is the last one if all remaining data
// fits into it, or if maxTransferParts is reached.
func (c *Core) sendNextPart() {
	s := c.sender
	var t Transfer
	if len(s.unsentAnswers) == 0 {
		c.queueUnsentAnswers()
	}
	t.Answers = c.nextAnswers()
	last := len(s.unsentAnswers) == 0 && c.ledger.Fits(s.limit)
	if last || s.parts >= maxTransferParts {
		t.Part, _ = c.ledger.Relinquish()
	} else {
		t.Part, _ = c.ledger.NextPart(s.limit)
	}
	for i := range t.Part.Jobs {
		t.Jobs = append(t.Jobs, c.transferredJob(t.Part.Jobs[i].ID))
	}
	s.parts++
	s.pending = &t
	c.ready.Transfer = &t
}

// nextAnswers returns the answers for the next part.
func (c *Core) nextAnswers() []Answer {
	s := c.sender
	var answers []Answer
	bytes := 0
	for len(s.unsentAnswers) > 0 && len(answers) < s.limit.Records {
		answer := c.answers[s.unsentAnswers[0]]
		if answer == nil {
			s.unsentAnswers = s.unsentAnswers[1:]
			continue
		}
		bytes += resultBytes(answer.Results)
		if bytes > s.limit.Bytes && len(answers) > 0 {
			break
		}
		answers = append(answers, *answer)
		s.unsentAnswers = s.unsentAnswers[1:]
	}
	return answers
}

func (c *Core) transferredJob(id jobid.ID) TransferredJob {
	j := c.jobs[id]
	return TransferredJob{Submit: *j.submit, Admitted: j.admitted, Results: slices.Clone(j.results), Longest: j.longestRun}
}

func (c *Core) transferResult(outcome TransferOutcome) {
	s := c.sender
	if s == nil || s.pending == nil {
		return
	}
	last := s.pending.Part.Last
	switch {
	case outcome == TransferUncertain:
		c.ready.Transfer = s.pending
	case outcome == TransferConfirmed && last:
		c.completeHandover()
	case outcome == TransferConfirmed:
		c.sendNextPart()
	case outcome == TransferReceiverGone && last:
		c.rejectOpenJobs()
	default:
		c.cancelHandover()
	}
}

// cancelHandover cancels the handover, so that the core continues to serve, and
// applies the deferred inputs.
func (c *Core) cancelHandover() {
	deferred := c.sender.deferred
	c.sender = nil
	c.ledger.Reclaim()
	for _, in := range deferred {
		c.apply(in)
	}
}

// completeHandover drops the open jobs, which the receiver now owns.
func (c *Core) completeHandover() {
	c.ready.HandedOver = true
	for _, j := range c.openJobs() {
		c.ready.MovedJobs = append(c.ready.MovedJobs, j.id)
		c.dropMovedJob(j)
	}
	c.resolveLastPart(lastPartConfirmed)
}

// rejectOpenJobs tells the callers of all open jobs that their outcome is
// unknown.
func (c *Core) rejectOpenJobs() {
	for _, j := range c.openJobs() {
		c.reject(j.id, Problem{
			Code:      CodeOwnerGone,
			Execution: Unknown,
			Detail:    "the entry that took the job over no longer runs: check the effects before you submit the job with a new ID",
		})
		c.dropMovedJob(j)
	}
	c.resolveLastPart(lastPartUnknown)
}

// resolveLastPart sets the final state of the last part and applies the deferred
// inputs.
func (c *Core) resolveLastPart(state lastPartState) {
	s := c.sender
	deferred := s.deferred
	s.pending, s.deferred, s.lastPart = nil, nil, state
	for _, in := range deferred {
		c.applyAfterLastPart(in)
	}
}

func (c *Core) openJobs() []*job {
	jobs := slices.SortedFunc(maps.Values(c.jobs), func(a, b *job) int { return jobid.Compare(a.id, b.id) })
	return slices.DeleteFunc(jobs, func(j *job) bool { return j.ended })
}

// dropMovedJob removes a job that another entry answers for. Its running tasks
// keep their slots until their status is known.
func (c *Core) dropMovedJob(j *job) {
	j.ended = true
	c.openCount--
	c.dequeueAll(j)
	c.leaveTrace(j.trace)
	c.removeIfIdle(j)
}

// applyAfterLastPart applies an input after the last part was sent. Inputs of
// callers and endpoints are deferred while the outcome of that part is
// uncertain.
func (c *Core) applyAfterLastPart(in Input) {
	switch in := in.(type) {
	case *TransferResult:
		c.transferResult(in.Outcome)
	case *Accept:
		c.accept(&in.Transfer)
	case *SetEndpoints, *SetCatalog, *SetShare:
		c.apply(in)
	case *Submit, *Ask, *Cancel, *Done, *Refused, *Failed, *Lost, *StatusUpdate:
		if c.sender.lastPart == lastPartUnresolved {
			c.sender.deferred = append(c.sender.deferred, in)
			return
		}
		c.applyToMovedJob(in)
	}
}

// applyToMovedJob applies an input about a job that another entry answers for.
func (c *Core) applyToMovedJob(in Input) {
	switch in := in.(type) {
	case *Submit:
		c.reject(in.ID, *notOwner())
	case *Ask:
		c.reject(in.ID, *notOwner())
	case *Cancel:
		c.reject(in.ID, *notOwner())
	case *Done:
		c.forwardStatus(StatusUpdate{Task: in.Task, Attempt: in.Attempt, Status: ledger.AttemptDone, RunTime: in.RunTime, Result: in.Result})
	case *Refused:
		c.forwardStatus(StatusUpdate{Task: in.Task, Attempt: in.Attempt, Status: ledger.AttemptNotStarted, Detail: "the endpoint refused the task"})
	case *Failed:
		c.forwardStatus(StatusUpdate{Task: in.Task, Attempt: in.Attempt, Status: ledger.AttemptFailed, RunTime: in.RunTime, Detail: in.Detail})
	case *Lost:
		c.forwardStatus(StatusUpdate{Task: in.Task, Attempt: in.Attempt, Status: in.status(), Detail: in.Detail})
	case *StatusUpdate:
		c.forwardStatus(*in)
	}
}

func (l *Lost) status() ledger.AttemptStatus {
	if l.NotSent {
		return ledger.AttemptNotStarted
	}
	return ledger.AttemptUnknown
}

// forwardStatus frees the slot of an attempt and forwards its status to the
// receiver, if the receiver has confirmed the last part.
func (c *Core) forwardStatus(update StatusUpdate) {
	if r := c.find(update.Task, update.Attempt); r != nil {
		c.releaseSlot(r)
	}
	if c.sender.lastPart == lastPartConfirmed {
		c.ready.StatusUpdates = append(c.ready.StatusUpdates, update)
	}
}
