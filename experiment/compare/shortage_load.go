package compare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"lovagespread.example/dispatch/admission"
	"lovagespread.example/dispatch/leased"
)

// shortageQueue is a queue of deployment A.
type shortageQueue struct {
	name      string
	priority  int
	perSecond float64       // jobs, at baseDemand
	tasks     int           // median of a job
	runTime   time.Duration // median of a task
}

// The load is a tenth of deployment A (docs/design): 40 endpoints of 16 cores for
// tasks of 8 cores. The rates below use baseDemand of their capacity.
var shortageQueues = []shortageQueue{
	{"check", 0, 20.6, 8, 60 * time.Millisecond},
	{"number", 1, 60, 2, 200 * time.Millisecond},
	{"pickup", 2, 3.75, 4, 900 * time.Millisecond},
}

const (
	shortageEndpoints   = 40
	endpointCores       = 16
	taskCores           = 8
	shortageCores       = shortageEndpoints * endpointCores
	baseDemand          = 0.67 // including the spreads below
	shortageTime        = 20 * time.Second
	shortageStretch     = 1.6 // objective ÷ run time, without the slack
	shortageSlack       = 60 * time.Millisecond
	callerTimeout       = 1500 * time.Millisecond
	runTimeSpread       = 0.3 // standard deviations of logarithms
	taskCountSpread     = 0.4
	estimateSpread      = 0.4
	lateValue           = 0.2 // share of its value that a late answer keeps
	lateValueObjectives = 3   // up to this multiple of the objective
)

// shortageJob is a job with its true work.
type shortageJob struct {
	id                leased.JobID
	queue             *shortageQueue
	arrival           time.Duration
	runTime, estimate time.Duration
	tasks             int
	work              float64 // core-seconds
	value             float64
}

// objective returns the time within which the answer keeps all its value.
func (j *shortageJob) objective() time.Duration {
	return time.Duration(shortageStretch*float64(j.runTime)) + shortageSlack
}

// lateLimit returns the time within which a late answer keeps some value.
func (j *shortageJob) lateLimit() time.Duration {
	return min(lateValueObjectives*j.objective(), callerTimeout)
}

// keeps returns the share of its value that an answer after the given time keeps.
func (j *shortageJob) keeps(took time.Duration) float64 {
	switch {
	case took <= j.objective():
		return 1
	case took <= j.lateLimit():
		return lateValue
	}
	return 0
}

// shortageJobs generates a constant demand as a multiple of the capacity.
func shortageJobs(rng *rand.Rand, demand float64) []shortageJob {
	var jobs []shortageJob
	for i := range shortageQueues {
		q := &shortageQueues[i]
		first := len(jobs)
		for at := time.Duration(0); at < shortageTime; {
			at += time.Duration(rng.ExpFloat64() / (q.perSecond * demand / baseDemand) * float64(time.Second))
			jobs = append(jobs, q.newJob(rng, at, len(jobs)))
		}
		setValues(jobs[first:])
	}
	return jobs
}

func (q *shortageQueue) newJob(rng *rand.Rand, at time.Duration, n int) shortageJob {
	vary := func(spread float64) float64 { return math.Exp(spread * rng.NormFloat64()) }
	runTime := time.Duration(float64(q.runTime) * vary(runTimeSpread))
	tasks := max(1, int(math.Round(float64(q.tasks)*vary(taskCountSpread))))
	return shortageJob{
		id: leased.JobID(fmt.Sprintf("%s%05d", q.name, n)), queue: q, arrival: at, runTime: runTime, tasks: tasks,
		estimate: time.Duration(float64(runTime) * vary(estimateSpread)),
		work:     float64(tasks*taskCores) * runTime.Seconds(),
	}
}

// setValues sets the values of the jobs of a queue.
func setValues(jobs []shortageJob) {
	var work float64
	for i := range jobs {
		work += jobs[i].work
	}
	for i := range jobs {
		j := &jobs[i]
		j.value = admission.Value(j.queue.priority, j.work, work/float64(len(jobs)))
	}
}
