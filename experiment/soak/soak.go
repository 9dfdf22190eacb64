// Package soak runs real entries as separate processes against a stand-in of
// the users' platform, injects overlapping faults from outside the entries, and
// checks the guarantees by what callers and executors observe.
//
//	seed → a schedule of faults and jobs → violations
//
// In crowd mode it plays more work than room instead (crowd.go).
//
// Even seeds also evacuate failure domains. Two of three seeds have faults between the
// entries while entries are restarted, with jobs that last longer.
//
// It checks these guarantees: no task has two runs at the same time; a job that
// was refused as not run has not run; jobs are served again after the faults;
// no task runs for long after the last caller has disconnected; planned stops
// end within the grace period; no task starts in an evacuated failure domain later
// than allowed after the request; every stored job stays known and ends, and no
// refused one has run; a task that crashes its executors is given up; a stored job whose
// client leaves and cancels it does not run on, nor at all if there is said to be no such job.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/standin/usersplatform"
)

// Options describe a soak test.
type Options struct {
	Binary        string // lovage-fleet
	Dir           string // for settings and logs
	Seed          uint64
	FaultDuration time.Duration // how long faults are injected
	Domains       int
	Entries       int // of each failure domain
	Subnet        int // see usersplatform.Options
	NoFaults      bool
	Crowd         bool // see crowd.go
	// AtOnce lets some callers of a crowd come back at once, and not after resendDelay.
	AtOnce bool
}

// Report is the result of a soak test.
type Report struct {
	Seed              uint64         `json:"seed"`
	Jobs              int            `json:"jobs"`
	Stored            int            `json:"stored"`    // jobs that outlive their callers
	Cancelled         int            `json:"cancelled"` // stored jobs whose clients have left and cancelled them
	Answers           map[string]int `json:"answers"`
	Faults            map[string]int `json:"faults"`
	ServedAfterFaults float64        `json:"served_after_faults"` // share of the jobs after the faults
	DeadlyStarts      map[int]int    `json:"deadly_starts"`       // tasks that crash their executors, by number of starts
	// EvacuationsChecked is the number of evacuations that were in force for longer
	// than evacuationBound.
	EvacuationsChecked int            `json:"evacuations_checked"`
	Starts             map[string]int `json:"starts"` // by failure domain
	Violations         []string       `json:"violations"`
}

// Sizes and times of a soak test.
const (
	executorsPerDomain = 4
	jobInterval        = 25 * time.Millisecond
	faultInterval      = 600 * time.Millisecond
	checkInterval      = 5 * time.Millisecond
	readyTimeout       = 15 * time.Second
	stopTimeout        = 6500 * time.Millisecond
	callerTimeout      = 3 * time.Second
	// recoveryTime is how long entries may take to recover after the last fault
	// before jobs must be served again.
	recoveryTime      = 8 * time.Second
	recoveryCheckTime = 3 * time.Second
	idleTimeout       = 4 * time.Second
	minServedShare    = 0.95 // of the jobs after the faults
	maxViolations     = 20   // in the report
)

// Run runs one soak test.
func Run(ctx context.Context, opts Options) (*Report, error) {
	s := &soak{
		opts:   opts,
		rng:    rand.New(rand.NewPCG(opts.Seed, 7)),
		report: &Report{Seed: opts.Seed, Answers: make(map[string]int), Faults: make(map[string]int), DeadlyStarts: make(map[int]int)},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}, runStarted: make(chan struct{}, 1), jobLoad: &shortJobs,
		acceptedJobs: make(map[leased.JobID]acceptedJob), cancelledJobs: make(map[leased.JobID]cancelledJob),
	}
	if !opts.NoFaults && disturbsPeers(opts.Seed) {
		s.jobLoad = &longJobs
	}
	events, err := openEvents(opts.Dir)
	if err != nil {
		return nil, err
	}
	defer events.close()
	s.events = events
	s.evacuations = newEvacuations(s.addViolation)
	s.storedRuns = newStoredRuns(s.addViolation)
	d, err := usersplatform.Start(usersplatform.Options{
		Dir: opts.Dir, Domains: opts.Domains, Entries: opts.Entries, Executors: executorsPerDomain, Subnet: opts.Subnet,
		EvacuationBound: evacuationBound, QueueTimeout: s.jobLoad.queueTimeout, OnStart: s.started,
	})
	if err != nil {
		return nil, err
	}
	defer d.Close()
	s.deployment, s.processes = d, make([]*process, len(d.Entries))
	for _, x := range d.Executors {
		s.storedRuns.watch(x)
	}
	defer s.killAll()
	if err := s.startAll(ctx); err != nil {
		return nil, err
	}
	if opts.Crowd {
		return s.report, s.runCrowd(ctx)
	}
	return s.report, s.run(ctx)
}

type soak struct {
	opts        Options
	deployment  *usersplatform.Deployment
	evacuations *evacuations
	storedRuns  *storedRuns
	events      *events
	jobLoad     *jobLoad      // during the faults
	runStarted  chan struct{} // wakes the check for overlaps
	rng         *rand.Rand    // used only by the goroutine of run
	client      *http.Client
	processes   []*process
	jobs        sync.WaitGroup
	jobCount    int

	mu       sync.Mutex
	report   *Report
	accepted []leased.JobID // stored jobs
	// acceptedJobs are the same by ID.
	acceptedJobs map[leased.JobID]acceptedJob
	refused      []leased.JobID // jobs that were refused for storage
	// cancelledJobs are those of clients who have left; calmSince is the end of the faults.
	cancelledJobs map[leased.JobID]cancelledJob
	calmSince     time.Time
}

// process is the process of an entry.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (s *soak) addViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.report.Violations) < maxViolations {
		s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
	}
}

func (s *soak) startAll(ctx context.Context) error {
	for i := range s.processes {
		if err := s.start(i); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, e := range s.deployment.Entries {
		for !s.ready(ctx, e.Ready) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready after %v: see its log in %s", e.Name, readyTimeout, s.opts.Dir)
			}
			time.Sleep(checkInterval)
		}
	}
	return nil
}

func (s *soak) ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *soak) start(i int) error {
	e := s.deployment.Entries[i]
	const permissions = 0o600
	log, err := os.OpenFile(filepath.Join(s.opts.Dir, e.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, permissions)
	if err != nil {
		return errors.Wrap(err, "open the log of an entry")
	}
	defer log.Close()
	cmd := exec.Command(s.opts.Binary, "-config", e.Settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.ExtraFiles = []*os.File{s.deployment.Reservation}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start an entry")
	}
	s.deployment.Peers.Started(i)
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the exit status of a killed process is not meaningful
		s.deployment.Peers.Ended(i)
		close(p.exited)
	}()
	s.processes[i] = p
	return nil
}

func (s *soak) killAll() {
	for _, p := range s.processes {
		if p == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.exited
	}
}

// run sends jobs and injects faults for FaultDuration, then checks that jobs
// are served again.
func (s *soak) run(ctx context.Context) error {
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go s.watchOverlaps(watchCtx)
	loadCtx, stopLoad := context.WithCancel(ctx)
	loadEnded := make(chan struct{})
	go func() { s.load(loadCtx, s.jobLoad, nil); close(loadEnded) }()
	storingEnded := make(chan struct{})
	go func() { s.storeJobs(loadCtx, watchCtx, s.jobLoad); close(storingEnded) }()
	go s.askPending(watchCtx)
	var faults sync.WaitGroup
	if !s.opts.NoFaults && evacuatesDomains(s.opts.Seed) {
		faults.Go(func() { s.evacuateDomains(time.Now().Add(s.opts.FaultDuration)) })
	}
	if !s.opts.NoFaults && disturbsPeers(s.opts.Seed) {
		faults.Go(func() { s.disturbPeers(ctx, time.Now().Add(s.opts.FaultDuration)) })
	}
	for start := time.Now(); time.Since(start) < s.opts.FaultDuration && ctx.Err() == nil; {
		if !s.opts.NoFaults {
			s.startFault(&faults)
		}
		time.Sleep(faultInterval/2 + time.Duration(s.rng.Int64N(int64(faultInterval))))
	}
	faults.Wait()
	if !s.opts.NoFaults {
		s.calmSince = time.Now()
	}
	stopLoad()
	<-loadEnded
	<-storingEnded
	if !s.opts.NoFaults {
		time.Sleep(recoveryTime)
	}
	startsBefore := s.evacuations.startCounts(s.deployment.Domains())
	s.checkRecovery(ctx)
	s.checkReturned(startsBefore)
	s.jobs.Wait()
	s.checkStored(ctx)
	s.checkCancelled(ctx)
	s.storedRuns.check()
	s.checkIdle()
	return ctx.Err()
}

// checkRecovery sends jobs after the faults and checks the share of served ones.
func (s *soak) checkRecovery(ctx context.Context) {
	checkCtx, stop := context.WithTimeout(ctx, recoveryCheckTime)
	defer stop()
	var served, all int
	s.load(checkCtx, &shortJobs, func(a usersplatform.Response) {
		s.mu.Lock()
		defer s.mu.Unlock()
		all++
		if a.State == "completed" {
			served++
		}
	})
	s.jobs.Wait()
	s.report.ServedAfterFaults = float64(served) / float64(max(all, 1))
	if s.report.ServedAfterFaults < minServedShare {
		s.addViolation("%d of %d jobs were served after the faults", served, all)
	}
}

// checkIdle checks that no runs continue after the last caller has
// disconnected.
func (s *soak) checkIdle() {
	deadline := time.Now().Add(idleTimeout)
	for {
		running := 0
		for _, executor := range s.deployment.Executors {
			executor.WithState(func(e *leasedtest.Endpoint) { running += len(e.Running()) })
		}
		if running == 0 {
			return
		}
		if time.Now().After(deadline) {
			s.addViolation("%d tasks still run %v after the last caller has disconnected", running, idleTimeout)
			return
		}
		time.Sleep(checkInterval)
	}
}
