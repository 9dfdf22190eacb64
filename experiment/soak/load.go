package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/standin/usersplatform"
)

// jobLoad describes the jobs of a soak test.
type jobLoad struct {
	interval, storedInterval time.Duration
	callerTimeout            time.Duration
	queueTimeout             time.Duration // 0: the usual one
	runTime                  func(*rand.Rand) time.Duration
	storedRunTime            func(*rand.Rand) time.Duration
}

// shortJobs is the usual load, about 0.7 of the capacity.
var shortJobs = jobLoad{
	interval: jobInterval, storedInterval: storedInterval, callerTimeout: callerTimeout,
	runTime:       func(rng *rand.Rand) time.Duration { return time.Duration(20+rng.IntN(200)) * time.Millisecond },
	storedRunTime: func(rng *rand.Rand) time.Duration { return time.Duration(20+rng.IntN(300)) * time.Millisecond },
}

// longJobs is the load of a soak test with faults between entries, about 0.8 of the
// capacity. Its runs are active when connections break, and its larger jobs need
// more than the executors of one holder, so holders delegate tasks.
var longJobs = jobLoad{
	interval: 110 * time.Millisecond, storedInterval: 2 * storedInterval, callerTimeout: 5 * time.Second,
	queueTimeout: 4 * time.Second, runTime: longRun, storedRunTime: longRun,
}

// longRun returns a run time from 60 ms to 2 s. Its logarithm has a uniform
// distribution.
func longRun(rng *rand.Rand) time.Duration {
	const shortest, longest = 60 * time.Millisecond, 2 * time.Second
	ratio := float64(longest) / float64(shortest)
	return time.Duration(float64(shortest) * math.Pow(ratio, rng.Float64()))
}

// load sends jobs until ctx ends. It passes the answers of callers that stay
// connected to onAnswer, which may be nil.
func (s *soak) load(ctx context.Context, load *jobLoad, onAnswer func(usersplatform.Response)) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, uint64(s.jobCount)+11))
	for ctx.Err() == nil {
		s.jobCount++
		id := leased.JobID(fmt.Sprintf("%08x%08x", uint32(s.opts.Seed), s.jobCount))
		entry := rng.IntN(len(s.deployment.Entries))
		tasks := 1 + rng.IntN(5)
		run := load.runTime(rng)
		disconnects := rng.IntN(12) == 0
		s.jobs.Go(func() { s.submitJob(id, entry, tasks, run, load.callerTimeout, disconnects, onAnswer) })
		time.Sleep(load.interval)
	}
}

// submitJob submits a job. Like real callers, it submits the job again to
// another entry if the connection breaks or the request times out.
func (s *soak) submitJob(id leased.JobID, entry, tasks int, run, timeout time.Duration, disconnects bool, onAnswer func(usersplatform.Response)) {
	if disconnects {
		timeout = run / 2
	}
	const retryDelay = 1300 * time.Millisecond
	var a usersplatform.Response
	refusals, attempt := 0, 0
	for ; attempt < 2; attempt++ {
		front := s.deployment.Entries[(entry+attempt)%len(s.deployment.Entries)].Front
		a = s.deployment.Submit(context.Background(), s.client, front, id, tasks, run, timeout)
		if a.Status == http.StatusServiceUnavailable {
			refusals++
		}
		if a.Status != 0 && a.Status != http.StatusGatewayTimeout || disconnects {
			break
		}
		time.Sleep(retryDelay)
	}
	if refusals == 1 && attempt == 0 && s.deployment.StartedRuns(id) > 0 {
		s.addViolation("job %s was refused as not run, but %d runs of it were started", id, s.deployment.StartedRuns(id))
	}
	s.mu.Lock()
	s.report.Jobs++
	s.report.Answers[fmt.Sprintf("%d %s", a.Status, a.State)]++
	s.mu.Unlock()
	if onAnswer != nil && !disconnects {
		onAnswer(a)
	}
}
