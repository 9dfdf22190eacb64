package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"lovagespread.example/dispatch/leased"
)

// Times of the evacuations of a soak test.
const (
	// evacuationBound is shorter than the 5 s of the platform, so that a short run
	// sees many evacuations. It leaves 1.5 s besides the drain.
	evacuationBound    = 3 * time.Second
	maxEvacuationPause = 2 * time.Second // between evacuations
	maxObservation     = 3 * time.Second // of a domain that must not get tasks
	maxBriefRequest    = 300 * time.Millisecond
)

// evacuations checks that no task starts in an evacuated failure domain later than
// evacuationBound after the store's reply. It is safe for concurrent use.
type evacuations struct {
	now          func() time.Time
	addViolation func(format string, args ...any)

	mu sync.Mutex
	// acknowledged holds the time of the store's reply to each request in force.
	acknowledged map[string]time.Time
	outages      int            // faults in progress that cut contact to the store
	contactSince time.Time      // end of the latest such fault
	starts       map[string]int // by failure domain
	checked      int            // requests that were in force for longer than the bound
}

func newEvacuations(addViolation func(string, ...any)) *evacuations {
	return &evacuations{now: time.Now, addViolation: addViolation, acknowledged: make(map[string]time.Time), starts: make(map[string]int)}
}

// request records a request. It must be called after the store's reply.
func (e *evacuations) request(domain string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, requested := e.acknowledged[domain]; !requested {
		e.acknowledged[domain] = e.now()
	}
}

// remove records the removal of a request. It must be called before the record is
// deleted from the store.
func (e *evacuations) remove(domain string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.late(domain) > 0 {
		e.checked++
	}
	delete(e.acknowledged, domain)
}

// late returns for how long the start of a task in a domain has been a violation. It
// is not positive while tasks may start there. The caller holds the mutex.
func (e *evacuations) late(domain string) time.Duration {
	since, requested := e.acknowledged[domain]
	if !requested || e.outages > 0 {
		return 0
	}
	if e.contactSince.After(since) {
		since = e.contactSince
	}
	return e.now().Sub(since) - evacuationBound
}

// started checks the start of a task.
func (e *evacuations) started(domain string, executor leased.EndpointID, task leased.TaskID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts[domain]++
	if late := e.late(domain); late > 0 {
		e.addViolation("task %v was started on %s of the evacuated domain %s, %v too late", task, executor, domain, late)
	}
}

// beginOutage records the start of a fault that cuts contact to the store. It returns
// false, and the fault must not be injected, while a domain is evacuated.
func (e *evacuations) beginOutage() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.acknowledged) > 0 {
		return false
	}
	e.outages++
	return true
}

func (e *evacuations) endOutage() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outages--
	e.contactSince = e.now()
}

// startCounts returns the number of starts by failure domain.
func (e *evacuations) startCounts(domains []string) map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int, len(domains))
	for _, domain := range domains {
		counts[domain] = e.starts[domain]
	}
	return counts
}

// evacuatesDomains reports whether a soak test of this seed evacuates failure
// domains.
func evacuatesDomains(seed uint64) bool { return seed%2 == 0 }

// evacuateDomains evacuates failure domains and returns them, until the given time.
func (s *soak) evacuateDomains(until time.Time) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 31))
	upTo := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit))) }
	for {
		time.Sleep(upTo(maxEvacuationPause))
		if !time.Now().Before(until) {
			return
		}
		s.evacuate(rng, upTo)
	}
}

// evacuate evacuates one domain, or two of which the second may be the last one.
// Every third request is removed before all entries can have seen it.
func (s *soak) evacuate(rng *rand.Rand, upTo func(time.Duration) time.Duration) {
	domains := s.deployment.Domains()
	rng.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	domains = domains[:1+rng.IntN(min(2, len(domains)))]
	duration := evacuationBound + upTo(maxObservation)
	if rng.IntN(3) == 0 {
		duration = upTo(maxBriefRequest)
	}
	for _, domain := range domains {
		s.deployment.Evacuate(domain)
		s.evacuations.request(domain)
		s.recordFault("domain evacuated", "domain", domain)
	}
	time.Sleep(duration)
	for _, domain := range domains {
		s.evacuations.remove(domain)
		s.deployment.Return(domain)
	}
}

// checkReturned checks that every domain has got tasks since the given counts.
func (s *soak) checkReturned(before map[string]int) {
	domains := s.deployment.Domains()
	after := s.evacuations.startCounts(domains)
	for _, domain := range domains {
		if after[domain] == before[domain] {
			s.addViolation("domain %s gets no task after the faults", domain)
		}
	}
	s.evacuations.mu.Lock()
	defer s.evacuations.mu.Unlock()
	s.report.EvacuationsChecked = s.evacuations.checked
	s.report.Starts = after
}
