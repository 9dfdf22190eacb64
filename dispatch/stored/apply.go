package stored

import (
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
)

// Replay applies the events of a record that was read from the log, in the
// order of their offsets, before the first Step.
func (s *Shard) Replay(now time.Time, offset int64, events []Event) {
	s.now = now
	for i := range events {
		s.apply(&events[i], offset)
	}
}

// FinishReplay ends the replay and offers the jobs that have not ended.
func (s *Shard) FinishReplay(now time.Time) *Actions {
	s.now = now
	s.out.reset()
	for _, j := range s.jobs {
		if j.state.Ended() {
			continue
		}
		j.mayHaveStarted = true // under the previous owner
		s.offer(j)
	}
	slices.SortFunc(s.out.Offers, func(a, b Offer) int {
		if a.Job.ID < b.Job.ID {
			return -1
		}
		return 1
	})
	return &s.out
}

// apply applies a stored event.
func (s *Shard) apply(e *Event, offset int64) {
	j := s.jobs[e.Job]
	switch e.Kind {
	case JobAccepted:
		s.applyAccepted(e, offset)
	case JobSnapshot:
		s.applySnapshot(e, offset)
	case JobSnapshotPart:
		if j != nil {
			j.applySnapshotPart(e, s.now)
		}
	case TaskEnded:
		if j == nil || j.state.Ended() {
			return
		}
		j.state = Running
		if j.applyTaskEnded(e) {
			j.markEnded(j.finalState(), s.now)
		}
	case TaskLost:
		if j == nil || j.state.Ended() {
			return
		}
		j.state = Running
		if j.applyTaskLost(e) {
			j.markEnded(Failed, s.now)
		}
	case RunsSuperseded:
		if j != nil && !j.state.Ended() {
			j.applySuperseded(e)
		}
	case JobCancelled:
		s.applyCancelled(e, offset)
	case JobFailed:
		if j != nil && !j.state.Ended() {
			j.markEnded(Failed, s.now)
		}
	}
}

// replayedAt returns the time at which a record that is replayed now counts as
// written: its snapshot is due after replaySnapshotDelay.
func (s *Shard) replayedAt() time.Time { return s.now.Add(replaySnapshotDelay - s.opts.SnapshotAge) }

func (s *Shard) applyAccepted(e *Event, offset int64) {
	j := s.jobs[e.Job]
	if j != nil && j.stored {
		return // a duplicate
	}
	if j == nil && e.Spec == nil {
		return // the record does not say what to run
	}
	writtenAt := s.now
	if j == nil { // replayed
		j = newJobState(e.Spec, s.now)
		s.jobs[e.Job] = j
		writtenAt = s.replayedAt()
	}
	j.stored = true
	j.offset = offset
	j.writtenAt = writtenAt
}

func (s *Shard) applySnapshot(e *Event, offset int64) {
	if j := s.jobs[e.Job]; j != nil { // its earlier events have been applied
		j.snapshot = snapshot{offset: offset, partsLeft: e.Parts}
		j.snapshotStored(s.now)
		return
	}
	if e.State.Ended() {
		j := &jobState{id: e.Job, stored: true, offset: offset, writtenAt: s.replayedAt(), snapshot: snapshot{restores: true, partsLeft: e.Parts}}
		j.markEnded(e.State, s.now)
		j.restoreSuperseded(e.Progress)
		s.jobs[e.Job] = j
		return
	}
	if e.Spec == nil {
		return // the record does not say what to run
	}
	j := newJobState(e.Spec, s.now)
	j.stored, j.offset, j.writtenAt = true, offset, s.replayedAt()
	j.snapshot = snapshot{restores: true, partsLeft: e.Parts}
	if e.State == Running {
		j.state = Running
	}
	s.jobs[e.Job] = j
	for i := range e.Progress {
		j.restoreProgress(&e.Progress[i])
	}
}

// restoreProgress restores the progress of a task from a snapshot.
func (j *jobState) restoreProgress(p *leased.TaskProgress) {
	t := j.task(leased.TaskID{Job: j.id, Step: p.Step, Index: p.Index})
	if t == nil {
		return
	}
	t.checkpoint, t.lastRun, t.crashes, t.losses = p.Checkpoint, p.LastRun, p.Crashes, p.Losses
	t.superseded, t.superseding = p.Superseded, p.Superseded
	t.restoreCounted(p)
	if p.Done && !t.done {
		t.done = true
		j.unfinished--
		t.reportedDone = true
	}
}

// afterStored offers or withdraws the job of an event that has just been stored.
func (s *Shard) afterStored(p *pendingEvent) {
	j := s.jobs[p.event.Job]
	if j == nil {
		return
	}
	switch p.event.Kind {
	case JobAccepted:
		s.offer(j)
	case JobCancelled, JobFailed:
		s.out.Withdrawals = append(s.out.Withdrawals, j.id)
	case TaskEnded, TaskLost:
		if j.state.Ended() {
			s.out.Withdrawals = append(s.out.Withdrawals, j.id)
		} else if p.event.Kind == TaskLost && p.event.Loss.Cause != leased.LossUnexplained {
			s.update(j, p.event.Task, p.from)
		}
	}
}

// handleReport handles a report of runs. Ends of runs are stored before the
// report is acknowledged.
func (s *Shard) handleReport(in *Report) {
	mustWait, unknown := false, false
	for i := range in.Tasks {
		unknown = unknown || s.storedJob(in.Tasks[i].Task.Job) == nil
		if s.handleTaskReport(in, &in.Tasks[i]) {
			mustWait = true
		}
	}
	switch {
	case mustWait:
		s.reports[in.Ticket] = in.Tasks
	case unknown:
		s.replyToReport(in.Ticket, NoSuchJob, in.Tasks)
	default:
		s.replyToReport(in.Ticket, Stored, in.Tasks)
	}
}

// replyToReport answers a report, with what is known about its tasks.
func (s *Shard) replyToReport(t Ticket, r Result, tasks []TaskReport) {
	if t == 0 {
		return
	}
	reply := Reply{Ticket: t, Result: r, Unconfirmed: r == NoSuchJob}
	if slices.ContainsFunc(tasks, s.wantsProgress) {
		for i := range tasks {
			j := s.storedJob(tasks[i].Task.Job)
			progress := j.progressOf(tasks[i].Task)
			progress.Discarded = j.discards(&tasks[i])
			progress.JobEnded = progress.JobEnded || s.isOutdated(j, &tasks[i])
			reply.Progress = append(reply.Progress, progress)
		}
	}
	s.out.Replies = append(s.out.Replies, reply)
}

// wantsProgress reports whether the answer to a report has to tell what is known about the
// task.
func (s *Shard) wantsProgress(r TaskReport) bool {
	return r.Lost || r.Restart != 0 || !r.Begun && !r.Done || s.storedJob(r.Task.Job).discards(&r)
}

// update notifies the holder of a job of what has become known about a task.
func (s *Shard) update(j *jobState, task leased.TaskID, from uint64) {
	s.out.Updates = append(s.out.Updates, TaskUpdate{Task: task, From: from, Progress: j.progressOf(task)})
}

// handleTaskReport returns true if the report has to wait until an event is
// stored.
func (s *Shard) handleTaskReport(in *Report, r *TaskReport) bool {
	j := s.storedJob(r.Task.Job)
	if j == nil || j.state.Ended() {
		return false
	}
	t := j.task(r.Task)
	if t == nil || t.done {
		return false
	}
	if r.Restart != 0 {
		return !s.isOutdated(j, r) && s.handleRestart(in, r, t)
	}
	if t.isSuperseded(r) {
		return s.awaitSuperseded(in.Ticket, r.Task, t)
	}
	t.lastRun = max(t.lastRun, r.Run.Number)
	j.state = Running
	if r.Lost {
		return s.handleLossReport(in, r, t)
	}
	if r.Begun || !r.Done && t.hasFailed(r.Run) {
		return false
	}
	switch {
	case r.Done && !t.reportedDone:
		t.reportedDone = true
		s.update(j, r.Task, in.From)
	case !r.Done && t.addNewFailure(r.Run):
		s.update(j, r.Task, in.From)
	}
	event := Event{Kind: TaskEnded, Job: j.id, Task: r.Task, Run: r.Run, Done: r.Done, Checkpoint: r.Checkpoint}
	if !s.joinPending(&event, in.Ticket) {
		s.enqueue(event, in.Ticket, in.From)
	}
	return true
}

// handleLossReport handles a report that an endpoint was lost with a run. It
// returns true if the report has to wait until that is stored.
func (s *Shard) handleLossReport(in *Report, r *TaskReport, t *taskState) bool {
	if !t.explains(r.Run, r.Loss.Cause) {
		return false
	}
	event := Event{Kind: TaskLost, Job: r.Task.Job, Task: r.Task, Run: r.Run, Loss: r.Loss}
	if !s.joinPending(&event, in.Ticket) {
		s.enqueue(event, in.Ticket, in.From)
	}
	return true
}
