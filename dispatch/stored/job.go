package stored

import (
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
)

// jobState is what the owner knows of a job.
type jobState struct {
	id              leased.JobID
	spec            *leased.Job // nil once the job has ended
	state           State
	stored          bool
	offset          int64 // of the record that all later ones of the job build on
	writtenAt       time.Time
	snapshotPending bool
	acceptedAt      time.Time
	endedAt         time.Time
	attempt         int  // of the newest offer
	mayHaveStarted  bool // runs may be under way that no holder has told of
	confirmBy       time.Time
	tasks           map[taskKey]*taskState
	unfinished      int // tasks that are not stored as done
	// unreported counts the tasks that are not known to be done.
	unreported int
}

// taskKey names a task of a job.
type taskKey struct{ step, index int }

// taskState is what is stored of a task.
type taskState struct {
	done         bool
	reportedDone bool  // as done, though that may not be stored yet
	failedRuns   []int // numbers of runs that failed
	newestRun    int   // highest number of a run that is known
	saved        string
}

func newJobState(spec *leased.Job, now time.Time) *jobState {
	j := &jobState{id: spec.ID, spec: spec, state: Queued, acceptedAt: now, tasks: make(map[taskKey]*taskState)}
	for i := range spec.Steps {
		j.unfinished += spec.Steps[i].Tasks
	}
	j.unreported = j.unfinished
	return j
}

// task returns the state of a task, or nil if the job has no such task.
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

// markReportedDone notes that a task is known to be done.
func (j *jobState) markReportedDone(t *taskState) {
	if !t.reportedDone {
		t.reportedDone = true
		j.unreported--
	}
}

// markEnded notes that nothing of the job is to run any more.
func (j *jobState) markEnded(state State, now time.Time) {
	j.state = state
	j.endedAt = now
	j.spec = nil
	j.tasks = nil
	j.confirmBy = time.Time{}
}

// applyTaskEnded applies the end of a run. It returns true if that ends the job.
func (j *jobState) applyTaskEnded(e *Event) bool {
	t := j.task(e.Task)
	if t == nil || t.done {
		return false
	}
	t.newestRun = max(t.newestRun, e.Run)
	if e.Saved != "" {
		t.saved = e.Saved
	}
	if e.Done {
		t.done = true
		j.unfinished--
		j.markReportedDone(t)
		return j.unfinished == 0
	}
	if !slices.Contains(t.failedRuns, e.Run) {
		t.failedRuns = append(t.failedRuns, e.Run)
	}
	return len(t.failedRuns) >= max(1, j.spec.MaxAttempts)
}

// finalState is the state of a job that an end of a run has ended.
func (j *jobState) finalState() State {
	if j.unfinished == 0 {
		return Completed
	}
	return Failed
}

// progress lists what is known of the tasks, or only what is stored of them.
func (j *jobState) progress(onlyStored bool) []leased.TaskProgress {
	list := make([]leased.TaskProgress, 0, len(j.tasks))
	for key, t := range j.tasks {
		done := t.done || t.reportedDone && !onlyStored
		if done || len(t.failedRuns) > 0 || t.newestRun > 0 {
			list = append(list, leased.TaskProgress{
				Step: key.step, Index: key.index, Done: done, Failures: len(t.failedRuns), Newest: t.newestRun, Saved: t.saved,
			})
		}
	}
	slices.SortFunc(list, func(a, b leased.TaskProgress) int {
		if a.Step != b.Step {
			return a.Step - b.Step
		}
		return a.Index - b.Index
	})
	return list
}

// jobToOffer returns the job as a holder gets it.
func (j *jobState) jobToOffer(now time.Time) leased.Job {
	job := *j.spec
	job.Kept = true
	job.Resubmitted = j.mayHaveStarted
	job.Waited = now.Sub(j.acceptedAt)
	job.Progress = j.progress(false)
	return job
}
