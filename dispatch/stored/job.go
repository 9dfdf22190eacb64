package stored

import (
	"cmp"
	"slices"
	"time"

	"lovagespread.example/dispatch/blame"
	"lovagespread.example/dispatch/leased"
)

// jobState is what the owner of a shard knows about a job.
type jobState struct {
	id              leased.JobID
	spec            *leased.Job // nil once the job has ended
	state           State
	stored          bool
	offset          int64 // of the first record that is needed to restore the job
	writtenAt       time.Time
	snapshotPending bool
	snapshot        snapshot // the newest one of which a part is stored
	acceptedAt      time.Time
	endedAt         time.Time
	attempt         int  // of the last offer
	mayHaveStarted  bool // there may be runs that were not reported
	confirmBy       time.Time
	tasks           map[taskKey]*taskState
	unfinished      int // tasks that are not stored as done
	// supersededRuns is, for a job that has ended, up to which number the runs of its tasks
	// are superseded.
	supersededRuns map[taskKey]int
}

// taskKey identifies a task within its job.
type taskKey struct{ step, index int }

// taskState is what is known about a task. Unless a field says otherwise, it is
// on the log.
type taskState struct {
	done         bool
	reportedDone bool // possibly not stored yet
	failedRuns   []leased.RunID
	newFailures  []leased.RunID // reported, and not stored yet
	lostRuns     []runLoss
	crashes      blame.Record // of endpoints that ran the task
	losses       int          // of unknown cause
	lastRun      int          // highest known run number, possibly not stored yet
	checkpoint   string
	superseded   int            // number up to which runs are superseded
	superseding  int            // the same, possibly not stored yet
	restart      restartRequest // the newest one of a holder; not on the log
}

// runLoss is a run whose endpoint was lost.
type runLoss struct {
	id    leased.RunID
	cause leased.LossCause
}

func newJobState(spec *leased.Job, now time.Time) *jobState {
	j := &jobState{id: spec.ID, spec: spec, state: Queued, acceptedAt: now, tasks: make(map[taskKey]*taskState)}
	for i := range spec.Steps {
		j.unfinished += spec.Steps[i].Tasks
	}
	return j
}

// task returns the state of a task, or nil if the job has no such task or has
// ended.
func (j *jobState) task(id leased.TaskID) *taskState {
	if j.spec == nil || id.Occurrence != 0 || id.Step < 0 || id.Step >= len(j.spec.Steps) ||
		id.Index < 0 || id.Index >= j.spec.Steps[id.Step].Tasks {
		return nil
	}
	key := taskKey{id.Step, id.Index}
	t := j.tasks[key]
	if t == nil {
		t = &taskState{}
		j.tasks[key] = t
	}
	return t
}

// markEnded records that the job has ended, and drops what is no longer needed.
func (j *jobState) markEnded(state State, now time.Time) {
	j.state = state
	j.endedAt = now
	j.keepSuperseded()
	j.spec = nil
	j.tasks = nil
	j.confirmBy = time.Time{}
}

// applyTaskEnded applies the end of a run. It returns true if the job has ended
// with it.
func (j *jobState) applyTaskEnded(e *Event) bool {
	t := j.task(e.Task)
	if t == nil || t.done {
		return false
	}
	t.lastRun = max(t.lastRun, e.Run.Number)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	if e.Done {
		t.done = true
		j.unfinished--
		t.reportedDone = true
		return j.unfinished == 0
	}
	t.newFailures = slices.DeleteFunc(t.newFailures, func(run leased.RunID) bool { return run == e.Run })
	if !t.hasFailed(e.Run) {
		t.failedRuns = append(t.failedRuns, e.Run)
	}
	return len(t.failedRuns) >= max(1, j.spec.MaxAttempts)
}

// applyTaskLost applies the loss of an endpoint with a run, or its cause. It
// returns true if the job has ended with it.
func (j *jobState) applyTaskLost(e *Event) bool {
	t := j.task(e.Task)
	if t == nil || t.done || !t.explains(e.Run, e.Loss.Cause) {
		return false
	}
	t.lastRun = max(t.lastRun, e.Run.Number)
	cause := e.Loss.Cause
	if t.hasFailed(e.Run) { // it had ended before its endpoint was lost
		cause = leased.LossByCut
	}
	t.setLossCause(e.Run, cause)
	switch cause {
	case leased.LossUnexplained:
		t.losses++
	case leased.LossByCrash:
		e.Loss.Count(&t.crashes)
	}
	return t.crashes.Guilty()
}

// failures counts the runs that have failed, stored or not.
func (t *taskState) failures() int { return len(t.failedRuns) + len(t.newFailures) }

// addNewFailure records a failure that is reported and not stored yet. It returns false if
// it was reported before.
func (t *taskState) addNewFailure(run leased.RunID) bool {
	if slices.ContainsFunc(t.newFailures, run.Same) {
		return false
	}
	t.newFailures = append(t.newFailures, run)
	return true
}

// hasFailed reports whether the failure of a run is stored.
func (t *taskState) hasFailed(run leased.RunID) bool {
	return slices.ContainsFunc(t.failedRuns, run.Same)
}

// lossOf returns the loss of a run, or nil if none is known.
func (t *taskState) lossOf(run leased.RunID) *runLoss {
	i := slices.IndexFunc(t.lostRuns, func(l runLoss) bool { return l.id.Same(run) })
	if i < 0 {
		return nil
	}
	return &t.lostRuns[i]
}

// setLossCause records the cause of the loss of a run. A loss that had no cause until
// then is no longer counted as unexplained.
func (t *taskState) setLossCause(run leased.RunID, cause leased.LossCause) {
	if l := t.lossOf(run); l != nil {
		t.losses--
		l.cause = cause
		return
	}
	t.lostRuns = append(t.lostRuns, runLoss{run, cause})
}

// explains reports whether the cause of the loss of a run is news.
func (t *taskState) explains(run leased.RunID, cause leased.LossCause) bool {
	l := t.lossOf(run)
	return l == nil || l.cause == leased.LossUnexplained && cause != leased.LossUnexplained
}

// countedRuns lists the runs that count against the task.
func (t *taskState) countedRuns() []leased.CountedRun {
	var list []leased.CountedRun
	for _, id := range t.failedRuns {
		if id.Number >= 0 {
			list = append(list, leased.CountedRun{ID: id, Failed: true})
		}
	}
	for _, l := range t.lostRuns {
		list = append(list, leased.CountedRun{ID: l.id, Cause: l.cause})
	}
	return list
}

// restoreCounted restores the runs that count against the task from a snapshot. One of
// an earlier version has the number of failures only.
func (t *taskState) restoreCounted(p *leased.TaskProgress) {
	for _, run := range p.Counted {
		if run.Failed {
			t.failedRuns = append(t.failedRuns, run.ID)
		} else {
			t.lostRuns = append(t.lostRuns, runLoss{run.ID, run.Cause})
		}
	}
	for n := len(t.failedRuns); n < p.Failures; n++ {
		t.failedRuns = append(t.failedRuns, leased.RunID{Number: -1 - n}) // the same as no other run
	}
}

// finalState returns the state of a job that has ended with one of its runs.
func (j *jobState) finalState() State {
	if j.unfinished == 0 {
		return Completed
	}
	return Failed
}

// usedUp reports whether a task has failed as often as it may, as stored or not: the job
// ends once that is stored.
func (j *jobState) usedUp() bool {
	for _, t := range j.tasks {
		if t.failures() >= max(1, j.spec.MaxAttempts) {
			return true
		}
	}
	return false
}

// taskProgress returns what is known about a task, stored or not.
func (t *taskState) taskProgress(key taskKey) leased.TaskProgress {
	return leased.TaskProgress{
		Step: key.step, Index: key.index, Done: t.done || t.reportedDone, Failures: t.failures(),
		Crashes: t.crashes, Losses: t.losses, LastRun: t.lastRun, Superseded: t.superseded, Checkpoint: t.checkpoint,
	}
}

// storedProgress returns what is stored about a task, for a snapshot.
func (t *taskState) storedProgress(key taskKey) leased.TaskProgress {
	p := t.taskProgress(key)
	p.Done, p.Failures, p.Counted = t.done, len(t.failedRuns), t.countedRuns()
	return p
}

// progressOf returns what is known about a task of the job. Of a job that has ended, that
// is all.
func (j *jobState) progressOf(id leased.TaskID) leased.TaskProgress {
	key := taskKey{id.Step, id.Index}
	if j == nil || j.state.Ended() {
		return leased.TaskProgress{Step: key.step, Index: key.index, JobEnded: true}
	}
	if t := j.task(id); t != nil {
		return t.taskProgress(key)
	}
	return leased.TaskProgress{Step: key.step, Index: key.index}
}

// progress lists what is known about the tasks, for a holder or for a snapshot, which
// contains what is stored only.
func (j *jobState) progress(snapshot bool) []leased.TaskProgress {
	list := make([]leased.TaskProgress, 0, len(j.tasks))
	for key, t := range j.tasks {
		p := t.taskProgress(key)
		if snapshot {
			p = t.storedProgress(key)
		}
		if p.Done || p.Failures > 0 || p.LastRun > 0 {
			list = append(list, p)
		}
	}
	sortByTask(list)
	return list
}

func sortByTask(list []leased.TaskProgress) {
	slices.SortFunc(list, func(a, b leased.TaskProgress) int {
		return cmp.Or(a.Step-b.Step, a.Index-b.Index)
	})
}

// jobToOffer returns the job as it is offered to a holder.
func (j *jobState) jobToOffer(now time.Time) leased.Job {
	job := *j.spec
	job.Stored = true
	job.Resubmitted = j.mayHaveStarted
	job.Waited = now.Sub(j.acceptedAt)
	job.Progress = j.progress(false)
	return job
}
