package stored

import "lovagespread.example/dispatch/leased"

const (
	// MaxRun is the highest number of a run in a record. It is far above the number of starts
	// of any task, and below what the message between entries can carry by far.
	MaxRun = 1 << 30
	// supersededGap is how much higher the superseded numbers go than those that are known:
	// a holder that was lost may have started runs, or offered them to delegates, that were
	// never reported.
	supersededGap = 1 << 16
)

// restartRequest identifies a request to start a task again.
type restartRequest struct {
	from   uint64 // incarnation of the holder
	number uint64 // among the requests of that holder
}

// handleRestart handles a holder's request to start a task again although an earlier run may
// have ended unseen. It returns true if the request has to wait until it is stored that the
// earlier runs are superseded. A request that is repeated supersedes nothing more, because
// the holder may have started the task by then.
func (s *Shard) handleRestart(in *Report, r *TaskReport, t *taskState) bool {
	if t.reportedDone {
		return false
	}
	request := restartRequest{in.From, r.Restart}
	if t.restart != request {
		t.restart = request
		t.superseding = t.nextSuperseded(r.Run.Number)
	}
	return s.awaitSuperseded(in.Ticket, r.Task, t)
}

// attemptBits is the number of low bits of an offer's number that count the offers of a job.
const attemptBits = 20

// offerOf returns the number of the newest offer of a job. Those of a later owner are higher.
func (s *Shard) offerOf(j *jobState) uint64 {
	return uint64(s.opts.Epoch)<<attemptBits | uint64(j.attempt)&(1<<attemptBits-1)
}

// isOutdated reports whether a holder asks to start a task again that has the job by an
// earlier offer: the request may have been under way during a cut, and would supersede the
// runs of the present holder. The answer is that the job has ended.
func (s *Shard) isOutdated(j *jobState, r *TaskReport) bool {
	return r.Restart != 0 && j != nil && !j.state.Ended() && r.Offer != s.offerOf(j)
}

// awaitSuperseded lets a ticket wait until it is stored which runs are superseded. It returns
// false if it is.
func (s *Shard) awaitSuperseded(ticket Ticket, task leased.TaskID, t *taskState) bool {
	if t.superseding <= t.superseded {
		return false
	}
	event := Event{Kind: RunsSuperseded, Job: task.Job, Task: task, Run: leased.RunID{Number: t.superseding}}
	if !s.joinPending(&event, ticket) {
		s.enqueue(event, ticket, 0)
	}
	return true
}

// nextSuperseded returns the number up to which runs are superseded if the highest number
// that a holder knows is run. It exceeds the numbers that others may have given.
func (t *taskState) nextSuperseded(run int) int {
	highest := max(run, t.lastRun, t.superseded, t.superseding)
	if highest > MaxRun-supersededGap {
		return highest + 1
	}
	return highest + supersededGap
}

// isSuperseded reports whether an end is of a run that is superseded, or will be once that
// is stored, and does not count already.
func (t *taskState) isSuperseded(r *TaskReport) bool {
	return !r.Begun && !r.Lost && r.Run.Number <= max(t.superseded, t.superseding) && !t.hasFailed(r.Run)
}

// applySuperseded applies a RunsSuperseded event.
func (j *jobState) applySuperseded(e *Event) {
	t := j.task(e.Task)
	if t == nil || t.done {
		return
	}
	t.superseded = max(t.superseded, e.Run.Number)
	t.superseding = max(t.superseding, t.superseded)
	t.lastRun = max(t.lastRun, t.superseded)
}

// keepSuperseded keeps, for a job that ends, which runs are superseded: their ends may be
// reported later.
func (j *jobState) keepSuperseded() {
	for key, t := range j.tasks {
		if t.superseded == 0 {
			continue
		}
		if j.supersededRuns == nil {
			j.supersededRuns = make(map[taskKey]int)
		}
		j.supersededRuns[key] = t.superseded
	}
}

// supersededProgress lists which runs of a job that has ended are superseded, for a snapshot.
func (j *jobState) supersededProgress() []leased.TaskProgress {
	list := make([]leased.TaskProgress, 0, len(j.supersededRuns))
	for key, run := range j.supersededRuns {
		list = append(list, leased.TaskProgress{Step: key.step, Index: key.index, Superseded: run})
	}
	sortByTask(list)
	return list
}

// restoreSuperseded restores which runs of a job that has ended are superseded.
func (j *jobState) restoreSuperseded(list []leased.TaskProgress) {
	for i := range list {
		p := &list[i]
		if p.Superseded == 0 {
			continue
		}
		if j.supersededRuns == nil {
			j.supersededRuns = make(map[taskKey]int)
		}
		j.supersededRuns[taskKey{p.Step, p.Index}] = p.Superseded
	}
}

// discards reports whether a reported end does not count, because its run is superseded.
func (j *jobState) discards(r *TaskReport) bool {
	if j == nil || r.Begun || r.Lost || r.Restart != 0 {
		return false
	}
	if j.state.Ended() {
		return r.Run.Number <= j.supersededRuns[taskKey{r.Task.Step, r.Task.Index}]
	}
	t := j.task(r.Task)
	return t != nil && r.Run.Number <= t.superseded && !t.hasFailed(r.Run)
}
