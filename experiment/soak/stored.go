package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/standin/usersplatform"
)

// Sizes and times of stored jobs.
const (
	storedInterval = 120 * time.Millisecond
	// endTimeout is how long stored jobs may take to end after the faults and
	// the check of recovery.
	endTimeout   = 20 * time.Second
	stateTimeout = 3 * time.Second // of one request for the state of a job
	// deadlyJobEvery is the mean number of stored jobs per job with a task that
	// crashes its executors.
	deadlyJobEvery = 25
	// maxDeadlyStarts bounds the starts of such a task by entries that nothing
	// disturbs. Each fault may let an entry start it once more, because the entry
	// loses or cannot get what is known of its crashes.
	maxDeadlyStarts = 5
)

// storeJobs submits stored jobs, which outlive their callers, until ctx ends. Clients who leave
// cancel their jobs until runCtx ends.
func (s *soak) storeJobs(ctx, runCtx context.Context, load *jobLoad) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 23))
	leaves := rand.New(rand.NewPCG(s.opts.Seed, 31))
	for n := 0; ctx.Err() == nil; n++ {
		id := leased.JobID(fmt.Sprintf("%08x%08x", uint32(s.opts.Seed), 1<<31+n))
		entry := rng.IntN(len(s.deployment.Entries))
		tasks := 1 + rng.IntN(3)
		run := load.storedRunTime(rng)
		if !s.opts.NoFaults && rng.IntN(deadlyJobEvery) == 0 {
			s.deployment.MakeDeadly(leased.TaskID{Job: id, Index: rng.IntN(tasks)})
		}
		job := &usersplatform.StoredJob{ID: id, Tasks: tasks, Run: run, Label: storedLabels[rng.IntN(len(storedLabels))], FailShare: failShareOf(rng)}
		if s.opts.NoFaults {
			job.FailShare = 0
		}
		s.jobs.Go(func() { s.storeJob(job, entry) })
		if leaves.IntN(leaversEvery) == 0 {
			s.leavers(runCtx, leaves, n*groupSize, run)
		}
		time.Sleep(load.storedInterval)
	}
}

// storedLabels are required by equal parts of the stored jobs.
var storedLabels = append([]string{"", ""}, usersplatform.Labels...)

// failShareOf returns the share of the runs of a stored job that fail: none for most jobs,
// some for one in four, all for one in 25.
func failShareOf(rng *rand.Rand) float64 {
	const jobs, hopeless, flaky = 25, 1, 6
	switch n := rng.IntN(jobs); {
	case n < hopeless:
		return 1
	case n < hopeless+flaky:
		return 0.15
	}
	return 0
}

// storeJob submits a stored job once, without retries. A refused job must never
// run.
func (s *soak) storeJob(job *usersplatform.StoredJob, entry int) {
	id := job.ID
	s.storedRuns.submitted(job)
	a := s.deployment.SubmitStored(context.Background(), s.client, s.deployment.Entries[entry].Front, job, callerTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Answers[fmt.Sprintf("store %d %s", a.Status, a.State)]++
	switch a.Status {
	case http.StatusOK:
		s.accepted = append(s.accepted, id)
		s.acceptedJobs[id] = acceptedJob{job.Tasks, time.Now()}
	case http.StatusServiceUnavailable:
		s.refused = append(s.refused, id)
	}
}

// checkStored asks for each accepted job, through the entries in turn, until it
// has ended. No entry that responds may report it as unknown.
func (s *soak) checkStored(ctx context.Context) {
	deadline := time.Now().Add(endTimeout)
	for i, id := range s.accepted {
		for {
			front := s.deployment.Entries[i%len(s.deployment.Entries)].Front
			a := s.deployment.QueryStored(ctx, s.client, front, id, stateTimeout)
			if a.Status == http.StatusGone {
				s.addViolation("stored job %s is unknown", id)
				break
			}
			if a.State == "completed" {
				break
			}
			if a.State == "failed" || a.State == "cancelled" {
				s.checkFailure(id, a.State)
				break
			}
			if time.Now().After(deadline) {
				s.addViolation("stored job %s is %d %q %v after the faults", id, a.Status, a.State, endTimeout)
				break
			}
			i++
			time.Sleep(checkInterval)
		}
	}
	for _, id := range s.refused {
		if n := s.deployment.StartedRuns(id); n > 0 {
			s.addViolation("job %s was refused, but %d runs of it were started", id, n)
		}
	}
	s.report.Stored = len(s.accepted)
	s.checkDeadly()
}

// checkDeadly checks how often tasks have started that crash their executors.
func (s *soak) checkDeadly() {
	faults := lo.Sum(lo.Values(s.report.Faults))
	for task, starts := range s.deployment.DeadlyStarts() {
		s.report.DeadlyStarts[starts]++
		if starts > maxDeadlyStarts+faults {
			s.addViolation("task %v, which crashes its executors, was started %d times amid %d faults", task, starts, faults)
		}
	}
}

// checkFailure reports a stored job that ended without being completed. A job may fail if
// the runs of one of its tasks have failed as often as they may.
func (s *soak) checkFailure(id leased.JobID, state string) {
	if state == "failed" && (s.storedRuns.mayFail(id) || s.hasDeadlyTask(id)) {
		return
	}
	s.addViolation("stored job %s is %s", id, state)
}

func (s *soak) hasDeadlyTask(id leased.JobID) bool {
	return lo.SomeBy(lo.Keys(s.deployment.DeadlyStarts()), func(task leased.TaskID) bool { return task.Job == id })
}
