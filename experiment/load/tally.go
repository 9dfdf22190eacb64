package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"lovagespread.example/client/callerapi"
)

// Scale and range of the slowdown histograms, which count thousandths of
// response ÷ ideal.
const (
	slowdownUnit   = 1000
	maxSlowdown    = 100_000 * slowdownUnit
	slowdownDigits = 3
)

// Outcome is the outcome of one job for its caller.
type Outcome int

// Outcomes of a job.
const (
	Complete Outcome = iota // the complete answer
	Failed                  // a typed failure that states whether the job was run
	Unknown                 // a failure that leaves open whether the job was run
	Partial                 // an incomplete answer: a defect
)

// classify returns the outcome of a job, and whether it was reported to the
// caller as not run.
func classify(r *Request, answer callerapi.Answer, err error) (outcome Outcome, notRun bool) {
	if err == nil {
		if r.Check(answer) != nil {
			return Partial, false
		}
		return Complete, false
	}
	problem, ok := errors.Into[*callerapi.Problem](err)
	if !ok || problem.Execution == callerapi.Unknown {
		return Unknown, false
	}
	return Failed, problem.Execution == callerapi.NotRun
}

// Tally counts outcomes. It is safe for concurrent use.
type Tally struct {
	mu              sync.Mutex
	jobs            int
	tasks           int
	outcomes        [Partial + 1]int
	codes           map[callerapi.Code]int
	notRun          []string // names of requests
	slowdown        *hdrhistogram.Histogram
	serviceSlowdown map[string]*hdrhistogram.Histogram
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		codes:           make(map[callerapi.Code]int),
		slowdown:        newSlowdownHistogram(),
		serviceSlowdown: make(map[string]*hdrhistogram.Histogram),
	}
}

func newSlowdownHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxSlowdown, slowdownDigits)
}

// Add adds the outcome of one job.
func (t *Tally) Add(r *Request, answer callerapi.Answer, err error, response time.Duration) {
	outcome, notRun := classify(r, answer, err)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs++
	t.tasks += len(r.Job.Tasks)
	t.outcomes[outcome]++
	if notRun {
		t.notRun = append(t.notRun, r.Name)
	}
	if err != nil {
		t.codes[codeOf(err)]++
	}
	if outcome == Complete {
		t.record(r, response)
	}
}

// codeNoAnswer is the code of errors without a problem.
const codeNoAnswer callerapi.Code = "no_answer"

func codeOf(err error) callerapi.Code {
	if problem, ok := errors.Into[*callerapi.Problem](err); ok {
		return problem.Code
	}
	return codeNoAnswer
}

func (t *Tally) record(r *Request, response time.Duration) {
	h := t.serviceSlowdown[r.Job.Service]
	if h == nil {
		h = newSlowdownHistogram()
		t.serviceSlowdown[r.Job.Service] = h
	}
	ratio := int64(slowdownUnit * float64(response) / float64(r.Ideal))
	ratio = min(ratio, maxSlowdown)
	_ = t.slowdown.RecordValue(ratio)
	_ = h.RecordValue(ratio)
}

// Progress is a snapshot of a tally, for progress reports.
type Progress struct {
	Jobs     int
	Complete int
	Failed   int
	Unknown  int
	P99      float64 // of response ÷ ideal
}

// Progress returns the counts so far.
func (t *Tally) Progress() Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Progress{
		Jobs:     t.jobs,
		Complete: t.outcomes[Complete],
		Failed:   t.outcomes[Failed],
		Unknown:  t.outcomes[Unknown],
		P99:      quantile(t.slowdown, 99),
	}
}

func quantile(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / slowdownUnit
}
