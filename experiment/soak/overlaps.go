package soak

import (
	"context"
	"fmt"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

// overlap is two runs of a task at the same time.
type overlap struct {
	task      leased.TaskID
	executors [2]leased.EndpointID
	runs      [2]int
}

func (o overlap) String() string {
	return fmt.Sprintf("task %v has run %d on %s and run %d on %s at the same time", o.task, o.runs[0], o.executors[0], o.runs[1], o.executors[1])
}

// overlapsIn returns the tasks that run on two executors.
func overlapsIn(executors []*leasedtest.Endpoint) []overlap {
	type running struct {
		executor leased.EndpointID
		run      int
	}
	var found []overlap
	first := make(map[leased.TaskID]running)
	for _, e := range executors {
		for _, r := range e.Running() {
			if other, twice := first[r.Task]; twice {
				found = append(found, overlap{r.Task, [2]leased.EndpointID{other.executor, e.ID}, [2]int{other.run, r.Number}})
				continue
			}
			first[r.Task] = running{e.ID, r.Number}
		}
	}
	return found
}

// watchOverlaps looks for tasks with two runs at the same time: at intervals, and
// whenever a run has started. It reports each of them once.
func (s *soak) watchOverlaps(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	reported := make(map[overlap]bool)
	for {
		s.deployment.WithExecutorStates(func(executors []*leasedtest.Endpoint) {
			for _, o := range overlapsIn(executors) {
				if !reported[o] {
					reported[o] = true
					s.addViolation("%v, at %s", o, time.Now().UTC().Format(time.RFC3339Nano))
				}
			}
		})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.runStarted:
		}
	}
}

// started checks the start of a run.
func (s *soak) started(domain string, executor leased.EndpointID, labels []string, task leased.TaskID) {
	s.evacuations.started(domain, executor, task)
	s.storedRuns.started(executor, labels, task)
	s.events.add("run started", "executor", executor, "task", task)
	select {
	case s.runStarted <- struct{}{}:
	default: // the watcher has not looked since an earlier start
	}
}
