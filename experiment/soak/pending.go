package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"
)

// Times of the questions for pending jobs.
const (
	pendingInterval = 250 * time.Millisecond
	// countedAfter is the time after its acceptance from which on a job that waits must be
	// counted.
	countedAfter = 5 * time.Second
)

// acceptedJob is a stored job that was accepted.
type acceptedJob struct {
	tasks int
	at    time.Time
}

// askPending asks entries for the number of pending jobs until ctx ends. A number must not
// be less than half of the jobs that wait.
func (s *soak) askPending(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 29))
	for ctx.Err() == nil {
		front := s.deployment.Entries[rng.IntN(len(s.deployment.Entries))].Front
		sent := time.Now()
		a := s.deployment.Pending(ctx, s.client, front, stateTimeout)
		if a.Status == http.StatusOK {
			if waiting := s.waitingJobs(sent.Add(-countedAfter)); 2*a.Pending < waiting {
				s.addViolation("%s gives %d jobs as pending, %d have waited for longer than %v", front, a.Pending, waiting, countedAfter)
			}
		}
		time.Sleep(pendingInterval)
	}
}

// waitingJobs counts the stored jobs that were accepted before a time and of which no task
// has started.
func (s *soak) waitingJobs(acceptedBefore time.Time) int {
	s.mu.Lock()
	jobs := maps.Clone(s.acceptedJobs)
	s.mu.Unlock()
	n := 0
	for id, job := range jobs {
		if job.at.Before(acceptedBefore) && !s.storedRuns.begun(id, job.tasks) {
			n++
		}
	}
	return n
}
