package soak

import (
	"slices"
	"sync"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/standin/usersplatform"
)

// storedRuns records what executors see of the tasks of stored jobs, and checks each start
// of them. It is safe for concurrent use.
type storedRuns struct {
	addViolation func(string, ...any)

	mu     sync.Mutex
	labels map[leased.JobID]string // that stored jobs require; empty: none
	tasks  map[leased.TaskID]*storedTask
	ends   map[storedEnd]*endedRun
}

// storedTask is a task of a stored job.
type storedTask struct {
	starts []time.Time
	ends   []*endedRun
}

// storedEnd identifies the end of a run: executors number their ends in each incarnation.
type storedEnd struct {
	executor leased.EndpointID
	task     leased.TaskID
	run      int
}

type endedRun struct {
	at           time.Time
	end          leased.End
	acknowledged bool // and the lease of the executor did not expire in between
}

func newStoredRuns(addViolation func(string, ...any)) *storedRuns {
	return &storedRuns{
		addViolation: addViolation, labels: make(map[leased.JobID]string),
		tasks: make(map[leased.TaskID]*storedTask), ends: make(map[storedEnd]*endedRun),
	}
}

// submitted records a stored job that is about to be submitted.
func (s *storedRuns) submitted(job *usersplatform.StoredJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.labels[job.ID] = job.Label
}

// watch records the ends at an executor.
func (s *storedRuns) watch(x *usersplatform.Executor) {
	x.WithState(func(e *leasedtest.Endpoint) {
		e.OnEnded = func(end leased.EndedRun) { s.ended(e.ID, end) }
		e.OnAcknowledged = func(end leased.EndedRun, lapsed bool) { s.acknowledged(e.ID, end, lapsed) }
	})
}

// started checks the start of a run.
func (s *storedRuns) started(executor leased.EndpointID, labels []string, task leased.TaskID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	label, isStored := s.labels[task.Job]
	if !isStored {
		return
	}
	if label != "" && !slices.Contains(labels, label) {
		s.addViolation("task %v requires %q and was started on %s, which has %v", task, label, executor, labels)
	}
	t := s.task(task)
	t.starts = append(t.starts, time.Now())
}

func (s *storedRuns) task(id leased.TaskID) *storedTask {
	if s.tasks[id] == nil {
		s.tasks[id] = &storedTask{}
	}
	return s.tasks[id]
}

func (s *storedRuns) ended(executor leased.EndpointID, end leased.EndedRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, isStored := s.labels[end.Task.Job]; !isStored {
		return
	}
	e := &endedRun{at: time.Now(), end: end.End}
	s.task(end.Task).ends = append(s.task(end.Task).ends, e)
	s.ends[storedEnd{executor, end.Task, end.Run}] = e
}

func (s *storedRuns) acknowledged(executor leased.EndpointID, end leased.EndedRun, lapsed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.ends[storedEnd{executor, end.Task, end.Run}]; e != nil {
		e.acknowledged = !lapsed
	}
}

// begun reports whether a task of a job has started.
func (s *storedRuns) begun(id leased.JobID, tasks int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for index := range tasks {
		if t := s.tasks[leased.TaskID{Job: id, Index: index}]; t != nil && len(t.starts) > 0 {
			return true
		}
	}
	return false
}

// startAfter returns how long after a time a task of a job was started last; 0: none was.
func (s *storedRuns) startAfter(id leased.JobID, tasks int, after time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := time.Duration(0)
	for index := range tasks {
		if t := s.tasks[leased.TaskID{Job: id, Index: index}]; t != nil {
			for _, start := range t.starts {
				longest = max(longest, start.Sub(after))
			}
		}
	}
	return longest
}

// mayFail reports whether a task of a job has failed as often as it may.
func (s *storedRuns) mayFail(id leased.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for task, t := range s.tasks {
		if task.Job == id && count(t.ends, func(e *endedRun) bool { return e.end == leased.EndFailed }) >= usersplatform.MaxAttempts {
			return true
		}
	}
	return false
}

// check checks the starts of all tasks against the ends that were acknowledged.
func (s *storedRuns) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for task, t := range s.tasks {
		for _, start := range t.starts {
			earlier := func(end leased.End) int {
				return count(t.ends, func(e *endedRun) bool { return e.acknowledged && e.end == end && e.at.Before(start) })
			}
			if earlier(leased.EndDone) > 0 {
				s.addViolation("task %v was started again after it was done and that was acknowledged", task)
			}
			if n := earlier(leased.EndFailed); n >= usersplatform.MaxAttempts {
				s.addViolation("task %v was started after %d failures, of %d that it may have", task, n, usersplatform.MaxAttempts)
			}
		}
	}
}

func count(ends []*endedRun, matches func(*endedRun) bool) int {
	n := 0
	for _, e := range ends {
		if matches(e) {
			n++
		}
	}
	return n
}
