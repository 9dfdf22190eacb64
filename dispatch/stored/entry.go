package stored

import (
	"slices"
	"time"

	"lovagespread.example/dispatch/leased"
)

// entry is what the owner knows of a job.
type entry struct {
	id        leased.JobID
	spec      *leased.Job // nil once the job has ended
	state     State
	stored    bool
	offset    int64 // of the record that all later ones of the job build on
	writtenAt time.Time
	rewriting bool
	accepted  time.Time
	endedAt   time.Time
	attempt   int  // of the newest offer
	begun     bool // runs may be under way that no holder has told of
	confirmBy time.Time
	tasks     map[taskKey]*taskState
	left      int // tasks that are not stored as done
	// unreported counts the tasks that are not known to be done.
	unreported int
}

// taskKey names a task of a job.
type taskKey struct{ step, index int }

// taskState is what is stored of a task.
type taskState struct {
	done     bool
	reported bool  // as done, though that may not be stored yet
	failed   []int // numbers of runs that failed
	newest   int   // highest number of a run that is known
	saved    string
}

func newEntry(spec *leased.Job, now time.Time) *entry {
	j := &entry{id: spec.ID, spec: spec, state: Queued, accepted: now, tasks: make(map[taskKey]*taskState)}
	for i := range spec.Steps {
		j.left += spec.Steps[i].Tasks
	}
	j.unreported = j.left
	return j
}

// task returns the state of a task, or nil if the job has no such task.
func (j *entry) task(id leased.TaskID) *taskState {
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

// reportDone notes that a task is known to be done.
func (j *entry) reportDone(t *taskState) {
	if !t.reported {
		t.reported = true
		j.unreported--
	}
}

// end notes that nothing of the job is to run any more.
func (j *entry) end(state State, now time.Time) {
	j.state = state
	j.endedAt = now
	j.spec = nil
	j.tasks = nil
	j.confirmBy = time.Time{}
}

// taskEnded applies the end of a run. It returns true if that ends the job.
func (j *entry) taskEnded(e *Event) bool {
	t := j.task(e.Task)
	if t == nil || t.done {
		return false
	}
	t.newest = max(t.newest, e.Run)
	if e.Saved != "" {
		t.saved = e.Saved
	}
	if e.Done {
		t.done = true
		j.left--
		j.reportDone(t)
		return j.left == 0
	}
	if !slices.Contains(t.failed, e.Run) {
		t.failed = append(t.failed, e.Run)
	}
	return len(t.failed) >= max(1, j.spec.MaxAttempts)
}

// endState is the state of a job that an end of a run has ended.
func (j *entry) endState() State {
	if j.left == 0 {
		return Completed
	}
	return Failed
}

// progress lists what is known of the tasks, or only what is stored of them.
func (j *entry) progress(onlyStored bool) []leased.TaskProgress {
	list := make([]leased.TaskProgress, 0, len(j.tasks))
	for key, t := range j.tasks {
		done := t.done || t.reported && !onlyStored
		if done || len(t.failed) > 0 || t.newest > 0 {
			list = append(list, leased.TaskProgress{
				Step: key.step, Index: key.index, Done: done, Failures: len(t.failed), LastRun: t.newest, Checkpoint: t.saved,
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

// offered returns the job as a holder gets it.
func (j *entry) offered(now time.Time) leased.Job {
	job := *j.spec
	job.Stored = true
	job.Resubmitted = j.begun
	job.Waited = now.Sub(j.accepted)
	job.Progress = j.progress(false)
	return job
}
