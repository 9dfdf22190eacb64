// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

// step is a step of a job as its client has sent it.
type step struct {
	count, cpu int
	time       time.Duration // of a task
	after      []int
	anti       int
	label      string
	failShare  float64
	noEstimate bool
}

// job is a job of a client.
type job struct {
	id         leased.JobID
	bestEffort bool
	steps      []step

	accepted   time.Time // when a 2xx arrived; zero: none
	rejections int
	attempts   int
	cancelSent time.Time
	cancelAck  time.Time
	completed  time.Time // first shown so
	failed     time.Time
	ended      bool // best effort: answered
}

type taskEnd struct {
	worker  int
	number  int64
	run     int
	end     leased.End
	at      time.Time
	acked   bool
	lapsed  bool
	ackedAt time.Time
}

type taskLog struct {
	starts []time.Time
	where  []int
	ends   []*taskEnd
}

// book is what clients and executors have seen.
type book struct {
	mu         sync.Mutex
	began      time.Time
	out        io.Writer
	jobs       map[leased.JobID]*job
	tasks      map[leased.TaskID]*taskLog
	violations []string
	checks     chan check
	workers    func() []*worker
	inTouch    time.Time // when the entries are in touch again after the disruption
}

type check struct {
	worker int
	task   leased.TaskID
}

func newBook(out io.Writer) *book {
	return &book{began: time.Now(), out: out, jobs: make(map[leased.JobID]*job), tasks: make(map[leased.TaskID]*taskLog), checks: make(chan check, 1<<16)}
}

func (b *book) line(format string, args ...any) {
	fmt.Fprintf(b.out, "%9.3f %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

func (b *book) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.line(format, args...)
}

func (b *book) violation(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violate(format, args...)
}

func (b *book) violate(format string, args ...any) {
	b.violations = append(b.violations, fmt.Sprintf(format, args...))
	b.line("BROKEN "+format, args...)
}

func (b *book) add(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[j.id] = j
}

func (b *book) work(id leased.TaskID) leasedtest.Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[id.Job]
	if j == nil || id.Step >= len(j.steps) || id.Index >= j.steps[id.Step].count {
		b.violate("UNASKED: %v is started, which no client has sent", id)
		return leasedtest.Work{Time: time.Second}
	}
	s := &j.steps[id.Step]
	spread := 0.7 + 0.6*rand.Float64()
	return leasedtest.Work{Demand: leased.Demand{MilliCores: s.cpu, MemoryMiB: 64}, Time: time.Duration(float64(s.time) * spread), Fails: rand.Float64() < s.failShare}
}

func (b *book) task(id leased.TaskID) *taskLog {
	t := b.tasks[id]
	if t == nil {
		t = &taskLog{}
		b.tasks[id] = t
	}
	return t
}

func (b *book) started(worker int, id leased.TaskID, labels []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	t := b.task(id)
	t.starts, t.where = append(t.starts, now), append(t.where, worker)
	b.line("start %v on %d (start %d)", id, worker, len(t.starts))
	j := b.jobs[id.Job]
	if j == nil {
		return
	}
	s := &j.steps[id.Step]
	for _, before := range s.after {
		for i := range j.steps[before].count {
			if !b.hasDone(leased.TaskID{Job: id.Job, Step: before, Index: i}) {
				b.violate("ORDER: %v starts before task %d of step %d is done", id, i, before)
			}
		}
	}
	if s.label != "" {
		found := false
		for _, l := range labels {
			found = found || l == s.label
		}
		if !found {
			b.violate("ROUTE: %v starts on %d without label %s", id, worker, s.label)
		}
	}
	if !j.cancelAck.IsZero() && now.Sub(j.cancelAck) > cancelTime && now.After(b.inTouch) {
		b.violate("UNASKED: %v starts %.2f s after its cancelling was acknowledged", id, now.Sub(j.cancelAck).Seconds())
	}
	if !j.bestEffort && !j.completed.IsZero() && now.Sub(j.completed) > time.Second {
		b.violate("TWICE: %v starts %v after its job was shown as completed", id, now.Sub(j.completed))
	}
	select {
	case b.checks <- check{worker, id}:
	default:
	}
}

// calmNow records that a disruption of the entries or of the store has ended.
func (b *book) calmNow(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inTouch = time.Now().Add(contactTime)
	b.line("%s; all entries are in touch from %.3f on", what, b.inTouch.Sub(b.began).Seconds())
}

// startsOf returns how many tasks of a job have started.
func (b *book) startsOf(id leased.JobID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.startsLocked(id)
}

func (b *book) startsLocked(id leased.JobID) int {
	n := 0
	for task, t := range b.tasks {
		if task.Job == id {
			n += len(t.starts)
		}
	}
	return n
}

func (b *book) hasDone(id leased.TaskID) bool {
	if t := b.tasks[id]; t != nil {
		for _, e := range t.ends {
			if e.end == leased.EndDone {
				return true
			}
		}
	}
	return false
}

func (b *book) ended(worker int, end leased.EndedRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.task(end.Task)
	t.ends = append(t.ends, &taskEnd{worker: worker, number: end.Number, run: end.Run, end: end.End, at: time.Now()})
	b.line("end %v run %d on %d: %v", end.Task, end.Run, worker, end.End)
}

func (b *book) acknowledged(worker int, end leased.EndedRun, lapsed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.task(end.Task).ends {
		if e.worker == worker && e.number == end.Number && e.run == end.Run && !e.acked {
			e.acked, e.lapsed, e.ackedAt = true, lapsed, time.Now()
		}
	}
}

// watch checks after each start that no task has two runs, and no executor too many of a step.
func (b *book) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case c := <-b.checks:
			b.checkRuns(c)
		}
	}
}

func (b *book) runOn(w *worker, id leased.TaskID) (run int, active bool, sameStep int) {
	w.WithState(func(e *leasedtest.Endpoint) {
		run, active = e.RunOf(id)
		for _, r := range e.Running() {
			if r.Task.Job == id.Job && r.Task.Step == id.Step {
				sameStep++
			}
		}
	})
	return run, active, sameStep
}

func usedOf(w *worker) (used, capacity int) {
	w.WithState(func(e *leasedtest.Endpoint) {
		for _, r := range e.Running() {
			used += r.Demand.MilliCores
		}
		capacity = e.Capacity.MilliCores
	})
	return used, capacity
}

func (b *book) checkRuns(c check) {
	ws := b.workers()
	first, active, same := b.runOn(ws[c.worker], c.task)
	b.mu.Lock()
	j := b.jobs[c.task.Job]
	b.mu.Unlock()
	if j == nil {
		return
	}
	if limit := j.steps[c.task.Step].anti; limit > 0 && same > limit {
		b.violation("ROUTE: %d runs of step %d of %s on %d, at most %d are allowed", same, c.task.Step, c.task.Job, c.worker, limit)
	}
	if used, capacity := usedOf(ws[c.worker]); used > capacity {
		b.violation("LIMIT: %d of %d thousandths of a core are in use on %d after %v has started", used, capacity, c.worker, c.task)
	}
	if !active {
		return
	}
	for i, w := range ws {
		if i == c.worker {
			continue
		}
		other, also, _ := b.runOn(w, c.task)
		if !also {
			continue
		}
		if again, still, _ := b.runOn(ws[c.worker], c.task); still && again == first {
			b.violation("TWICE: %v runs on %d (run %d) and on %d (run %d)", c.task, c.worker, first, i, other)
		}
	}
}

// final checks what can be told only at the end.
func (b *book) final() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.tasks {
		j := b.jobs[id.Job]
		if j == nil || j.bestEffort {
			continue
		}
		for n, at := range t.starts {
			failed := 0
			for _, e := range t.ends {
				if !e.acked || e.lapsed || !e.at.Before(at) {
					continue
				}
				if e.end == leased.EndDone {
					b.violate("TWICE: %v start %d at %.3f after run %d on %d has ended done at %.3f, taken note of at %.3f", id, n+1, at.Sub(b.began).Seconds(), e.run, e.worker, e.at.Sub(b.began).Seconds(), e.ackedAt.Sub(b.began).Seconds())
				}
				if e.end == leased.EndFailed {
					failed++
				}
			}
			if failed >= maxAttempts {
				b.violate("BUDGET: %v start %d after %d runs have ended failed", id, n+1, failed)
			}
		}
	}
	for id, j := range b.jobs {
		if j.accepted.IsZero() && j.attempts > 0 && j.rejections == j.attempts {
			for tid, t := range b.tasks {
				if tid.Job == id && len(t.starts) > 0 {
					b.violate("REFUSED: %v has started, and all %d attempts of its client were rejected", tid, j.attempts)
				}
			}
		}
		if !j.completed.IsZero() && !j.bestEffort {
			for s := range j.steps {
				for i := range j.steps[s].count {
					if !b.hasDone(leased.TaskID{Job: id, Step: s, Index: i}) {
						b.violate("MIXED: %s is shown as completed, and task %d of step %d has not ended done", id, i, s)
					}
				}
			}
		}
	}
}
