package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"time"
)

// work is what a task does on an executor.
type work struct {
	cpu   int
	mem   int
	time  time.Duration
	fails bool
}

const (
	maxHold = time.Second
	stopFor = 20 * time.Millisecond // stop_ms is 50
)

// start is a run that an executor has begun.
type start struct {
	task     string
	run      int
	executor string
	labels   []string
	born     int64
	at       time.Time
	ended    time.Time // zero: it runs
	how      string
	noted    time.Time // when the end was taken note of; zero: not
	lapsed   bool      // the lease lapsed between the end and its acknowledgement
	body     string    // of the order
}

type activeRun struct {
	*start
	work
	ends   time.Time
	stopAt time.Time // zero: it is not being stopped
}

type endedRun struct {
	n int64
	*start
}

// executor is a stand-in of an executor, as PROTOCOL.md describes it. It guards its
// capacity.
type executor struct {
	rig  *rig
	id   string
	zone string
	addr string
	srv  *http.Server

	mu      sync.Mutex
	labels  []string
	cpu     int
	mem     int
	down    bool
	silent  bool // orders are neither carried out nor answered
	born    time.Time
	seq     int
	token   int64
	lease   time.Time // zero: none yet
	lapses  []time.Time
	active  map[string]*activeRun
	highest map[string]int
	ended   []endedRun
	lastN   int64
	changed chan struct{}
	state   string

	unguarded bool      // it starts whatever it is instructed to start
	drained   time.Time // when the store accepted that it drains
	left      bool
}

func (r *rig) addExecutor(id, zone string, cpu int, labels ...string) (*executor, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &executor{rig: r, id: id, zone: zone, addr: l.Addr().String(), labels: labels, cpu: cpu, mem: 128 << 10, state: "ready", changed: make(chan struct{})}
	x.reset()
	x.srv = &http.Server{Handler: x}
	go x.srv.Serve(l)
	go x.run()
	r.executors = append(r.executors, x)
	x.announce()
	return x, nil
}

// reset begins a life without anything of the earlier one.
func (x *executor) reset() {
	x.born, x.seq, x.token, x.lease, x.lapses = time.Now(), 0, 0, time.Time{}, nil
	x.active, x.highest, x.ended, x.lastN = make(map[string]*activeRun), make(map[string]int), nil, 0
	close(x.changed)
	x.changed = make(chan struct{})
}

// restart ends everything that runs. The executor is back after some time under its id,
// and possibly of another kind.
func (x *executor) restart(downFor time.Duration, labels []string) {
	x.mu.Lock()
	x.down = true
	now := time.Now()
	for _, a := range x.active {
		a.ended, a.how = now, "crashed"
	}
	x.reset()
	x.mu.Unlock()
	x.rig.rec.add("executor %s crashes", x.id)
	time.Sleep(downFor)
	x.mu.Lock()
	x.reset()
	if labels != nil {
		x.labels = labels
	}
	x.mu.Unlock()
	x.announce()
	time.Sleep(30 * time.Millisecond) // its record is in the store before it takes orders
	x.mu.Lock()
	x.down = false
	x.mu.Unlock()
	x.rig.rec.add("executor %s is back, labels %v, born %d; its record is in the store", x.id, x.labels, x.born.UnixMilli())
}

func (x *executor) announce() {
	x.mu.Lock()
	if x.left {
		x.mu.Unlock()
		return
	}
	x.seq++
	data, _ := json.Marshal(map[string]any{
		"service": x.rig.service, "address": x.addr, "zone": x.zone, "version": "v1", "slots": 8, "state": x.state, "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": x.cpu, "mem_mb": x.mem, "gpu": 0}, "labels": x.labels, names.Clock: x.clock(time.Now()), "seq": x.seq,
		"born": x.born.UnixMilli(),
	})
	x.mu.Unlock()
	x.rig.store.Put(names.TopicServers, x.id, data)
}

// run writes the record each heartbeat_ms and ends runs in time.
func (x *executor) run() {
	beat := time.NewTicker(1500 * time.Millisecond)
	step := time.NewTicker(5 * time.Millisecond)
	defer beat.Stop()
	defer step.Stop()
	for {
		select {
		case <-x.rig.done:
			return
		case <-beat.C:
			x.mu.Lock()
			down := x.down
			x.mu.Unlock()
			if !down {
				x.announce()
			}
		case <-step.C:
			x.mu.Lock()
			x.advance(time.Now())
			x.mu.Unlock()
		}
	}
}

func (x *executor) clock(now time.Time) int64 { return now.Sub(x.born).Milliseconds() + 1 }

// advance ends runs that are done, stopped or whose lease has lapsed.
func (x *executor) advance(now time.Time) {
	before := x.lastN
	var due []*activeRun
	lapsed := !x.lease.IsZero() && !now.Before(x.lease)
	if lapsed && (len(x.lapses) == 0 || x.lapses[len(x.lapses)-1].Before(x.lease)) {
		x.lapses = append(x.lapses, x.lease)
	}
	for _, a := range x.active {
		if lapsed || !now.Before(a.ends) || !a.stopAt.IsZero() && !now.Before(a.stopAt) {
			due = append(due, a)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].task < due[j].task })
	for _, a := range due {
		how := "done"
		switch {
		case !a.ends.After(now) && (!lapsed || !a.ends.After(x.lease)):
			if a.fails {
				how = "failed"
			}
		case !a.stopAt.IsZero() && !now.Before(a.stopAt):
			how = "stopped"
		default:
			how = "lapsed"
		}
		delete(x.active, a.task)
		x.highest[a.task] = max(x.highest[a.task], a.run)
		x.lastN++
		a.ended, a.how = now, how
		x.ended = append(x.ended, endedRun{x.lastN, a.start})
		x.rig.rec.add("end     %s run %d on %s: %s (N %d)", a.task, a.run, x.id, how, x.lastN)
	}
	if x.lastN > before {
		close(x.changed)
		x.changed = make(chan struct{})
	}
}

// extend extends the lease. It never shortens.
func (x *executor) extend(now time.Time, untilMS int64) {
	until := x.born.Add(time.Duration(untilMS-1) * time.Millisecond)
	if limit := now.Add(maxHold); until.After(limit) {
		until = limit
	}
	if until.After(x.lease) {
		x.lease = until
	}
}

// order is a call to an executor.
type order struct {
	Task     string
	RunID    int
	Spec     string
	Until    int64
	Token    int64
	LastSeen int64
	WaitMS   int64
}

func (o *order) UnmarshalJSON(data []byte) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	for name, to := range map[string]any{
		"task": &o.Task, "run_id": &o.RunID, "spec": &o.Spec, names.Until: &o.Until, names.Token: &o.Token,
		names.LastSeen: &o.LastSeen, "wait_ms": &o.WaitMS,
	} {
		if value, present := fields[name]; present {
			if err := json.Unmarshal(value, to); err != nil {
				return err
			}
		}
	}
	return nil
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	x.mu.Lock()
	down, silent := x.down, x.silent
	x.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	var o order
	if r.Method == http.MethodGet {
		w.WriteHeader(http.StatusOK)
		return
	}
	if err != nil || json.Unmarshal(data, &o) != nil {
		x.reply(w, http.StatusBadRequest, map[string]any{names.Clock: x.clock(time.Now())})
		return
	}
	if target := r.Header.Get(names.TargetHeader); target != "" && target != x.id {
		x.reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	if late := x.rig.late.Load(); late != nil && r.URL.Path != "/hold" && (*late)() {
		x.rig.rec.add("late    %s %s run %d on %s", r.URL.Path, o.Task, o.RunID, x.id)
		go func() {
			time.Sleep(2*time.Second + time.Duration(rand.Int64N(int64(10*time.Second))))
			if r.URL.Path == names.StartPath {
				x.start(httptest.NewRecorder(), &o)
			} else {
				x.stop(httptest.NewRecorder(), &o)
			}
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case names.StartPath:
		x.start(w, &o)
	case names.StopPath:
		x.stop(w, &o)
	case "/hold":
		x.hold(w, r, &o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (x *executor) reply(w http.ResponseWriter, status int, body map[string]any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

func (x *executor) start(w http.ResponseWriter, o *order) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	x.advance(now)
	refuse := func(reason string) {
		x.rig.rec.add("refuse  %s run %d on %s: %s", o.Task, o.RunID, x.id, reason)
		x.reply(w, http.StatusConflict, map[string]any{names.Clock: x.clock(now), "reason": reason})
	}
	if o.Token < x.token {
		refuse("fence")
		return
	}
	x.token = o.Token
	if o.Until <= x.clock(now) {
		refuse("late")
		return
	}
	x.extend(now, o.Until)
	if a := x.active[o.Task]; a != nil && a.run == o.RunID {
		x.reply(w, http.StatusOK, map[string]any{names.Clock: x.clock(now)})
		return
	}
	if x.active[o.Task] != nil || o.RunID <= x.highest[o.Task] {
		refuse("old")
		return
	}
	job := x.rig.workOf(o.Task)
	used, mem := job.cpu, job.mem
	for _, a := range x.active {
		used, mem = used+a.cpu, mem+a.mem
	}
	if used > x.cpu || mem > x.mem {
		if !x.unguarded {
			refuse("room")
			return
		}
		x.rig.rec.add("OVER    %s run %d on %s: %d of %d", o.Task, o.RunID, x.id, used, x.cpu)
	}
	if !x.drained.IsZero() && now.Sub(x.drained) > 2*time.Second {
		x.rig.rec.add("DRAINED %s run %d on %s, draining for %v", o.Task, o.RunID, x.id, now.Sub(x.drained))
	}
	s := &start{task: o.Task, run: o.RunID, executor: x.id, labels: x.labels, born: x.born.UnixMilli(), at: now, body: o.Spec}
	x.active[o.Task] = &activeRun{start: s, work: job, ends: now.Add(job.time)}
	x.rig.began(s)
	x.rig.rec.add("start   %s run %d on %s, labels %v, token %d", o.Task, o.RunID, x.id, x.labels, o.Token)
	x.reply(w, http.StatusOK, map[string]any{names.Clock: x.clock(now)})
}

func (x *executor) stop(w http.ResponseWriter, o *order) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	x.advance(now)
	if o.Token < x.token {
		x.reply(w, http.StatusConflict, map[string]any{names.Clock: x.clock(now), "reason": "fence"})
		return
	}
	x.token = o.Token
	if a := x.active[o.Task]; a != nil && a.run <= o.RunID && a.stopAt.IsZero() {
		a.stopAt = now.Add(stopFor)
		x.rig.rec.add("stop    %s run %d on %s", o.Task, o.RunID, x.id)
	}
	x.highest[o.Task] = max(x.highest[o.Task], o.RunID)
	x.reply(w, http.StatusOK, map[string]any{names.Clock: x.clock(now)})
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request, o *order) {
	deadline := time.After(min(time.Duration(o.WaitMS)*time.Millisecond, 2*time.Second))
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	x.advance(now)
	if o.Token < x.token {
		x.reply(w, http.StatusConflict, map[string]any{names.Clock: x.clock(now), "reason": "fence"})
		return
	}
	x.token = o.Token
	if o.Until > 0 {
		x.extend(now, o.Until)
	}
	born := x.born
	x.acknowledge(now, o.LastSeen)
	for wait := o.WaitMS > 0; wait && len(x.ended) == 0 && x.born.Equal(born); {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = false
		case <-r.Context().Done():
			wait = false
		}
		x.mu.Lock()
	}
	if x.down || !x.born.Equal(born) {
		panic(http.ErrAbortHandler)
	}
	now = time.Now()
	running, finished := [][]any{}, [][]any{}
	for _, a := range x.active {
		percent := 100 * int64(now.Sub(a.at)) / max(1, int64(a.time))
		running = append(running, []any{a.task, a.run, "", min(99, percent), a.cpu})
	}
	for _, e := range x.ended[:min(len(x.ended), 500)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	x.reply(w, http.StatusOK, map[string]any{names.Clock: x.clock(now), "born": x.born.UnixMilli(), "running": running, "finished": finished})
}

// acknowledge forgets the ends up to a number. An end is taken note of then, unless the
// lease has lapsed since it.
func (x *executor) acknowledge(now time.Time, lastSeen int64) {
	kept := x.ended[:0:0]
	for _, e := range x.ended {
		if e.n > lastSeen {
			kept = append(kept, e)
			continue
		}
		for _, lapse := range x.lapses {
			e.lapsed = e.lapsed || !lapse.Before(e.ended) && !lapse.After(now)
		}
		if !e.lapsed {
			e.noted = now
		}
		x.rig.rec.add("noted   %s run %d on %s: %s (N %d)%s", e.task, e.run, x.id, e.how, e.n, map[bool]string{true: ", but the lease lapsed since"}[e.lapsed])
	}
	x.ended = kept
}

func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }

// drain announces that the executor leaves, and lets it leave after a time.
func (x *executor) drain(after time.Duration) {
	x.mu.Lock()
	x.state = "draining"
	x.mu.Unlock()
	x.announce()
	x.mu.Lock()
	x.drained = time.Now()
	x.mu.Unlock()
	x.rig.rec.add("executor %s drains", x.id)
	time.Sleep(after)
	x.mu.Lock()
	x.down, x.left = true, true
	for _, a := range x.active {
		a.ended, a.how = time.Now(), "left"
	}
	x.reset()
	x.mu.Unlock()
	x.rig.store.Put(names.TopicServers, x.id, nil)
	x.rig.rec.add("executor %s has left", x.id)
}
