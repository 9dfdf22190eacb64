// Command rig plays the cases of review/ that are scripts: it starts entries of
// lovage-fleet as separate processes on loopback addresses, with stand-ins of the
// platform's store (the project's fakestore) and of executors (executor.go), sends jobs,
// brings about the disruption of the case, and checks one rule.
//
//	rig CASE DIRECTORY    the record goes to DIRECTORY/record.txt
//
// With TROUBLE=0 in the environment, it does the same without the disruption. Exit codes:
// 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lovagespread.example/standin/fakestore"
	"lovagespread.example/standin/loopback"
)

// job is a job that a client hands in.
type job struct {
	id           string
	body         string
	needs        string    // the label of its requirements
	cancelled    time.Time // when its cancelling was acknowledged
	cancelStatus int
	work         func(task string) work
	sent         time.Time
	acked        time.Time // zero: no 2xx response to the POST
	rejected     int
	unanswered   int
	shown        map[string]time.Time // when a state was first shown
}

type entry struct {
	name, zone, ip, settings, front, ready, store string

	cmd    *exec.Cmd
	exited chan struct{}
	since  time.Time // start of the process
}

type rig struct {
	rec       *record
	store     *fakestore.Store
	gate      func(e *entry, w http.ResponseWriter, q *http.Request) bool // true: it has dealt with the call
	network   *loopback.Network
	dir       string
	logs      string
	root      string // of the repository
	writes    int    // writes_per_s of the settings
	service   string
	host      string
	prefix    string
	trouble   bool
	executors []*executor
	entries   []*entry
	client    *http.Client
	done      chan struct{}
	late      atomic.Pointer[func() bool] // decides which orders are carried out late

	mu     sync.Mutex
	jobs   map[string]*job
	order  []*job
	starts []*start
}

func newRig(maxAttempts int) (*rig, error) {
	r := &rig{
		rec: newRecord(), store: fakestore.New(names.TopicOp, names.TopicServers), service: "huvo11a", host: "nony24.example", prefix: "/lohu930/",
		writes: 600, trouble: os.Getenv("TROUBLE") != "0", done: make(chan struct{}), jobs: make(map[string]*job),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	r.root = root
	if r.network, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	if r.dir, err = os.MkdirTemp("", "rig-"); err != nil {
		return nil, err
	}
	r.logs = os.Getenv("RIG_LOGS")
	if r.logs == "" {
		r.logs = r.dir
	}
	var config bytes.Buffer
	if err := templates.ExecuteTemplate(&config, "config.json", map[string]any{
		"Host": r.host, "Prefix": r.prefix, "Service": r.service, "MaxAttempts": maxAttempts,
	}); err != nil {
		return nil, err
	}
	r.store.Put(names.TopicOp, "config", bytes.TrimSpace(config.Bytes()))
	return r, nil
}

// serveStore serves the store to an entry at an address of its own, so that the rig can
// turn away some entries.
func (r *rig) serveStore(e *entry) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		gate := r.gate
		r.mu.Unlock()
		if gate == nil || !gate(e, w, q) {
			r.store.ServeHTTP(w, q)
		}
	}))
	return l.Addr().String(), nil
}

func (r *rig) setGate(gate func(e *entry, w http.ResponseWriter, q *http.Request) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gate = gate
}

// addEntries writes the settings of entries, as many as counted in each zone.
func (r *rig) addEntries(zones []string, counts ...int) error {
	for z, zone := range zones {
		for i := range counts[z%len(counts)] {
			ip := r.network.Host(10 + 10*z + i).String()
			r.entries = append(r.entries, &entry{
				name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: ip, front: ip + ":8161", ready: ip + ":8167",
				settings: filepath.Join(r.dir, fmt.Sprintf("%s-%d.toml", zone, i+1)),
			})
		}
	}
	return r.writeSettings(zones)
}

// writeSettings writes the settings files of all entries.
func (r *rig) writeSettings(zones []string) error {
	var seeds []string
	for _, e := range r.entries {
		if len(seeds) < 3 {
			seeds = append(seeds, e.ip+":8166")
		}
	}
	for _, e := range r.entries {
		if e.store == "" {
			address, err := r.serveStore(e)
			if err != nil {
				return err
			}
			e.store = address
		}
		var text bytes.Buffer
		if err := templates.ExecuteTemplate(&text, "settings.toml", map[string]any{
			"Name": e.name, "IP": e.ip, "Zone": e.zone, "Zones": zones, "Seeds": seeds, "Front": e.front, "Ready": e.ready,
			"Control": e.ip + ":8166", "Store": e.store, "Writes": r.writes,
		}); err != nil {
			return err
		}
		if err := os.WriteFile(e.settings, text.Bytes(), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// begin starts the process of an entry with the command of the deploy file.
func (r *rig) begin(e *entry) error {
	log, err := os.OpenFile(filepath.Join(r.logs, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/lovage-fleet")
	cmd.Dir = r.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LANG=C.UTF-8", names.SettingsVariable + "=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd, e.exited, e.since = cmd, make(chan struct{}), time.Now()
	go func(exited chan struct{}) { cmd.Wait(); close(exited) }(e.exited)
	r.rec.add("process %s starts, pid %d", e.name, cmd.Process.Pid)
	return nil
}

func (r *rig) beginAll() error {
	for _, e := range r.entries {
		if err := r.begin(e); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range r.entries {
		for !r.isReady(e) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

func (r *rig) isReady(e *entry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/ready", nil)
	resp, err := r.client.Do(q)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *rig) kill(e *entry) {
	r.rec.add("SIGKILL %s", e.name)
	e.cmd.Process.Kill()
	<-e.exited
}

// term sends SIGTERM, and SIGKILL after grace_s.
func (r *rig) term(e *entry) {
	r.rec.add("SIGTERM %s", e.name)
	e.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-e.exited:
	case <-time.After(6 * time.Second):
		e.cmd.Process.Kill()
		<-e.exited
	}
	r.rec.add("process %s has ended", e.name)
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	for _, e := range r.entries {
		if e.cmd != nil {
			e.cmd.Process.Signal(syscall.SIGCONT)
			e.cmd.Process.Kill()
			<-e.exited
		}
	}
	close(r.done)
	for _, x := range r.executors {
		x.srv.Close()
	}
	r.network.Close()
	if os.Getenv("RIG_KEEP") == "" {
		os.RemoveAll(r.dir)
	}
}

func (r *rig) began(s *start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
}

func (r *rig) workOf(task string) work {
	r.mu.Lock()
	j := r.jobs[jobOf(task)]
	r.mu.Unlock()
	if j == nil {
		return work{cpu: 1, time: time.Second}
	}
	return j.work(task)
}

func newID(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }

func (r *rig) add(j *job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.shown = make(map[string]time.Time)
	r.jobs[j.id] = j
	r.order = append(r.order, j)
}

// call sends one request of a client. Status 0: no response.
func (r *rig) call(method string, e *entry, rest, body string, timeout time.Duration) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+r.prefix+rest, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	q.Host = r.host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Request-Deadline", fmt.Sprint(timeout.Milliseconds()))
	resp, err := r.client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	m := make(map[string]any)
	json.Unmarshal(data, &m)
	return resp.StatusCode, m
}

// anyEntry returns an entry whose process runs.
func (r *rig) anyEntry(rng *rand.Rand) *entry {
	for range 50 {
		e := r.entries[rng.IntN(len(r.entries))]
		select {
		case <-e.exited:
		default:
			return e
		}
	}
	return r.entries[0]
}

// submit hands a job in. After no response, a broken connection, 502 or 504 it sends the
// job again, retransmit_ms later, to any node. It returns the last status.
func (r *rig) submit(j *job, rng *rand.Rand, tries int) int {
	status := 0
	for range tries {
		e := r.anyEntry(rng)
		if j.sent.IsZero() {
			j.sent = time.Now()
		}
		r.rec.add("POST    %s to %s", j.id, e.name)
		var m map[string]any
		status, m = r.call(http.MethodPost, e, j.id, j.body, 1500*time.Millisecond)
		r.rec.add("answer  POST %s: %d %v", j.id, status, m)
		switch {
		case status >= 200 && status < 300:
			r.mu.Lock()
			j.acked = time.Now()
			r.mu.Unlock()
			return status
		case status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
			j.unanswered++
		default:
			j.rejected++
			return status
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return status
}

// state asks for the state of a job.
func (r *rig) state(j *job, e *entry) (int, string) {
	status, m := r.call(http.MethodGet, e, j.id, "", 3*time.Second)
	state, _ := m["state"].(string)
	r.mu.Lock()
	if _, known := j.shown[state]; !known && state != "" {
		j.shown[state] = time.Now()
	}
	r.mu.Unlock()
	return status, state
}

// verdict is the result of a case.
type verdict struct {
	broken []string
	notes  []string
	err    error
}

func main() {
	cases := map[string]func() (*rig, *verdict){"budget": budget, "route": route, "pending": pending, "twice": twice, "lost": lost, "outage": outage, "away": turnedAway, "stress": stress}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DIRECTORY")
		os.Exit(2)
	}
	signal.Ignore(syscall.SIGPIPE)
	r, v := cases[os.Args[1]]()
	if r != nil {
		r.close()
	}
	var head []string
	for _, n := range v.notes {
		head = append(head, "# "+n)
	}
	for _, b := range v.broken {
		head = append(head, "# BROKEN: "+b)
	}
	code := 0
	switch {
	case v.err != nil:
		head = append(head, "# could not run: "+v.err.Error())
		code = 2
	case len(v.broken) > 0:
		code = 1
	default:
		head = append(head, "# the rule held")
	}
	for _, l := range head {
		fmt.Println(l)
	}
	if r != nil {
		if err := r.rec.write(filepath.Join(os.Args[2], "record.txt"), head); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 2
		}
	}
	os.Exit(code)
}
