package fakeendpoint

import (
	"math"
	"sync"
	"time"

	"lovagespread.example/logservice/endpointapi"
)

// outcome is how a task ended. An empty detail means with a result.
type outcome struct {
	detail  string
	aborted bool // the endpoint crashed: nobody learns of it
}

// task is one running attempt.
type task struct {
	id      string
	entry   string
	started time.Time
	changed chan struct{} // capacity 1: look at the fields below again

	mu         sync.Mutex
	remaining  time.Duration // at rate 1
	asOf       time.Time     // when remaining was right
	rate       float64       // 0 while the endpoint is paused
	paused     bool
	targetRate float64 // wanted rate, before a pause
	leaseEnd   time.Time
	ended      *outcome
}

func newTask(req *endpointapi.TaskRequest, runTime time.Duration, rate float64, now time.Time) *task {
	return &task{
		id:         req.TaskID,
		entry:      req.Entry,
		started:    now,
		changed:    make(chan struct{}, 1),
		remaining:  runTime,
		asOf:       now,
		rate:       rate,
		targetRate: rate,
		leaseEnd:   now.Add(leaseDuration(req.LeaseMS)),
	}
}

func leaseDuration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// run blocks until the task ends.
func (t *task) run() outcome {
	for {
		end, wait := t.step(time.Now())
		if end != nil {
			return *end
		}
		t.waitForChange(wait)
	}
}

// forever is the wait of a task that only a change can wake.
const forever = time.Duration(1<<63 - 1)

func (t *task) waitForChange(wait time.Duration) {
	if wait == forever {
		<-t.changed
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.changed:
	}
}

// step returns the end of the task, or how long nothing happens to it.
func (t *task) step(now time.Time) (*outcome, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	switch {
	case t.ended != nil:
		return t.ended, 0
	case t.paused:
		return nil, forever
	case !now.Before(t.leaseEnd):
		return &outcome{detail: "stopped: its lease lapsed without a heartbeat"}, 0
	case t.remaining <= 0:
		return &outcome{}, 0
	}
	return nil, min(t.leaseEnd.Sub(now), durationAtRate(t.remaining, t.rate))
}

// advance accounts for the work done since asOf.
func (t *task) advance(now time.Time) {
	t.remaining -= time.Duration(float64(now.Sub(t.asOf)) * t.rate)
	t.asOf = now
}

// durationAtRate returns how long work takes at a rate, rounded up so that a wait of
// this length is enough.
func durationAtRate(work time.Duration, rate float64) time.Duration {
	return time.Duration(math.Ceil(float64(work) / rate))
}

func (t *task) update(change func(*task)) {
	t.mu.Lock()
	t.advance(time.Now())
	change(t)
	t.rate = t.targetRate
	if t.paused {
		t.rate = 0
	}
	t.mu.Unlock()
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

func (t *task) end(o outcome) {
	t.update(func(t *task) {
		if t.ended == nil {
			t.ended = &o
		}
	})
}

func (t *task) renew(leaseEnd time.Time) {
	t.update(func(t *task) { t.leaseEnd = leaseEnd })
}

func (t *task) pause(on bool) {
	t.update(func(t *task) { t.paused = on })
}

func (t *task) limitRate(rate float64) {
	t.update(func(t *task) { t.targetRate = min(t.targetRate, rate) })
}
