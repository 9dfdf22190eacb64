package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovagespread.example/standin/peerproxy"
)

const (
	serviceName = "huvo11a"
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
)

// rig is a small deployment on loopback addresses: a store, executors, and the project's own
// entries as separate processes.
type rig struct {
	rec        *recorder
	store      *store
	proxied    bool
	storeDoors map[string]*zoneStore
	dir        string
	root       string // of the repository
	subnet     int
	lock       net.PacketConn
	executors  []*executor
	entries    []*entry
	servers    []*http.Server
	network    *peerproxy.Network // between the entries; nil: they reach each other directly

	mu   sync.Mutex
	jobs map[string][]work // by job, the work of a task of each step
	sent map[string]jobBody
}

// entry is one entry process.
type entry struct {
	rig      *rig
	name, ip string
	zone     string
	settings string
	logPath  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // it is not started again
	done    chan struct{}
}

// errSetup is wrapped by errors that show that a case could not run.
var errSetup = errors.New("the case could not run")

func newRig(rec *recorder, root string) (*rig, error) {
	dir, err := os.MkdirTemp("", "lovage-review-")
	if err != nil {
		return nil, err
	}
	r := &rig{rec: rec, dir: dir, root: root, jobs: make(map[string][]work), sent: make(map[string]jobBody), storeDoors: make(map[string]*zoneStore), store: newStore(rec)}
	for range 200 {
		r.subnet = 1 + rand.IntN(254)
		if r.lock, err = net.ListenPacket("udp4", fmt.Sprintf("127.0.%d.1:7719", r.subnet)); err == nil {
			return r, nil
		}
	}
	return nil, fmt.Errorf("%w: no free loopback network: %v", errSetup, err)
}

func (r *rig) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// workOf returns the work of a task by its name ID.K.STEP.INDEX.
func (r *rig) workOf(task string) (work, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := strings.Split(task, ".")
	var step int
	if len(parts) != 4 {
		return work{}, false
	}
	if _, err := fmt.Sscan(parts[2], &step); err != nil || step >= len(r.jobs[parts[0]]) {
		return work{}, false
	}
	return r.jobs[parts[0]][step], true
}

var zones = []string{"piraeus", "elefsina", "koropi"}

// options of a deployment.
type options struct {
	entriesPerZone int
	labels         []string // of the executors of each zone
	timeoutMS      int      // of the route
	maxAttempts    int
	// proxied lets the entries reach each other, and the executors of other zones, through
	// proxies that can be cut.
	proxied bool
}

// checkStart records what an order asks for that no client has sent.
func (r *rig) checkStart(x *executor, o *order) {
	parts := strings.Split(o.Task, ".")
	r.mu.Lock()
	body, known := r.sent[parts[0]]
	r.mu.Unlock()
	var step, index int
	_, _ = fmt.Sscan(parts[2], &step)
	_, _ = fmt.Sscan(parts[3], &index)
	if !known || step >= len(body.Steps) || index >= body.Steps[step].Count {
		r.rec.printf("PROBLEM UNASKED %s", o.Task)
		return
	}
	if body.Spec != o.Spec {
		r.rec.printf("PROBLEM UNASKED %s with another spec: %q", o.Task, o.Spec)
	}
	st := body.Steps[step]
	if st.Requirements != "" && st.Requirements != x.label {
		r.rec.printf("PROBLEM ROUTE %s on %s", o.Task, x.id)
	}
	if st.AntiAffinity > 0 {
		n := 0
		for name := range x.runs {
			p := strings.Split(name, ".")
			if p[0] == parts[0] && p[2] == parts[2] && name != o.Task {
				n++
			}
		}
		if n+1 > st.AntiAffinity {
			r.rec.printf("PROBLEM ROUTE %s on %s beyond anti_affinity", o.Task, x.id)
		}
	}
}

// start starts the deployment and waits until all entries are ready.
func (r *rig) start(o options) error {
	addresses := make(map[string]string) // of the store, by the zone of the caller
	for _, zone := range zones {
		address, err := r.serve(r.zoneStore(zone))
		if err != nil {
			return err
		}
		addresses[zone] = address
	}
	r.proxied = o.proxied
	r.store.publishConfig(7, o.timeoutMS, o.maxAttempts)
	for z, zone := range zones {
		for n, label := range o.labels {
			x, err := startExecutor(r.rec, r.store, fmt.Sprintf("i-%d%d3a91c2", z, n), zone, label, demand{32_000, 131_072}, r.workOf)
			if err != nil {
				return err
			}
			x.check = r.checkStart
			r.executors = append(r.executors, x)
		}
	}
	for z, zone := range zones {
		for n := range o.entriesPerZone {
			e := &entry{rig: r, name: fmt.Sprintf("edge-%s-%d", zone, n+1), ip: fmt.Sprintf("127.0.%d.%d", r.subnet, 10+z*10+n), zone: zone}
			e.settings = filepath.Join(r.dir, e.name+".toml")
			e.logPath = filepath.Join(r.dir, e.name+".log")
			if err := os.WriteFile(e.settings, []byte(r.settings(e, addresses[zone], o)), 0o600); err != nil {
				return err
			}
			r.entries = append(r.entries, e)
		}
	}
	if o.proxied {
		var err error
		opts := peerproxy.Options{PeerPort: 7720, HeartbeatPort: 7721}
		for _, e := range r.entries {
			opts.Entries = append(opts.Entries, netip.MustParseAddr(e.ip))
		}
		if r.network, err = peerproxy.New(opts); err != nil {
			return fmt.Errorf("%w: %v", errSetup, err)
		}
	}
	for n, e := range r.entries {
		if err := e.start(); err != nil {
			return err
		}
		if r.network != nil {
			r.network.Started(n)
		}
	}
	return r.waitReady(15 * time.Second)
}

func (r *rig) settings(e *entry, store string, o options) string {
	return fmt.Sprintf(wireText("settings.toml.txt"), e.name, e.ip, e.zone, r.seeds(), e.ip, e.ip, e.ip, store, recordBytes, requestBytes)
}

func (r *rig) zoneStore(zone string) *zoneStore {
	z := &zoneStore{store: r.store, zone: zone, rig: r}
	r.storeDoors[zone] = z
	return z
}

func (r *rig) seeds() string {
	text := fmt.Sprintf(`"127.0.%d.10:8166","127.0.%d.20:8166","127.0.%d.30:8166"`, r.subnet, r.subnet, r.subnet)
	if r.proxied {
		text = peerproxy.Announced(text, r.subnet)
	}
	return text
}

// cutZone cuts a zone off from the others, or ends that: its entries neither reach those of
// the others nor their executors, and the other way round. All reach the store.
func (r *rig) cutZone(zone string, on bool) {
	r.rec.printf("zone %s cut off: %v", zone, on)
	if os.Getenv("CUT_STORE") == "1" {
		r.storeDoors[zone].cut.Store(on)
	}
	for a, from := range r.entries {
		for b, to := range r.entries {
			if from.zone != to.zone && (from.zone == zone || to.zone == zone) {
				r.network.Direction(a, b).SetSilent(on)
			}
		}
	}
	for _, x := range r.executors {
		for _, caller := range zones {
			if caller != x.zone && (caller == zone || x.zone == zone) {
				x.doors[caller].cut.Store(on)
			}
		}
	}
}

func (r *rig) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, e := range r.entries {
		for !e.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errSetup, e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

var quickClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (e *entry) ready() bool {
	resp, err := quickClient.Get("http://" + e.ip + ":8167/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start starts the process as the deploy file says: target/lovage-fleet, with the settings
// file named by the variable of the platform.
func (e *entry) start() error {
	log, err := os.OpenFile(e.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(e.rig.root, "target", "lovage-fleet"))
	cmd.Dir = e.rig.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), names["settings_variable"] + "=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %v", errSetup, err)
	}
	done := make(chan struct{})
	e.mu.Lock()
	e.cmd, e.done = cmd, done
	e.mu.Unlock()
	e.rig.rec.printf("entry %s started pid=%d", e.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		e.rig.rec.printf("entry %s ended pid=%d: %v", e.name, cmd.Process.Pid, err)
		close(done)
	}()
	return nil
}

func (e *entry) signal(sig os.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rig.rec.printf("signal %v to entry %s", sig, e.name)
	_ = e.cmd.Process.Signal(sig)
}

// kill kills the process and waits until it has ended.
func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.done
}

var shardTaken = regexp.MustCompile(`shard_taken.*?"shard": ?(\d+)`)

// log returns what the process and its earlier ones have logged.
func (e *entry) log() string {
	data, err := os.ReadFile(e.logPath)
	if err != nil {
		return ""
	}
	return string(data)
}

func (r *rig) close(keepLogs bool) {
	for _, e := range r.entries {
		e.mu.Lock()
		if e.cmd != nil {
			_ = e.cmd.Process.Kill()
		}
		e.mu.Unlock()
	}
	for _, e := range r.entries {
		if e.done != nil {
			<-e.done
		}
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	for _, x := range r.executors {
		x.close()
	}
	if r.network != nil {
		r.network.Close()
	}
	_ = r.lock.Close()
	if keepLogs {
		fmt.Println("logs:", r.dir)
		return
	}
	_ = os.RemoveAll(r.dir)
}

// step is a step of a job as a client sends it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb"`
	EstimateMS    int    `json:"estimate_ms"`
	After         []int  `json:"after,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	Affinity      string `json:"affinity,omitempty"`

	failFirst int
}

type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"-"`
}

// reply is what a client has received.
type reply struct {
	status  int    // 0: no complete answer
	state   string // of a job
	pending int
	broken  string // why there is no complete answer
}

func (r reply) String() string {
	if r.status == 0 {
		return "no complete answer: " + r.broken
	}
	return fmt.Sprintf("%d state=%q pending=%d", r.status, r.state, r.pending)
}

func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit sends a job. Its tasks run for exactly as long as they are estimated.
func (r *rig) submit(e *entry, id string, body jobBody, patience time.Duration) reply {
	r.mu.Lock()
	r.sent[id] = body
	if r.jobs[id] == nil {
		for _, s := range body.Steps {
			r.jobs[id] = append(r.jobs[id], work{demand{s.CPU, s.MemMB}, time.Duration(s.EstimateMS) * time.Millisecond, s.failFirst, s.Checkpointing})
		}
	}
	r.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		return reply{broken: err.Error()}
	}
	if body.BestEffort {
		data = bytes.Replace(data, []byte("{"), fmt.Appendf(nil, `{%q:true,`, names["not_stored"]), 1)
	}
	return r.call(e, http.MethodPost, id, data, patience)
}

func (r *rig) state(e *entry, id string) reply {
	return r.call(e, http.MethodGet, id, nil, 1500*time.Millisecond)
}

func (r *rig) cancel(e *entry, id string) reply {
	return r.call(e, http.MethodDelete, id, nil, 1500*time.Millisecond)
}

func (r *rig) pending(e *entry) reply {
	return r.call(e, http.MethodGet, "", nil, 1500*time.Millisecond)
}

// call sends a request on a connection of its own.
func (r *rig) call(e *entry, method, id string, body []byte, patience time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.ip+":8161"+routePrefix+id, bytes.NewReader(body))
	if err != nil {
		return reply{broken: err.Error()}
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Deadline", fmt.Sprint(patience.Milliseconds()))
	shown := body
	if len(shown) > 300 {
		shown = shown[:300]
	}
	r.rec.printf("client sends %s %s%s to %s patience_ms=%d %s", method, routePrefix, id, e.name, patience.Milliseconds(), shown)
	out := reply{}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		out.broken = err.Error()
	} else {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			out.broken = err.Error()
		} else {
			var decoded struct {
				State   string `json:"state"`
				Pending int    `json:"pending"`
			}
			_ = json.Unmarshal(data, &decoded)
			out = reply{status: resp.StatusCode, state: decoded.State, pending: decoded.Pending}
		}
	}
	r.rec.printf("client gets for %s %s%s from %s: %v", method, routePrefix, id, e.name, out)
	return out
}

// stamp returns the time of a line of an entry's log, in a form that can be compared.
func stamp(line string) string {
	if m := stampPattern.FindStringSubmatch(line); m != nil {
		return m[1]
	}
	return ""
}

var stampPattern = regexp.MustCompile(`"(?:ts|time)": ?"?([0-9TZ:.+-]+)`)
