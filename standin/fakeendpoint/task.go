package fakeendpoint

import (
	"math"
	"sync"
	"time"

	"lovagespread.example/logservice/endpointapi"
)

// outcome is the result of an attempt. An empty detail means success.
type outcome struct {
	detail  string
	aborted bool // the endpoint crashed, so the caller gets no response
}

// task is one running attempt.
type task struct {
	id      string
	entry   string
	started time.Time
	changed chan struct{} // capacity 1; wakes run after a change of the fields below

	mu         sync.Mutex
	remaining  time.Duration // remaining run time at rate 1
	asOf       time.Time     // time at which remaining was computed
	rate       float64       // current rate; 0 while the endpoint is paused
	paused     bool
	targetRate float64   // rate while the endpoint is not paused
	doneAt     time.Time // zero until the work is done
	leaseEnd   time.Time
	ended      *outcome
}

func newTask(req *endpointapi.TaskRequest, runTime time.Duration, rate float64, now time.Time) *task {
	t := &task{
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
	if runTime <= 0 {
		t.doneAt = now
	}
	return t
}

func leaseDuration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// run blocks until the task ends and returns its outcome.
func (t *task) run() outcome {
	for {
		end, wait := t.step(time.Now())
		if end != nil {
			return *end
		}
		t.waitForChange(wait)
	}
}

// forever is the wait of a paused task, which only a change ends.
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

// step returns the outcome of the task if it has ended, or else the time until
// its state changes next.
func (t *task) step(now time.Time) (*outcome, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	switch {
	case t.ended != nil:
		return t.ended, 0
	case t.paused:
		return nil, forever
	case !t.doneAt.IsZero() && t.doneAt.Before(t.leaseEnd):
		return &outcome{}, 0
	case !now.Before(t.leaseEnd):
		return &outcome{detail: "stopped: the lease expired without a heartbeat"}, 0
	}
	return nil, min(t.leaseEnd.Sub(now), durationAtRate(t.remaining, t.rate))
}

// advance subtracts the work done since asOf. It may be called late, when this process
// was not scheduled, so it records when the work was done.
func (t *task) advance(now time.Time) {
	if t.doneAt.IsZero() && t.rate > 0 {
		if done := t.asOf.Add(durationAtRate(t.remaining, t.rate)); !done.After(now) {
			t.doneAt = done
		}
	}
	t.remaining -= time.Duration(float64(now.Sub(t.asOf)) * t.rate)
	t.asOf = now
}

// durationAtRate returns how long work takes at a rate, rounded up so that the
// work is done after a wait of this length.
func durationAtRate(work time.Duration, rate float64) time.Duration {
	return time.Duration(math.Ceil(float64(work) / rate))
}

// update changes the task and wakes run.
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
