package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times of executors, as in the settings file.
const (
	maxHold      = time.Second
	stopTime     = 40 * time.Millisecond // at most stop_ms
	beat         = 1500 * time.Millisecond
	checkpointMS = 500 // checkpoint_s of a small deployment
)

// demand is what a task takes on an executor.
type demand struct{ cpu, memMB int }

// work is what a task does on an executor.
type work struct {
	demand
	time          time.Duration
	failFirst     int // this many of its runs fail
	checkpointing bool
}

// executor is a stand-in of an executor, by the page "What lovagespread speaks". It guards
// its capacity.
type executor struct {
	rec      *recorder
	store    *store
	id, zone string
	label    string
	capacity demand
	workOf   func(task string) (work, bool)
	check    func(x *executor, o *order)

	mu            sync.Mutex
	started       time.Time
	born          int64
	seq           int
	drainingSince time.Time
	gone          bool
	down          bool    // after a crash, until the next incarnation
	lateShare     float64 // of the orders that get no answer and are carried out 2 to 12 s later
	hangs         bool
	heldUp        []heldUp
	unanswered    map[string]int // by path, orders that were left unanswered
	lapsedAt      time.Duration
	token         int64
	leaseEnd      time.Duration
	runs          map[string]*run
	highest       map[string]int
	failures      map[string]int
	finished      []end
	lastEnd       int64
	changed       chan struct{}
	doors         map[string]*door // by the zone of the caller
}

type run struct {
	task    string
	number  int
	work    work
	began   time.Duration
	ends    time.Duration
	fails   bool
	stopsAt time.Duration
}

type end struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
	at     time.Duration
}

func startExecutor(rec *recorder, s *store, id, zone, label string, capacity demand, workOf func(string) (work, bool)) (*executor, error) {
	x := &executor{
		rec: rec, store: s, id: id, zone: zone, label: label, capacity: capacity, workOf: workOf, started: time.Now(), born: time.Now().UnixMilli(),
		runs: make(map[string]*run), highest: make(map[string]int), failures: make(map[string]int), changed: make(chan struct{}), unanswered: make(map[string]int), doors: make(map[string]*door),
	}
	for _, caller := range zones {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d := &door{address: l.Addr().String(), executor: x}
		d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
		x.doors[caller] = d
		go func() { _ = d.server.Serve(l) }()
	}
	x.announce()
	go x.tick()
	return x, nil
}

func (x *executor) clock() time.Duration { return time.Since(x.started) + time.Millisecond }

func (x *executor) announce() {
	x.mu.Lock()
	if x.gone || x.down {
		x.mu.Unlock()
		return
	}
	x.seq++
	data := fmt.Appendf(nil, wireText("executor.json.txt"),
		serviceName, anyDoor+x.id, x.zone, x.stateName(), x.remaining(), x.capacity.cpu, x.capacity.memMB, x.label, "rack-"+x.zone, x.clock().Milliseconds(), x.seq, x.born)
	x.mu.Unlock()
	x.store.put(topicExecutors, x.id, data)
}

func (x *executor) stateName() string {
	if x.drainingSince.IsZero() {
		return "ready"
	}
	return "draining"
}

// drainTime is how long a draining executor goes on serving.
const drainTime = 2 * time.Second

func (x *executor) remaining() int64 {
	if x.drainingSince.IsZero() {
		return 0
	}
	return max(0, (drainTime - time.Since(x.drainingSince)).Milliseconds())
}

// drain lets the executor announce that it leaves, and leave some time later. A new life of it
// begins some seconds after that.
func (x *executor) drain(extra time.Duration) {
	x.mu.Lock()
	if x.gone || x.down || !x.drainingSince.IsZero() {
		x.mu.Unlock()
		return
	}
	x.drainingSince = time.Now()
	x.mu.Unlock()
	x.rec.printf("executor %s drains", x.id)
	x.announce()
	time.AfterFunc(drainTime+extra, func() {
		x.crash(3 * time.Second)
		x.store.put(topicExecutors, x.id, nil)
		x.mu.Lock()
		x.drainingSince = time.Time{}
		x.mu.Unlock()
	})
}

// lose ends the executor for good, without notice. Its record expires after three beats.
func (x *executor) lose() {
	x.mu.Lock()
	x.gone = true
	running := len(x.runs)
	x.runs = nil
	x.mu.Unlock()
	x.close()
	x.rec.printf("executor %s is lost for good, with %d runs", x.id, running)
	time.AfterFunc(3*beat, func() {
		for !x.store.put(topicExecutors, x.id, nil) {
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func (x *executor) close() {
	for _, d := range x.doors {
		_ = d.server.Close()
	}
}

// anyDoor stands for the address of an executor in its record, until it is read from a zone.
const anyDoor = "door-of-"

// door is where the entries of a zone reach an executor.
type door struct {
	address  string
	executor *executor
	server   *http.Server
	cut      atomic.Bool // nothing arrives and nothing leaves
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.cut.Load() {
		<-r.Context().Done()
		return
	}
	held := httptest.NewRecorder()
	d.executor.ServeHTTP(held, r)
	if d.cut.Load() {
		<-r.Context().Done()
		return
	}
	for key, values := range held.Header() {
		w.Header()[key] = values
	}
	w.WriteHeader(held.Code)
	_, _ = w.Write(held.Body.Bytes())
}

// tick advances the executor until it is lost.
func (x *executor) tick() {
	next := time.Now().Add(beat)
	for {
		time.Sleep(4 * time.Millisecond)
		x.mu.Lock()
		if x.gone {
			x.mu.Unlock()
			return
		}
		if !x.down {
			x.advance()
		}
		x.mu.Unlock()
		if time.Now().After(next) {
			next = next.Add(beat)
			x.announce()
		}
	}
}

// advance ends the runs that are done, stopped or whose lease has lapsed.
func (x *executor) advance() {
	now := x.clock()
	before := x.lastEnd
	for _, r := range x.runs {
		switch {
		case r.ends <= now && r.ends <= x.leaseEnd && (r.stopsAt == 0 || r.ends <= r.stopsAt):
			if r.fails {
				x.failures[r.task]++
				x.finish(r, "failed")
			} else {
				x.finish(r, "done")
			}
		case r.stopsAt > 0 && r.stopsAt <= now:
			x.finish(r, "stopped")
		case x.leaseEnd <= now:
			x.finish(r, "lapsed")
		}
	}
	if x.lastEnd > before {
		close(x.changed)
		x.changed = make(chan struct{})
	}
}

func (x *executor) finish(r *run, how string) {
	x.lastEnd++
	e := end{x.lastEnd, r.task, r.number, how, x.saved(r), x.clock()}
	x.finished = append(x.finished, e)
	delete(x.runs, r.task)
	x.highest[r.task] = max(x.highest[r.task], r.number)
	x.rec.ended(x.id, r.task, r.number, how)
}

// saved returns the checkpoint of a run: a new one with each checkpoint_s of work.
func (x *executor) saved(r *run) string {
	n := (min(x.clock(), r.ends) - r.began).Milliseconds() / checkpointMS
	if !r.work.checkpointing || n == 0 {
		return ""
	}
	return fmt.Sprintf("%05x%.11s", n*checkpointMS, r.task)
}

type order struct {
	Task    string
	Run     int
	Spec    string
	Until   int64
	Token   int64
	Seen    int64
	Wait    int64
	Restore string
}

// decodeOrder decodes the body of an order.
func decodeOrder(body io.Reader) (o order, err error) {
	var fields map[string]json.RawMessage
	if err := json.NewDecoder(body).Decode(&fields); err != nil {
		return o, err
	}
	for name, into := range map[string]any{
		"task": &o.Task, "run_id": &o.Run, "spec": &o.Spec, names["until"]: &o.Until, names["token"]: &o.Token, names["seen"]: &o.Seen, "wait_ms": &o.Wait, "checkpoint": &o.Restore,
	} {
		if value, given := fields[name]; given {
			if err := json.Unmarshal(value, into); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get(names["target"]); target != "" && target != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	o, err := decodeOrder(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.mu.Lock()
	if x.gone || x.down {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if x.hangs {
		x.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if x.lateShare > 0 && rand.Float64() < x.lateShare {
		x.mu.Unlock()
		x.carryOutLate(r, o)
		return
	}
	x.carryOut(w, r, o)
}

// heldUp is an order that was due while the executor was down.
type heldUp struct {
	request *http.Request
	order   order
	sent    time.Time
}

// latest is how long after it was sent an order is carried out at the latest.
const latest = 12 * time.Second

// carryOutLate leaves an order unanswered and carries it out 2 to 12 s later. One that is due
// while the executor is down reaches it as soon as it is back.
func (x *executor) carryOutLate(r *http.Request, o order) {
	path, sent := r.URL.Path, time.Now()
	o.Wait = 0
	x.mu.Lock()
	x.unanswered[path]++
	x.mu.Unlock()
	time.AfterFunc(2*time.Second+time.Duration(rand.Float64()*float64(10*time.Second)), func() {
		x.mu.Lock()
		late, _ := http.NewRequest(http.MethodPost, path, nil)
		switch {
		case x.gone:
			x.mu.Unlock()
		case x.down:
			x.heldUp = append(x.heldUp, heldUp{late, o, sent})
			x.mu.Unlock()
		default:
			x.rec.printf("executor %s carries out late, after %.1f s: %s %s run=%d", x.id, time.Since(sent).Seconds(), path, o.Task, o.Run)
			x.carryOut(discard{}, late, o)
		}
	})
	<-r.Context().Done()
}

// discard is an http.ResponseWriter whose response nobody gets.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// crash ends everything that runs. A new incarnation under the same id follows.
func (x *executor) crash(downFor time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.gone || x.down {
		return
	}
	x.down = true
	for _, r := range x.runs {
		x.rec.crashed(x.id, r.task, r.number)
	}
	x.runs, x.highest, x.finished, x.lastEnd, x.token, x.leaseEnd, x.lapsedAt = make(map[string]*run), make(map[string]int), nil, 0, 0, 0, 0
	close(x.changed)
	x.changed = make(chan struct{})
	x.rec.printf("executor %s crashes", x.id)
	time.AfterFunc(downFor, func() {
		x.mu.Lock()
		x.down, x.started, x.born, x.seq = false, time.Now(), time.Now().UnixMilli(), 0
		held := x.heldUp
		x.heldUp = nil
		x.rec.printf("executor %s is back", x.id)
		for _, h := range held {
			if time.Since(h.sent) > latest {
				continue
			}
			x.rec.printf("executor %s carries out late, after %.1f s: %s %s run=%d", x.id, time.Since(h.sent).Seconds(), h.request.URL.Path, h.order.Task, h.order.Run)
			x.carryOut(discard{}, h.request, h.order)
			x.mu.Lock()
		}
		x.mu.Unlock()
		x.announce()
	})
}

// carryOut carries an order out. The caller has locked the executor.
func (x *executor) carryOut(w http.ResponseWriter, r *http.Request, o order) {
	x.advance()
	if o.Token < x.token {
		x.refuse(w, "fence")
		return
	}
	x.token = o.Token
	switch r.URL.Path {
	case names["start"]:
		x.start(w, &o)
	case names["stop"]:
		if r := x.runs[o.Task]; r != nil && r.number <= o.Run && r.stopsAt == 0 {
			r.stopsAt = x.clock() + stopTime
			x.rec.printf("executor %s stops %s run=%d", x.id, o.Task, r.number)
		}
		x.highest[o.Task] = max(x.highest[o.Task], o.Run)
		x.accept(w)
	case "/hold":
		x.hold(w, r, &o)
	default:
		x.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

func (x *executor) refuse(w http.ResponseWriter, reason string) {
	clock := x.clock().Milliseconds()
	x.mu.Unlock()
	answer(w, http.StatusConflict, map[string]any{names["clock"]: clock, "reason": reason})
}

func (x *executor) accept(w http.ResponseWriter) {
	clock := x.clock().Milliseconds()
	x.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{names["clock"]: clock})
}

func (x *executor) extend(untilMS int64) {
	now := x.clock()
	x.noteLapse()
	x.leaseEnd = max(x.leaseEnd, min(time.Duration(untilMS)*time.Millisecond, now+maxHold))
}

// noteLapse notes that the lease has lapsed, if it has.
func (x *executor) noteLapse() {
	if x.leaseEnd <= x.clock() {
		x.lapsedAt = max(x.lapsedAt, x.leaseEnd)
	}
}

func (x *executor) used() demand {
	var d demand
	for _, r := range x.runs {
		d.cpu += r.work.cpu
		d.memMB += r.work.memMB
	}
	return d
}

func (x *executor) start(w http.ResponseWriter, o *order) {
	now := x.clock()
	if o.Until <= now.Milliseconds() {
		x.refuse(w, "late")
		return
	}
	x.extend(o.Until)
	if r := x.runs[o.Task]; r != nil && r.number == o.Run {
		x.accept(w)
		return
	}
	if x.runs[o.Task] != nil || o.Run <= x.highest[o.Task] {
		x.refuse(w, "old")
		return
	}
	job, known := x.workOf(o.Task)
	if !known {
		x.rec.printf("executor %s is told to start %s, which no client sent", x.id, o.Task)
	}
	used := x.used()
	if used.cpu+job.cpu > x.capacity.cpu || used.memMB+job.memMB > x.capacity.memMB {
		x.refuse(w, "room")
		return
	}
	left := job.time
	var restored int64
	if _, err := fmt.Sscanf(o.Restore[:min(5, len(o.Restore))], "%x", &restored); err == nil {
		left = max(0, left-time.Duration(restored)*time.Millisecond) + 100*time.Millisecond
	}
	x.runs[o.Task] = &run{task: o.Task, number: o.Run, work: job, began: now, ends: now + left, fails: x.rec.failuresOf(o.Task) < job.failFirst}
	x.rec.startedRun(x.id, o.Task, o.Run)
	if !x.drainingSince.IsZero() && time.Since(x.drainingSince) > drainTime {
		x.rec.printf("PROBLEM DRAIN %s on %s", o.Task, x.id)
	}
	x.check(x, o)
	x.accept(w)
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request, o *order) {
	if o.Until > 0 {
		x.extend(o.Until)
	}
	x.noteLapse()
	kept := x.finished[:0:0]
	for _, e := range x.finished {
		if e.number > o.Seen {
			kept = append(kept, e)
		} else {
			x.rec.noted(x.id, e.task, e.run, e.how, e.at <= x.lapsedAt)
		}
	}
	x.finished = kept
	deadline := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	born := x.born
	for wait := o.Wait > 0; wait && len(x.finished) == 0 && !x.gone && !x.down; {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = false
		case <-r.Context().Done():
			return
		}
		x.mu.Lock()
		x.advance()
	}
	if x.gone || x.down || x.born != born {
		x.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	clock, life := x.clock().Milliseconds(), x.born
	now := x.clock()
	for _, r := range x.runs {
		percent := 0
		if r.ends > r.began {
			percent = int(min(99, 100*(now-r.began)/(r.ends-r.began)))
		}
		running = append(running, []any{r.task, r.number, x.saved(r), percent, r.work.cpu})
	}
	for _, e := range x.finished[:min(500, len(x.finished))] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	x.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{names["clock"]: clock, "born": life, "running": running, "finished": finished})
}

// running returns the tasks of a job that run here, and the capacity in use.
func (x *executor) running(job string) (tasks []string, used demand) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task := range x.runs {
		if strings.HasPrefix(task, job+".") {
			tasks = append(tasks, task)
		}
	}
	return tasks, x.used()
}
