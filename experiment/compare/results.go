package compare

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lovagespread.example/dispatch"
)

// message is a kind of message on the network.
type message int

const (
	messageTask message = iota
	messageRetry
	messageHedge
	messageAnswer // reply with a result
	messageFailure
	messageLost
	messageStop
	messageRefusal
	messageKinds
)

var messageNames = [messageKinds]string{"task", "retry", "hedge", "answer", "failure", "lost", "stop", "refusal"}

// Scale and range of the histograms of response ÷ ideal.
const (
	slowdownScale  = 1000 // a value of 1000 is a ratio of 1
	maxSlowdown    = 10_000 * slowdownScale
	slowdownDigits = 3
)

// ServiceResult holds the results of the callers of one service.
type ServiceResult struct {
	Complete int // completed
	InTime   int // completed within the caller timeout
	Failed   int // admitted, but failed
	Refused  int
	slowdown *hdrhistogram.Histogram
}

func newServiceResult() *ServiceResult {
	return &ServiceResult{slowdown: hdrhistogram.New(1, maxSlowdown, slowdownDigits)}
}

// Slowdown returns a quantile (0 to 1) of response ÷ ideal.
func (r *ServiceResult) Slowdown(quantile float64) float64 {
	return float64(r.slowdown.ValueAtQuantile(quantile*100)) / slowdownScale
}

// Results holds the counts of one run.
type Results struct {
	Services     map[string]*ServiceResult
	All          *ServiceResult
	WellBehaved  *ServiceResult // teams that neither flood nor misdeclare run times
	Misdeclaring *ServiceResult // teams that misdeclare run times
	Messages     [messageKinds]int
	InTimeWork   time.Duration // true run time of the jobs completed in time before the end of the load
	DoubleStarts int           // second starts of non-idempotent tasks
	Unanswered   int           // jobs without an answer at the end of the run
	// InTimeByArrival holds, for each second of arrival, the number of jobs
	// completed in time and of all jobs.
	InTimeByArrival []arrivals
	startedTasks    map[dispatch.TaskRef]bool
	idempotent      map[string]bool
}

type arrivals struct{ inTime, all int }

func newResults() *Results {
	return &Results{
		Services:     make(map[string]*ServiceResult),
		All:          newServiceResult(),
		WellBehaved:  newServiceResult(),
		Misdeclaring: newServiceResult(),
		startedTasks: make(map[dispatch.TaskRef]bool),
		idempotent:   make(map[string]bool),
	}
}

func (r *Results) count(m message) { r.Messages[m]++ }

// started counts repeated starts of non-idempotent tasks.
func (r *Results) started(a *attempt) {
	if r.idempotent[a.start.Service] {
		return
	}
	if r.startedTasks[a.start.Task] {
		r.DoubleStarts++
	}
	r.startedTasks[a.start.Task] = true
}

func serviceResult(m map[string]*ServiceResult, name string) *ServiceResult {
	if m[name] == nil {
		m[name] = newServiceResult()
	}
	return m[name]
}

// forEachResult calls f for every ServiceResult that a job counts in.
func (r *Results) forEachResult(j *Job, f func(*ServiceResult)) {
	f(r.All)
	f(serviceResult(r.Services, j.Service))
	switch {
	case j.Misdeclared:
		f(r.Misdeclaring)
	case j.Team != floodTeam:
		f(r.WellBehaved)
	}
}

func (r *Results) arrivalsIn(at time.Duration) *arrivals {
	i := int(at / time.Second)
	for len(r.InTimeByArrival) <= i {
		r.InTimeByArrival = append(r.InTimeByArrival, arrivals{})
	}
	return &r.InTimeByArrival[i]
}

// Waste returns the messages beyond one request and one reply for each task
// that was sent, per such task.
func (r *Results) Waste() float64 {
	total := 0
	for _, n := range r.Messages {
		total += n
	}
	sent := r.Messages[messageTask]
	return float64(total-2*sent) / float64(max(sent, 1))
}
