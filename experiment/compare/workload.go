package compare

import (
	"math"
	"math/rand/v2"
	"time"

	"lovagespread.example/catalog"
)

// Task is one task of a generated job.
type Task struct {
	RunTime  time.Duration // true, on a healthy endpoint
	Declared time.Duration // declared by the caller
	Poison   bool          // fails on every endpoint
}

// Job is one generated request.
type Job struct {
	Arrival       time.Duration
	Service       string
	Team          string
	Tasks         []Task
	CallerTimeout time.Duration // after which the caller disconnects
	Ideal         time.Duration // response time without other load, including network delays
	Misdeclared   bool          // the declared run times are false
	CancelAt      time.Duration // after submission; 0: never
}

// work returns the true run time of all tasks.
func (j *Job) work() (sum time.Duration) {
	for _, t := range j.Tasks {
		sum += t.RunTime
	}
	return sum
}

// jobProfile describes the jobs of one service.
type jobProfile struct {
	service     catalog.Service
	medianRun   time.Duration
	runSpread   float64 // standard deviation of the logarithm
	longShare   float64 // share of tasks that run several seconds
	medianTasks float64
	taskSpread  float64 // standard deviation of the logarithm
	meanWork    time.Duration
}

// Bounds and parameters of generated jobs.
const (
	minRun            = 50 * time.Millisecond
	maxRun            = time.Second
	minLongRun        = 2 * time.Second
	maxLongRun        = 5 * time.Second
	maxTasks          = 760
	baseCallerTimeout = 3 * time.Second
	idealFactor       = 4 // multiple of the ideal that is added to baseCallerTimeout
	meanSamples       = 20_000
)

func jobProfiles() []*jobProfile {
	const timeout = 15 * time.Second
	list := []*jobProfile{
		{service: catalog.Service{Name: "booking", RunTime: 150 * time.Millisecond, Slots: slots, Timeout: timeout},
			medianRun: 120 * time.Millisecond, runSpread: 0.5, longShare: 0.005, medianTasks: 1, taskSpread: 0.4},
		{service: catalog.Service{Name: "bid", RunTime: 100 * time.Millisecond, Slots: slots, Timeout: timeout},
			medianRun: 80 * time.Millisecond, runSpread: 0.4, medianTasks: 1},
		{service: catalog.Service{Name: "valuation", Idempotent: true, RunTime: 300 * time.Millisecond, Slots: slots, Timeout: timeout},
			medianRun: 200 * time.Millisecond, runSpread: 0.5, longShare: 0.005, medianTasks: 6, taskSpread: 1.3},
	}
	for _, p := range list {
		p.meanWork = p.measureMeanWork()
	}
	return list
}

// measureMeanWork samples the mean run time of all tasks of a job. It uses a
// fixed seed, so that every run has the same rates.
func (p *jobProfile) measureMeanWork() time.Duration {
	rng := rand.New(rand.NewPCG(7, 7))
	var sum time.Duration
	for range meanSamples {
		j := p.job(rng)
		sum += j.work()
	}
	return sum / meanSamples
}

// job draws a job. The run times of its tasks resemble each other because they
// share a scale.
func (p *jobProfile) job(rng *rand.Rand) Job {
	count := int(math.Round(p.medianTasks * math.Exp(p.taskSpread*rng.NormFloat64())))
	count = min(max(count, 1), maxTasks)
	scale := math.Exp(p.runSpread * rng.NormFloat64())
	j := Job{Service: p.service.Name, Tasks: make([]Task, count)}
	for i := range j.Tasks {
		j.Tasks[i] = p.task(rng, scale)
	}
	return j
}

func (p *jobProfile) task(rng *rand.Rand, scale float64) Task {
	const taskRunSpread = 0.25 // spread within one job
	run := time.Duration(float64(p.medianRun) * scale * math.Exp(taskRunSpread*rng.NormFloat64()))
	run = min(max(run, minRun), maxRun)
	if rng.Float64() < p.longShare {
		run = minLongRun + time.Duration(rng.Int64N(int64(maxLongRun-minLongRun)))
	}
	return Task{RunTime: run, Declared: declare(rng, run)}
}

// declare returns the run time that a caller declares in good faith: roughly
// right, but wrong by a factor of about 8 in one case out of ten.
func declare(rng *rand.Rand, run time.Duration) time.Duration {
	const (
		noise         = 0.4
		outlierShare  = 0.1
		outlierFactor = 8.0
	)
	factor := math.Exp(noise * rng.NormFloat64())
	if rng.Float64() < outlierShare {
		if rng.IntN(2) == 0 {
			factor *= outlierFactor
		} else {
			factor /= outlierFactor
		}
	}
	return time.Duration(float64(run) * factor)
}
