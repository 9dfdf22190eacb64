package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/standin/usersplatform"
)

// A soak test in crowd mode has more best-effort work than room: holders offer tasks to
// those of other domains again and again, callers whose connections break or who get no
// answer in time send their jobs again to any entry, and entries die and are back at once.
// It looks for tasks with two runs at the same time.

// Load and times of the crowd mode.
const (
	crowdJobInterval = 15 * time.Millisecond // 1.5 times the capacity of 3 domains with 4 executors each
	crowdDeadline    = 1500 * time.Millisecond
	// resendDelay is how long after a broken connection or a missing answer a caller sends
	// its job again.
	resendDelay      = 1300 * time.Millisecond
	crowdMaxAttempts = 8
	answerTime       = 100 * time.Millisecond // for the answer at a caller's deadline to arrive
	busyDomainShare  = 0.55                   // of the callers that are in the first failure domain
	breakShare       = 0.12                   // of the requests whose connection the caller's side resets
	// atOnceShare is the share of these connections that are reset right after the request
	// was sent, with Options.AtOnce. Their callers come back at once.
	atOnceShare = 0.3
	maxAtOnce   = 2 * time.Millisecond   // until these are reset
	maxBreak    = 900 * time.Millisecond // until the others are reset
	crowdPause  = 700 * time.Millisecond // mean pause between faults
	minDown     = 250 * time.Millisecond // until a killed entry starts again
	maxDown     = 700 * time.Millisecond
	maxFreeze   = 2500 * time.Millisecond
	// openShare is the share of the callers who leave a connection open on which they got no
	// answer in time.
	openShare = 0.3
	maxOpen   = 6 * time.Second // until they close it
)

// crowdKind is a kind of jobs.
type crowdKind struct {
	share   float64
	tasks   int // at most
	runTime time.Duration
}

var crowdKinds = []crowdKind{
	{0.70, 3, 200 * time.Millisecond},
	{0.24, 8, 60 * time.Millisecond},
	{0.06, 8, 900 * time.Millisecond},
}

// crowdJob is a job of a crowd and the decisions of its caller.
type crowdJob struct {
	id    leased.JobID
	tasks int
	run   time.Duration
	rng   *rand.Rand
}

// crowdLoad sends jobs until ctx ends.
func (s *soak) crowdLoad(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 71))
	for ctx.Err() == nil {
		s.jobCount++
		kind := pickKind(rng.Float64())
		j := &crowdJob{
			id: leased.JobID(fmt.Sprintf("%08x%08x", uint32(s.opts.Seed), s.jobCount)), tasks: 1 + rng.IntN(kind.tasks),
			run: kind.runTime/2 + time.Duration(rng.Int64N(int64(kind.runTime))), rng: rand.New(rand.NewPCG(s.opts.Seed, uint64(s.jobCount)+101)),
		}
		s.jobs.Go(func() { s.sendUntilAnswered(ctx, j) })
		time.Sleep(crowdJobInterval)
	}
}

func pickKind(draw float64) *crowdKind {
	for i := range crowdKinds {
		if draw < crowdKinds[i].share {
			return &crowdKinds[i]
		}
		draw -= crowdKinds[i].share
	}
	return &crowdKinds[0]
}

// sendUntilAnswered sends a job, and again to any entry after a broken connection, no
// answer or a 504.
func (s *soak) sendUntilAnswered(ctx context.Context, j *crowdJob) {
	entry := s.crowdEntry(j.rng)
	for attempt := 0; attempt < crowdMaxAttempts && ctx.Err() == nil; attempt++ {
		a, atOnce := s.crowdRequest(j, entry)
		s.mu.Lock()
		if attempt == 0 {
			s.report.Jobs++
		}
		s.report.Answers[fmt.Sprintf("%d %s", a.Status, a.State)]++
		s.mu.Unlock()
		if a.Status != 0 && a.Status != http.StatusGatewayTimeout && a.Status != http.StatusBadGateway {
			return
		}
		if !atOnce {
			time.Sleep(resendDelay)
		}
		entry = j.rng.IntN(len(s.deployment.Entries))
	}
}

// crowdEntry selects the entry that a caller's first connection goes to.
func (s *soak) crowdEntry(rng *rand.Rand) int {
	if rng.Float64() < busyDomainShare {
		return rng.IntN(s.opts.Entries)
	}
	return rng.IntN(len(s.deployment.Entries))
}

// crowdRequest sends a job on a connection of its own, which may be reset. It reports
// whether the caller comes back at once.
func (s *soak) crowdRequest(j *crowdJob, entry int) (a usersplatform.Response, atOnce bool) {
	var once sync.Once
	var conn *net.TCPConn
	dialed := make(chan struct{})
	front, keepsOpen := s.deployment.Entries[entry].Front, j.rng.Float64() < openShare
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			once.Do(func() { conn = c.(*net.TCPConn); close(dialed) })
		}
		return c, err
	}}
	ctx, cancel := context.WithTimeout(context.Background(), maxOpen)
	if j.rng.Float64() < breakShare {
		atOnce = s.opts.AtOnce && j.rng.Float64() < atOnceShare
		wait := time.Duration(j.rng.Int64N(int64(maxBreak)))
		if atOnce {
			wait = time.Duration(j.rng.Int64N(int64(maxAtOnce)))
		}
		go func() {
			select {
			case <-dialed:
				time.Sleep(wait)
				_ = conn.SetLinger(0) // the connection may be closed already
				_ = conn.Close()
			case <-ctx.Done():
			}
		}()
	}
	answered := make(chan usersplatform.Response, 1)
	go func() {
		defer cancel()
		defer transport.CloseIdleConnections()
		answered <- s.deployment.SubmitPatiently(ctx, &http.Client{Transport: transport}, front, j.id, j.tasks, j.run, crowdDeadline)
	}()
	select {
	case a = <-answered:
	case <-time.After(crowdDeadline + answerTime):
		if !keepsOpen {
			cancel()
		}
	}
	return a, atOnce && a.Status == 0
}

// disturbCrowd kills, stops and freezes entries, and disturbs the connections between
// them, until the given time.
func (s *soak) disturbCrowd(ctx context.Context, until time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 73))
	var faults sync.WaitGroup
	defer faults.Wait()
	for time.Now().Before(until) && ctx.Err() == nil {
		entry := rng.IntN(len(s.deployment.Entries))
		down, freeze := between(rng, minDown, maxDown), between(rng, 0, maxFreeze)
		name := s.deployment.Entries[entry].Name
		switch rng.IntN(6) {
		case 0, 1:
			s.recordFault("entry killed", "entry", name, "down", down.String())
			faults.Go(func() { s.kill(entry, down) })
		case 2:
			s.recordFault("entry stopped", "entry", name)
			faults.Go(func() { s.stop(entry) })
		case 3:
			s.recordFault("entry frozen", "entry", name, "for", freeze.String())
			faults.Go(func() { s.pause(entry, freeze) })
		default:
			s.disturb(rng, entry, &faults)
		}
		time.Sleep(between(rng, 0, 2*crowdPause))
	}
}

// runCrowd plays the crowd for FaultDuration.
func (s *soak) runCrowd(ctx context.Context) error {
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go s.watchOverlaps(watchCtx)
	loadCtx, stopLoad := context.WithCancel(ctx)
	loadEnded := make(chan struct{})
	go func() { s.crowdLoad(loadCtx); close(loadEnded) }()
	if s.opts.NoFaults {
		pause(ctx, s.opts.FaultDuration)
	} else {
		s.disturbCrowd(ctx, time.Now().Add(s.opts.FaultDuration))
	}
	stopLoad()
	<-loadEnded
	s.jobs.Wait()
	s.checkIdle()
	return ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
