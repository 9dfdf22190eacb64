package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes record.txt and keeps what the judge needs: what was sent, answered and run.
type recorder struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	w      *bufio.Writer
	starts map[string][]startEvent
	ends   map[string][]endEvent
	acks   int // ends taken note of
	seen   int // problems
}

type startEvent struct {
	at       time.Duration
	executor string
	run      int
}

type endEvent struct {
	at       time.Duration
	executor string
	run      int
	how      string
	noted    time.Duration // 0: not yet
	lapsed   bool          // the lease had lapsed before that
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: file, w: bufio.NewWriter(file), starts: make(map[string][]startEvent), ends: make(map[string][]endEvent)}, nil
}

func (r *recorder) now() time.Duration { return time.Since(r.began) }

// problems returns how many problems were recorded.
func (r *recorder) problems() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen
}

func (r *recorder) line(format string, args ...any) {
	if strings.HasPrefix(format, "PROBLEM") {
		r.seen++
	}
	fmt.Fprintf(r.w, "%9.3f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *recorder) startedRun(executor, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task] = append(r.starts[task], startEvent{r.now(), executor, run})
	r.line("executor %s starts %s run=%d", executor, task, run)
}

func (r *recorder) ended(executor, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[task] = append(r.ends[task], endEvent{at: r.now(), executor: executor, run: run, how: how})
	r.line("executor %s lists the end of %s run=%d %s", executor, task, run, how)
}

func (r *recorder) noted(executor, task string, run int, how string, lapsed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.ends[task] {
		if e := &r.ends[task][i]; e.executor == executor && e.run == run && e.noted == 0 {
			e.noted, e.lapsed = r.now(), lapsed
		}
	}
	r.acks++
	r.line("the acknowledgement to %s reaches the end of %s run=%d %s", executor, task, run, how)
}

func (r *recorder) crashed(executor, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[task] = append(r.ends[task], endEvent{at: r.now(), executor: executor, run: run, how: "crashed"})
	r.line("executor %s loses %s run=%d", executor, task, run)
}

func (r *recorder) failuresOf(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.ends[task] {
		if e.how == "failed" {
			n++
		}
	}
	return n
}

func (r *recorder) startsOf(task string) []startEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]startEvent(nil), r.starts[task]...)
}

func (r *recorder) endsOf(task string) []endEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]endEvent(nil), r.ends[task]...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
