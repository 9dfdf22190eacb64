// Package fakeexecutor implements a stand-in for an executor of the users'
// platform. It serves the state machine of package leasedtest over the
// published protocol of the platform, in real time, with fault switches. The
// executor registers itself in a store.
package fakeexecutor

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
)

// Registry stores the registrations of executors.
type Registry interface {
	Put(topic, key string, value []byte)
}

// Topic is the topic to which executors write their registrations.
const Topic = "keyed.servers"

// maxPollWait bounds how long a poll waits for the end of a run.
const maxPollWait = 2 * time.Second

// Options describe an executor.
type Options struct {
	ID       string
	Address  string
	Service  string
	Zone     string
	Capacity leased.Demand
	Labels   []string
	Work     func(leased.TaskID) leasedtest.Work
	// OnStart is called when a run has started, with the labels of the executor; nil: not.
	// It must not call the executor.
	OnStart func(task leased.TaskID, labels []string)
}

// Faults are the fault switches of an executor.
type Faults struct {
	Hang        bool // requests are neither processed nor answered
	LoseReplies bool // requests are processed, but not answered
}

// Executor is a stand-in executor. It is an http.Handler and safe for concurrent
// use.
type Executor struct {
	opts             Options
	mux              *http.ServeMux
	mu               sync.Mutex
	state            *leasedtest.Endpoint
	startTime        time.Time
	incarnationStart int64
	seq              int
	faults           Faults
	down             bool // after a crash
	changed          chan struct{}
}

// New returns an executor that has just started.
func New(opts Options) *Executor {
	x := &Executor{opts: opts, mux: http.NewServeMux(), startTime: time.Now(), incarnationStart: time.Now().UnixMilli(), changed: make(chan struct{})}
	x.state = leasedtest.New(leased.EndpointID(opts.ID), opts.Capacity, x.work)
	x.state.Restart(x.incarnationStart)
	x.mux.HandleFunc("POST /run-start", x.start)
	x.mux.HandleFunc("POST /run-stop", x.stop)
	x.mux.HandleFunc("POST /hold", x.hold)
	x.mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	return x
}

// SetFaults replaces the fault switches.
func (x *Executor) SetFaults(f Faults) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.faults = f
}

// WithState calls f with the state of the executor at the current time. Tests use it
// to read the state or to set faults in it.
func (x *Executor) WithState(f func(*leasedtest.Endpoint)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.state.Advance(x.clock()) {
		x.advance()
	}
	f(x.state)
}

// Times of a crash that a task causes.
const (
	crashDelay = 10 * time.Millisecond // after the start
	downTime   = 1500 * time.Millisecond
)

// timeUntilCrash is the run time of a task that crashes its executor. It is far
// longer than any lease: on a busy VM the timer of the crash may be late, and such a
// task must not end before.
const timeUntilCrash = time.Hour

// work returns the work of a task that is being started, and schedules the crash
// that it causes.
func (x *Executor) work(id leased.TaskID) leasedtest.Work {
	work := x.opts.Work(id)
	if work.Crashes {
		work.Time = timeUntilCrash
		time.AfterFunc(crashDelay, func() { x.Crash(downTime) })
	}
	return work
}

// Crash ends everything that runs. The executor neither registers nor answers
// until a new incarnation begins after some time.
func (x *Executor) Crash(downFor time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down {
		return
	}
	x.down = true
	x.restart()
	time.AfterFunc(downFor, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.down = false
		x.restart()
	})
}

// Restart begins a new incarnation under the same ID.
func (x *Executor) Restart() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.restart()
}

// RestartAs crashes the executor. It is back under its ID after some time, with other
// labels, and announces itself right before.
func (x *Executor) RestartAs(labels []string, downFor time.Duration, registry Registry) {
	x.Crash(downFor)
	x.mu.Lock()
	x.opts.Labels = labels
	x.mu.Unlock()
	time.AfterFunc(downFor, func() { _ = x.Announce(registry, "ready") }) // the same record was encoded before
}

func (x *Executor) restart() {
	x.startTime = time.Now()
	x.incarnationStart = time.Now().UnixMilli()
	x.state.Restart(x.incarnationStart)
}

func (x *Executor) clock() time.Duration { return time.Since(x.startTime) + time.Millisecond }

type registration struct {
	Service    string   `json:"service"`
	Address    string   `json:"address"`
	Zone       string   `json:"zone"`
	Version    string   `json:"version"`
	Slots      int      `json:"slots"`
	State      string   `json:"state"`
	ColdLeftMS int      `json:"cold_left_ms"`
	Capacity   capacity `json:"capacity"`
	Labels     []string `json:"labels"`
	ClockMS    int64    `json:"clock_ms"`
	Seq        int      `json:"seq"`
	Born       int64    `json:"born"`
}

type capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// SetCapacity changes the capacity. Announce shows it to others. Runs that do not
// fit any more go on.
func (x *Executor) SetCapacity(c leased.Demand) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.opts.Capacity = c
	x.state.Capacity = c
}

// Announce writes the registration of the executor to a registry, unless it is
// down. state is "ready" or "draining".
func (x *Executor) Announce(registry Registry, state string) error {
	x.mu.Lock()
	if x.down {
		x.mu.Unlock()
		return nil
	}
	x.seq++
	const slots = 8
	data, err := json.Marshal(registration{
		Service: x.opts.Service, Address: x.opts.Address, Zone: x.opts.Zone, Version: "v1", Slots: slots, State: state,
		Capacity: capacity{x.opts.Capacity.MilliCores, x.opts.Capacity.MemoryMiB, x.opts.Capacity.Accelerators},
		Labels:   x.opts.Labels, ClockMS: x.clock().Milliseconds(), Seq: x.seq, Born: x.incarnationStart,
	})
	x.mu.Unlock()
	if err != nil {
		return err
	}
	registry.Put(Topic, x.opts.ID, data)
	return nil
}

// ServeHTTP implements http.Handler.
func (x *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	f, down := x.faults, x.down
	x.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if f.Hang {
		<-r.Context().Done()
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != x.opts.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.mux.ServeHTTP(w, r)
	if f.LoseReplies {
		panic(http.ErrAbortHandler)
	}
}

type request struct {
	Task         string `json:"task"`
	RunID        int    `json:"run_id"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"until_ms"`
	FencingToken int64  `json:"fencing_token"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
}

func decode(w http.ResponseWriter, r *http.Request) (request, leased.TaskID, bool) {
	var req request
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return req, leased.TaskID{}, false
	}
	if req.Task == "" {
		return req, leased.TaskID{}, true
	}
	id, ok := parseTask(req.Task)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
	}
	return req, id, ok
}

func parseTask(name string) (leased.TaskID, bool) {
	parts := strings.Split(name, ".")
	const fields = 4
	if len(parts) != fields {
		return leased.TaskID{}, false
	}
	id := leased.TaskID{Job: leased.JobID(parts[0])}
	for i, into := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return id, false
		}
		*into = n
	}
	return id, true
}

func taskName(id leased.TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index)
}

type response struct {
	ClockMS  int64   `json:"clock_ms"`
	Reason   string  `json:"reason,omitempty"`
	Born     int64   `json:"born,omitempty"`
	Running  [][]any `json:"running,omitempty"`
	Finished [][]any `json:"finished,omitempty"`
}

func write(w http.ResponseWriter, status int, body response) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have disconnected
}

// advance advances the state to the current time, wakes polls that wait for the
// end of a run, and starts a timer for the next event.
func (x *Executor) advance() {
	x.state.Advance(x.clock())
	close(x.changed)
	x.changed = make(chan struct{})
	if next := x.state.NextEvent(); next != leasedtest.Never {
		time.AfterFunc(next-x.clock()+time.Millisecond, x.advanceOnTimer)
	}
}

// advanceOnTimer advances the state when a timer fires, without a request.
func (x *Executor) advanceOnTimer() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.state.Advance(x.clock()) {
		x.advance()
	}
}

var refusalReasons = map[leased.StartResult]string{
	leased.StartFenced: "fence", leased.StartOldRun: "old", leased.StartLate: "late", leased.StartNoCapacity: "room",
}

func (x *Executor) start(w http.ResponseWriter, r *http.Request) {
	req, id, ok := decode(w, r)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.Advance(x.clock())
	startsBefore := x.state.StartCount()
	result := x.state.Start(x.clock(), &leased.Start{
		Task: id, Run: req.RunID, Until: time.Duration(req.UntilMS) * time.Millisecond, Token: req.FencingToken,
	}).Result
	if x.opts.OnStart != nil && x.state.StartCount() > startsBefore {
		x.opts.OnStart(id, x.opts.Labels)
	}
	x.advance()
	body := response{ClockMS: x.clock().Milliseconds(), Reason: refusalReasons[result]}
	switch {
	case result == leased.StartAccepted:
		write(w, http.StatusOK, body)
	case result == leased.StartUnhealthy:
		write(w, http.StatusServiceUnavailable, body)
	default:
		write(w, http.StatusConflict, body)
	}
}

func (x *Executor) stop(w http.ResponseWriter, r *http.Request) {
	req, id, ok := decode(w, r)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	answered := x.state.Stop(x.clock(), &leased.Stop{Task: id, Run: req.RunID, Token: req.FencingToken}).Answered
	x.advance()
	body := response{ClockMS: x.clock().Milliseconds()}
	if !answered {
		body.Reason = "fence"
		write(w, http.StatusConflict, body)
		return
	}
	write(w, http.StatusOK, body)
}

func (x *Executor) hold(w http.ResponseWriter, r *http.Request) {
	req, _, ok := decode(w, r)
	if !ok {
		return
	}
	deadline := time.After(min(time.Duration(req.WaitMS)*time.Millisecond, maxPollWait))
	x.mu.Lock()
	x.state.Advance(x.clock())
	result := x.state.Hold(x.clock(), &leased.Hold{
		Until: time.Duration(req.UntilMS) * time.Millisecond, Token: req.FencingToken, LastSeen: req.LastSeen,
	}).Result
	x.advance()
	for result == leased.HoldAnswered && req.WaitMS > 0 && !x.state.HasUnacknowledged() {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			req.WaitMS = 0
		case <-r.Context().Done():
			return
		}
		x.mu.Lock()
	}
	defer x.mu.Unlock()
	if result == leased.HoldFenced {
		write(w, http.StatusConflict, response{ClockMS: x.clock().Milliseconds(), Reason: "fence"})
		return
	}
	write(w, http.StatusOK, x.list())
}

func (x *Executor) list() response {
	reply := x.state.List(x.clock(), 0)
	body := response{ClockMS: x.clock().Milliseconds(), Born: x.incarnationStart}
	for _, row := range reply.Running {
		body.Running = append(body.Running, []any{taskName(row.Task), row.Run, row.Checkpoint, row.Percent})
	}
	for _, row := range reply.Ended {
		body.Finished = append(body.Finished, []any{row.Number, taskName(row.Task), row.Run, row.End.String(), row.Checkpoint})
	}
	return body
}
