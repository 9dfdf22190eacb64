package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/standin/usersplatform"
)

// Numbers and times of clients who leave and cancel their jobs.
const (
	// leaversEvery is the mean number of stored jobs per group of such clients. A group comes
	// at once, so that some of its jobs wait for the log.
	leaversEvery  = 16
	groupSize     = 12
	longestStay   = 400 * time.Millisecond
	shortStay     = 60 * time.Millisecond // about the time between two appends
	longestPause  = 5 * time.Millisecond  // between the end of the connection and the cancellation
	cancelTimeout = 2 * time.Second       // of one request
	cancelRetry   = 300 * time.Millisecond
	// cancelLimit is the time after the acknowledgement of a cancellation, and after the last
	// fault, from which on no task of the job is started.
	cancelLimit = 3 * time.Second
)

// leaver is a client who leaves while its job may be being stored, and cancels the job at
// another entry.
type leaver struct {
	job        *usersplatform.StoredJob
	entry      int           // that gets the submission
	cancelAt   int           // entry that gets the cancellation first
	stay       time.Duration // until it closes the connection
	pause      time.Duration
	submitsTwo bool // to the next entry as well
}

// cancelledJob is a job whose cancellation was acknowledged.
type cancelledJob struct {
	tasks  int
	at     time.Time
	denied bool // the answer was that there is no such job
}

// leavers plays a group of clients who leave. First is the number of its first job.
func (s *soak) leavers(ctx context.Context, rng *rand.Rand, first int, run time.Duration) {
	entries := len(s.deployment.Entries)
	for n := range groupSize {
		stay := longestStay
		if rng.IntN(3) > 0 {
			stay = shortStay
		}
		l := &leaver{
			job:   &usersplatform.StoredJob{ID: leased.JobID(fmt.Sprintf("%08x%08x", uint32(s.opts.Seed), 3<<30+first+n)), Tasks: 1, Run: run},
			entry: rng.IntN(entries), cancelAt: rng.IntN(entries), stay: time.Duration(rng.Int64N(int64(stay))),
			pause: time.Duration(rng.Int64N(int64(longestPause))), submitsTwo: rng.IntN(4) == 0,
		}
		s.jobs.Go(func() { s.leaveAndCancel(ctx, l) })
	}
}

// leaveAndCancel plays a client until its cancellation is acknowledged.
func (s *soak) leaveAndCancel(ctx context.Context, l *leaver) {
	id, entries := l.job.ID, s.deployment.Entries
	s.storedRuns.submitted(l.job)
	if l.submitsTwo {
		s.jobs.Go(func() {
			s.deployment.SubmitStored(context.Background(), s.client, entries[(l.entry+1)%len(entries)].Front, l.job, l.stay)
		})
	}
	a := s.deployment.SubmitStored(context.Background(), s.client, entries[l.entry].Front, l.job, l.stay)
	time.Sleep(l.pause)
	for n := l.cancelAt; ctx.Err() == nil; n++ {
		answer := s.deployment.CancelStored(context.Background(), s.client, entries[n%len(entries)].Front, id, cancelTimeout)
		s.countAnswer("cancel", answer)
		if answer.Status != http.StatusOK && answer.Status != http.StatusGone {
			time.Sleep(cancelRetry)
			continue
		}
		s.events.add("job cancelled", "job", id, "status", answer.Status)
		denied := answer.Status == http.StatusGone
		if denied && a.Status == http.StatusOK {
			s.addViolation("job %s was accepted, and its cancellation is answered with 410", id)
		}
		s.mu.Lock()
		s.cancelledJobs[id] = cancelledJob{l.job.Tasks, time.Now(), denied}
		s.mu.Unlock()
		return
	}
}

func (s *soak) countAnswer(request string, a usersplatform.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Answers[fmt.Sprintf("%s %d %s", request, a.Status, a.State)]++
}

// checkCancelled checks that no cancelled job has run on, and that none runs that was said not
// to exist.
func (s *soak) checkCancelled(ctx context.Context) {
	n := 0
	for id, job := range s.cancelledJobs {
		n++
		if job.denied && s.storedRuns.begun(id, job.tasks) {
			s.addViolation("job %s has run, and its cancellation was answered with 410", id)
		}
		if started := s.storedRuns.startAfter(id, job.tasks, latest(job.at, s.calmSince).Add(cancelLimit)); started > 0 {
			s.addViolation("a task of job %s was started %v after the job was cancelled, the last fault had ended by then", id, started+cancelLimit)
		}
		a := s.deployment.QueryStored(ctx, s.client, s.deployment.Entries[n%len(s.deployment.Entries)].Front, id, stateTimeout)
		if a.Status == http.StatusOK && (a.State == "queued" || a.State == "running" || job.denied && a.State != "cancelled") {
			s.addViolation("job %s is %s, and its cancellation was acknowledged, with 410: %v", id, a.State, job.denied)
		}
	}
	s.report.Cancelled = n
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
