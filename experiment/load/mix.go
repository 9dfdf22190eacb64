package load

import (
	"math"
	"math/rand/v2"
	"time"

	"lovagespread.example/catalog"
)

// Bounds of true run times.
const (
	minRunTime = time.Millisecond
	maxRunTime = 5 * time.Second
)

// Distribution of the run times of one service.
const (
	runTimeSigma  = 0.5  // standard deviation of the logarithm
	longShare     = 0.01 // share of tasks that run longer by longFactor
	longFactor    = 10
	declaredShare = 0.5 // share of tasks with a declared run time
	declaredSigma = 0.7 // standard deviation of the logarithm of the declaration's error
)

// fanOut is a share of jobs with a range of numbers of tasks.
type fanOut struct {
	share    float64
	min, max int // tasks
}

var (
	nonIdempotentFanOuts = []fanOut{{0.85, 1, 1}, {0.15, 2, 3}}
	idempotentFanOuts    = []fanOut{{0.5, 1, 1}, {0.4, 4, 12}, {0.1, 16, 40}}
)

// jobProfile describes the jobs of one service.
type jobProfile struct {
	service    catalog.Service
	fanOuts    []fanOut
	maxRunTime time.Duration
}

func newJobProfile(s catalog.Service) jobProfile {
	p := jobProfile{service: s, fanOuts: idempotentFanOuts}
	if !s.Idempotent {
		p.fanOuts = nonIdempotentFanOuts
	}
	p.maxRunTime = min(maxRunTime, s.Timeout/2)
	return p
}

// meanTasks returns the mean number of tasks of a job.
func (p jobProfile) meanTasks() float64 {
	sum := 0.0
	for _, f := range p.fanOuts {
		sum += f.share * float64(f.min+f.max) / 2
	}
	return sum
}

// meanRunTime returns the mean run time of a task, before bounds are applied.
func (p jobProfile) meanRunTime() time.Duration {
	median := float64(p.service.RunTime)
	mean := median * math.Exp(runTimeSigma*runTimeSigma/2)
	return time.Duration(mean * (1 + longShare*(longFactor-1)))
}

func (p jobProfile) drawTaskCount(r *rand.Rand) int {
	x := r.Float64()
	for _, f := range p.fanOuts {
		if x < f.share {
			return f.min + r.IntN(f.max-f.min+1)
		}
		x -= f.share
	}
	return 1
}

func (p jobProfile) drawRunTime(r *rand.Rand) time.Duration {
	run := float64(p.service.RunTime) * math.Exp(runTimeSigma*r.NormFloat64())
	if r.Float64() < longShare {
		run *= longFactor
	}
	return max(minRunTime, min(time.Duration(run), p.maxRunTime))
}

// drawDeclared returns the run time that the caller declares, or 0 for none.
func drawDeclared(r *rand.Rand, run time.Duration) time.Duration {
	if r.Float64() >= declaredShare {
		return 0
	}
	return time.Duration(float64(run) * math.Exp(declaredSigma*r.NormFloat64()))
}
