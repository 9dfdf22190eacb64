package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"lovagespread.example/client/callerapi"
)

// Range of the slowdown histograms, in thousandths of response ÷ ideal.
const (
	slowdownUnit   = 1000
	maxSlowdown    = 100_000 * slowdownUnit
	slowdownDigits = 3
)

// Outcome is what came of one job for its caller.
type Outcome int

// Outcomes.
const (
	Complete Outcome = iota // the whole answer
	Failed                  // a typed failure that says whether it was run
	Unknown                 // nobody can tell whether it was run
	Partial                 // an answer that is not whole: a defect
)

// classify returns what came of a job, and whether the caller was told that
// it was not run.
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

// Tally sums up outcomes. It is safe for concurrent use.
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

// Add counts the end of one job.
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

// codeNoAnswer stands for errors that carry no code.
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

// Progress is a snapshot for people who watch.
type Progress struct {
	Jobs     int
	Complete int
	Failed   int
	Unknown  int
	P99      float64 // of response ÷ ideal
}

// Progress returns what has come in so far.
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
