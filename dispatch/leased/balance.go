package leased

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagespread.example/dispatch/balance"
)

// Load returns the load of the queue as of the latest Tick, or false if this core
// holds no endpoint that serves it.
func (c *Core) Load(now time.Time) (balance.Load, bool) { return c.meter.Load(now) }

// receiveLoads records the loads that the holders of other cells have announced.
func (c *Core) receiveLoads(list []FreeCapacity) {
	for i := range list {
		f := &list[i]
		if f.Load == nil {
			c.loads.Forget(f.Holder)
			continue
		}
		load := *f.Load
		load.Age += f.Age
		c.loads.Receive(c.now, f.Holder, load, f.Transfer)
	}
}

// balance measures the wait of the queue and moves jobs to holders that will
// start them clearly sooner and in time. Jobs that are late already stay: their
// answers are worth little, and a holder with free capacity gets their tasks.
func (c *Core) balance() {
	c.loads.Expire(c.now)
	var holders []uint64 // that jobs may move to
	if !c.loads.Overloaded(c.now) {
		holders = c.loads.Holders(c.now)
	}
	c.predictor.Reset()
	if c.waiting.len() > 0 && len(c.runs) == 0 {
		c.meter = balance.Meter{} // no run ends, so nothing tells when the queue will start
		return
	}
	if c.waiting.len() > 0 {
		c.predictEnds()
	}
	var wait time.Duration // until the jobs before the next one have started
	var moves []move
	c.waiting.walk(func(j *job) bool {
		if j.class == lateClass || wait >= balance.Horizon {
			return false
		}
		if wait > balance.Threshold && c.mayMove(j) {
			if to, ok := c.loads.Target(c.now, holders, c.waitingOf(j, wait)); ok {
				moves = append(moves, move{j, to})
				return true
			}
		}
		wait = c.predictor.Start(c.waitingCores(j), c.expectedRunTime(j))
		return true
	})
	c.meter.Measure(c.now, wait, c.cores())
	for _, m := range moves {
		c.moveJob(m)
	}
}

// predictEnds gives the active runs to the predictor. Those that are stopped
// because their task runs elsewhere are left out.
func (c *Core) predictEnds() {
	for _, e := range c.endpointList {
		for _, r := range e.runs {
			if c.runs[r.id] == r {
				c.predictor.Running(float64(r.demand.MilliCores)/1000, c.now.Sub(r.began), r.expected)
			}
		}
	}
}

// waitingCores returns the demand of the tasks of a job that wait.
func (c *Core) waitingCores(j *job) float64 {
	n := 0
	for s := range j.tasks {
		if !j.ready(s) {
			continue
		}
		for i := range j.tasks[s] {
			if j.tasks[s][i].state == waitingTask {
				n += j.Steps[s].Demand.MilliCores
			}
		}
	}
	return float64(n) / 1000
}

// move is the decision that a job moves to a holder.
type move struct {
	job *job
	to  uint64
}

func (c *Core) moveJob(m move) {
	at := len(c.out.Answers)
	c.finish(m.job, Moved, "another holder is expected to start it sooner", 0)
	for i := at; i < len(c.out.Answers); i++ {
		c.out.Answers[i].To = m.to
	}
}

// mayMove reports whether a queued job may be returned to its submitter. A job
// with a label or rack stays, because other holders may have no such endpoint.
func (c *Core) mayMove(j *job) bool {
	if !j.Movable || j.begun || j.delegated || j.Stored || j.Resubmitted {
		return false
	}
	for s := range j.Steps {
		if j.Steps[s].Label != "" || j.Steps[s].Rack != "" {
			return false
		}
	}
	return true
}

// waitingOf describes a queued job to package balance. It can wait until its
// latest start, and until its run time exceeds the caller's deadline.
func (c *Core) waitingOf(j *job, wait time.Duration) balance.Waiting {
	return balance.Waiting{
		Wait: wait, Spare: min(j.latestStart.Sub(c.now), spareTime(j, c)), Work: c.remainingWork(j), Draw: xxhash.Sum64String(string(j.ID)),
	}
}

// remainingWork returns the expected work of the tasks of a job that are not
// done, in core-seconds.
func (c *Core) remainingWork(j *job) float64 {
	var work float64
	for s := range j.Steps {
		work += float64(j.remaining[s]*j.Steps[s].Demand.MilliCores) / 1000 * c.expectedTime(j.Queue, j.Steps[s].Estimate).Seconds()
	}
	return work
}

// cores returns the capacity that is expected to serve the queue.
func (c *Core) cores() float64 {
	var cores float64
	for _, e := range c.endpointList {
		if c.countsAsCapacity(e) {
			cores += float64(e.Capacity.MilliCores) / 1000
		}
	}
	return cores
}
