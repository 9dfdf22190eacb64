package balance

import (
	"container/heap"
	"time"
)

// Horizon bounds predicted waits. Callers of the known deployments time out
// before it.
const Horizon = 3 * time.Second

// Predictor predicts when the jobs of a queue start, from the expected ends of
// the active runs. It treats the capacity as one pool, of which nothing usable
// is free while jobs wait. Work divided by capacity would overestimate the wait
// behind few long tasks, which start as soon as short ones end.
type Predictor struct {
	ends   ends
	at     time.Duration // when the last predicted start happens
	free   float64       // cores that are free then
	active float64       // cores of all runs
}

// end is a time at which cores become free.
type end struct {
	at    time.Duration
	cores float64
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }

func (e *ends) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// Reset discards all runs and predictions.
func (p *Predictor) Reset() { *p = Predictor{ends: p.ends[:0]} }

// Running adds an active run. It is assumed to last for at least another quarter of
// the elapsed time, because run times have long tails.
func (p *Predictor) Running(cores float64, elapsed, expected time.Duration) {
	heap.Push(&p.ends, end{max(expected-elapsed, elapsed/4), cores})
	p.active += cores
}

// Start returns the time until tasks start that need the given cores together and
// take runTime. They wait behind the runs and the tasks of earlier calls. Tasks that
// need more than all capacity are treated as if they needed all of it.
func (p *Predictor) Start(cores float64, runTime time.Duration) time.Duration {
	cores = min(cores, p.active)
	for p.free < cores && len(p.ends) > 0 && p.at < Horizon {
		next := heap.Pop(&p.ends).(end)
		p.at = max(p.at, next.at)
		p.free += next.cores
	}
	if p.at < Horizon {
		p.free -= cores
		heap.Push(&p.ends, end{p.at + runTime, cores})
	}
	return min(p.at, Horizon)
}
