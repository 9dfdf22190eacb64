// Package usersplatform runs a stand-in for the users' platform on the local VM:
// a store, executors, and settings files for entries. Each entry has its own
// loopback address. The connections to the store, to the executors and between the
// entries have fault switches, which act from outside the processes of the entries.
package usersplatform

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/standin/fakeexecutor"
	"lovagespread.example/standin/fakestore"
	"lovagespread.example/standin/faultnet"
	"lovagespread.example/standin/loopback"
	"lovagespread.example/standin/peerproxy"
)

// Parameters that all deployments share.
const (
	operatorTopic      = "keyed.op"
	serviceName        = "s"
	host               = "h.example"
	pathPrefix         = "/q/"
	executorMilliCores = 64_000 // capacity of an executor, in thousandths of a core
	executorMemoryMiB  = 128 << 10
	heartbeatInterval  = 500 * time.Millisecond
	firstPort          = 7720
	frontPort          = 8161
	readyPort          = 8167
)

// Options describe a deployment.
type Options struct {
	Dir       string // directory for the settings files
	Domains   int    // number of failure domains
	Entries   int    // per failure domain
	Executors int    // per failure domain
	// Subnet is the third number of the entries' addresses, 127.0.N.x; 0: one that no
	// other deployment uses.
	Subnet int
	// EvacuationBound is the time after the store's reply within which an evacuation
	// must be in force; 0: operators request none.
	EvacuationBound time.Duration
	// QueueTimeout is how long callers are served at most; 0: DefaultQueueTimeout.
	QueueTimeout time.Duration
	// OnStart is called when a run has started in a failure domain; nil: not. It must
	// not call the deployment.
	OnStart func(domain string, executor leased.EndpointID, labels []string, task leased.TaskID)
}

// MaxAttempts is how often a task of a stored job may fail.
const MaxAttempts = 3

// DefaultQueueTimeout is how long callers are served at most if Options say nothing.
const DefaultQueueTimeout = 1500 * time.Millisecond

// Entry holds the listen addresses and the settings file of an entry.
type Entry struct {
	Name     string
	Settings string // path of the settings file
	Front    string // host:port of the listener for callers
	Ready    string // host:port of the readiness listener
}

// Executor is a stand-in executor and the listener on which it serves.
type Executor struct {
	*fakeexecutor.Executor
	Listener *faultnet.Listener
}

// Deployment is a running stand-in for the users' platform. It is safe for
// concurrent use.
type Deployment struct {
	Store         *fakestore.Store
	StoreListener *faultnet.Listener
	Executors     []*Executor
	Entries       []Entry
	Peers         *peerproxy.Network // between the entries, in the order of Entries
	// Reservation reserves the entries' addresses. If the processes of the entries
	// inherit it, nobody else gets the addresses before all of them have ended.
	Reservation *os.File

	opts    Options
	network *loopback.Network // of the entries
	servers []*http.Server
	cancel  context.CancelFunc

	mu          sync.Mutex
	runTimes    map[leased.JobID]time.Duration
	startedRuns map[leased.JobID]int
	deadly      map[leased.TaskID]int // tasks that crash their executors, and how often they have started
	failShares  map[leased.JobID]float64
	version     int
}

// Start starts a deployment, which runs until Close. It returns a
// loopback.InUseError if another deployment uses the subnet of the options.
func Start(opts Options) (*Deployment, error) {
	network, err := reserve(opts.Subnet)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Deployment{
		Store: fakestore.New(operatorTopic, fakeexecutor.Topic), opts: opts, network: network, cancel: cancel,
		runTimes: make(map[leased.JobID]time.Duration), startedRuns: make(map[leased.JobID]int), deadly: make(map[leased.TaskID]int), failShares: make(map[leased.JobID]float64),
	}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func reserve(subnet int) (*loopback.Network, error) {
	if subnet == 0 {
		return loopback.Reserve()
	}
	return loopback.ReserveNumber(subnet)
}

func (d *Deployment) start(ctx context.Context) error {
	reservation, err := d.network.File()
	if err != nil {
		return err
	}
	d.Reservation = reservation
	listener, err := d.serve(d.announceProxy(d.Store))
	if err != nil {
		return err
	}
	d.StoreListener = listener
	d.PublishConfiguration()
	for domain := range d.opts.Domains {
		for n := range d.opts.Executors {
			if err := d.addExecutor(ctx, domain, n); err != nil {
				return err
			}
		}
	}
	for domain := range d.opts.Domains {
		for n := range d.opts.Entries {
			if err := d.addEntry(domain, n); err != nil {
				return err
			}
		}
	}
	d.Peers, err = d.connectEntries()
	return err
}

// Close stops all stand-ins. The processes of the entries must have ended.
func (d *Deployment) Close() {
	d.cancel()
	if d.Peers != nil {
		d.Peers.Close()
	}
	for _, s := range d.servers {
		_ = s.Close() // nothing depends on a graceful shutdown
	}
	if d.Reservation != nil {
		_ = d.Reservation.Close() // it may be closed already
	}
	d.network.Close()
}

func (d *Deployment) serve(handler http.Handler) (*faultnet.Listener, error) {
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a stand-in for the users' platform")
	}
	listener := faultnet.Wrap(tcp)
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(listener) }() // ends with Close
	return listener, nil
}

func domainName(n int) string { return string(rune('a' + n)) }

// workOf counts a start of a task and returns the work of the task. Executors
// call it when they start a task.
func (d *Deployment) workOf(id leased.TaskID) leasedtest.Work {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startedRuns[id.Job]++
	runTime, known := d.runTimes[id.Job]
	if !known {
		runTime = time.Second
	}
	starts, deadly := d.deadly[id]
	if deadly {
		d.deadly[id] = starts + 1
	}
	fails := rand.Float64() < d.failShares[id.Job]
	return leasedtest.Work{Demand: leased.Demand{MilliCores: taskMilliCores, MemoryMiB: 64}, Time: runTime, Fails: fails, Crashes: deadly}
}

// MakeDeadly makes a task crash each executor that starts it.
func (d *Deployment) MakeDeadly(id leased.TaskID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadly[id] = 0
}

// DeadlyStarts returns how often each deadly task has started.
func (d *Deployment) DeadlyStarts() map[leased.TaskID]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.deadly)
}

// taskMilliCores is the demand of a task, in thousandths of a core.
const taskMilliCores = 27_000

// StartedRuns returns how many runs of a job have started.
func (d *Deployment) StartedRuns(id leased.JobID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startedRuns[id]
}

// PublishConfiguration writes the next version of the configuration.
func (d *Deployment) PublishConfiguration() {
	d.mu.Lock()
	d.version += 3
	version := d.version
	d.mu.Unlock()
	d.Store.Put(operatorTopic, "config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":%q,"path_prefix":%q,"type":"unsafe",
"timeout_ms":%d,"slo_ms":60,"service":%q,"max_attempts":%d,"stretch":1.6}],"services":[{"name":%q,"admission_check":true}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, host, pathPrefix, cmp.Or(d.opts.QueueTimeout, DefaultQueueTimeout).Milliseconds(), serviceName, MaxAttempts, serviceName))
}

func (d *Deployment) addEntry(domain, n int) error {
	ip := d.entryAddress(domain, n)
	e := Entry{
		Name:     fmt.Sprintf("entry-%s-%d", domainName(domain), n),
		Front:    fmt.Sprintf("%s:%d", ip, frontPort),
		Ready:    fmt.Sprintf("%s:%d", ip, readyPort),
		Settings: filepath.Join(d.opts.Dir, fmt.Sprintf("entry-%s-%d.toml", domainName(domain), n)),
	}
	settings := fmt.Sprintf(`node_name = %q
ip = "%v"
zone = %q
internal_ports = [%d, %d]
seeds = [%q]
control_mode = "rpc"
[listen]
front = %q
readiness = %q
[limits]
cpu_share = 0.4
cores = 1
[bounds]
grace_s = 6
max_hold_ms = 1000
status_s = 120
evacuate_ms = %d
[platform]
address = %q
form = "log"
parts = 24
writes_per_s = 600
keep_s = 300
`, e.Name, ip, domainName(domain), firstPort, firstPort+15, d.seed(), e.Front, e.Ready,
		d.opts.EvacuationBound.Milliseconds(), d.StoreListener.Addr())
	const permissions = 0o600
	if err := os.WriteFile(e.Settings, []byte(settings), permissions); err != nil {
		return errors.Wrap(err, "write the settings of an entry")
	}
	d.Entries = append(d.Entries, e)
	return nil
}

// Response is the response of an entry to a caller.
type Response struct {
	Status int // HTTP status; 0: no response
	State  string
	// Pending is the number of pending jobs in the response to Pending.
	Pending int
	Took    time.Duration
}

// Submit submits a job of equal tasks to an entry and waits until it ends.
func (d *Deployment) Submit(ctx context.Context, client *http.Client, front string, id leased.JobID, tasks int, run, timeout time.Duration) Response {
	return d.call(ctx, client, http.MethodPost, front, id, d.requestBody(id, true, tasks, run, ""), timeout)
}

// SubmitPatiently submits a job like Submit, for a caller who names a timeout and leaves the
// connection open until ctx ends.
func (d *Deployment) SubmitPatiently(ctx context.Context, client *http.Client, front string, id leased.JobID, tasks int, run, timeout time.Duration) Response {
	return d.send(ctx, client, http.MethodPost, front, id, d.requestBody(id, true, tasks, run, ""), timeout)
}

// requestBody returns the request body of a job of equal tasks, which require a label unless it is empty, and sets the
// run time of the tasks.
func (d *Deployment) requestBody(id leased.JobID, bestEffort bool, tasks int, run time.Duration, label string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runTimes[id] = run
	requirements := ""
	if label != "" {
		requirements = fmt.Sprintf(`,"requirements":%q`, label)
	}
	return fmt.Sprintf(`{"spec":"x","best_effort":%t,"steps":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":%d%s}]}`, bestEffort, tasks, taskMilliCores, run.Milliseconds(), requirements)
}

func (d *Deployment) call(ctx context.Context, client *http.Client, method, front string, id leased.JobID, body string, timeout time.Duration) Response {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.send(ctx, client, method, front, id, body, timeout)
}

// send sends a request that names a timeout, and waits for the response until ctx ends.
func (d *Deployment) send(ctx context.Context, client *http.Client, method, front string, id leased.JobID, body string, timeout time.Duration) Response {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+pathPrefix+string(id), strings.NewReader(body))
	if err != nil {
		return Response{}
	}
	req.Host = host
	req.Header.Set("X-Request-Deadline", fmt.Sprint(timeout.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return Response{Took: time.Since(start)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{Took: time.Since(start)}
	}
	var state struct {
		State   string `json:"state"`
		Pending int    `json:"pending"`
	}
	_ = json.Unmarshal(data, &state) // a response without a state leaves State empty
	return Response{Status: resp.StatusCode, State: state.State, Pending: state.Pending, Took: time.Since(start)}
}
