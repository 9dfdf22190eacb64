package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/change"
	"lovagespread.example/client/callerapi"
	"lovagespread.example/entry/settings"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
	"lovagespread.example/standin/fakeendpoint"
	"lovagespread.example/standin/fakeplatform"
	"lovagespread.example/standin/loopback"
)

// The timeouts are as long as any wait of a test, so that they pass only if a task is
// lost, and not if the machine does not schedule the test for a while.
const services = `
[[service]]
name = "booking"
slots = 4
run_time = "5ms"
timeout = "20s"

[[service]]
name = "valuation"
idempotent = true
slots = 4
run_time = "5ms"
timeout = "20s"
`

const (
	testDomain  = "lodz-a"
	testKey     = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
	testTimeout = 20 * time.Second // for any condition that a test waits for
)

// testbed runs a platform, endpoints and entries on loopback sockets.
type testbed struct {
	t        *testing.T
	platform *fakeplatform.Platform
	url      string
	fleet    *fakeendpoint.Fleet
	entries  []platformapi.VM
	dir      string
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	b := &testbed{
		t:        t,
		platform: fakeplatform.New(fakeplatform.Options{ListLag: fakeplatform.None, AppendDelay: fakeplatform.None}),
		fleet:    fakeendpoint.NewFleet(),
		dir:      t.TempDir(),
	}
	t.Cleanup(b.fleet.Close)
	t.Cleanup(b.printLogs)
	b.url = b.servePlatform()
	b.publish(services)
	return b
}

// printLogs prints the ends of the entries' logs if the test has failed.
func (b *testbed) printLogs() {
	if !b.t.Failed() {
		return
	}
	const maxBytes = 20_000
	paths, err := filepath.Glob(filepath.Join(b.dir, "*.log"))
	if err != nil {
		b.t.Error(err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			b.t.Error(err)
			continue
		}
		b.t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-maxBytes):])
	}
}

// network is reserved until the process ends, because the entries of a test may listen
// longer than the test runs.
var network = sync.OnceValues(loopback.Reserve)

// addressCount is the number of addresses that are or were in use.
var addressCount atomic.Int64

// newAddress returns an address at which nobody else listens, not even when its listener
// was closed: an entry that has stopped is still called by others, and the platform of a
// test by entries that are slow to stop. The kernel never chooses its port.
func (b *testbed) newAddress() string {
	b.t.Helper()
	reserved, err := network()
	if err != nil {
		b.t.Fatal(err)
	}
	const (
		firstHost    = 2 // host 1 is used by the network itself
		firstPort    = 10_000
		portsPerHost = 20_000
	)
	n := int(addressCount.Add(1)) - 1
	return netip.AddrPortFrom(reserved.Host(firstHost+n/portsPerHost), uint16(firstPort+n%portsPerHost)).String()
}

// servePlatform serves the platform until the test ends and returns its URL.
func (b *testbed) servePlatform() string {
	b.t.Helper()
	listener, err := net.Listen("tcp", b.newAddress())
	if err != nil {
		b.t.Fatal(err)
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: b.platform.Handler()}}
	server.Start()
	b.t.Cleanup(server.Close)
	return server.URL
}

func (b *testbed) publish(text string) {
	b.t.Helper()
	parsed, err := catalog.ParseServices("services", []byte(text))
	if err != nil {
		b.t.Fatal(err)
	}
	b.append(0, &change.ReplaceServices{Services: parsed.Services, Teams: parsed.Teams})
}

// publishTeams publishes the team that the tests use.
func (b *testbed) publishTeams() {
	b.append(1, &change.PutTeam{Team: catalog.Team{Name: "paint", Weight: 1}})
}

// append appends a change based on the given version to the log.
func (b *testbed) append(base uint64, body change.Body) {
	b.t.Helper()
	log, err := logservice.NewClient(logservice.Options{URL: b.url})
	if err != nil {
		b.t.Fatal(err)
	}
	record, err := change.EncodeChange(change.Change{
		ID: fmt.Sprintf("change-%d", base), Base: base, Author: "test", Time: time.Unix(1_700_000_000, 0), Body: body,
	})
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := log.Append(context.Background(), logservice.StreamConfiguration, [][]byte{record}); err != nil {
		b.t.Fatal(err)
	}
}

func (b *testbed) addEndpoint(name, service string) *fakeendpoint.Server {
	b.t.Helper()
	worker := &fakeendpoint.Worker{
		Name: "worker-" + name, FailureDomain: testDomain, Rack: "r1",
		Capacity: catalog.Resources{MilliCores: 8000, MemoryMiB: 8192},
	}
	server, err := b.fleet.Add(fakeendpoint.Options{Name: name, Service: service, Slots: 4, Worker: worker}, b.newAddress())
	if err != nil {
		b.t.Fatal(err)
	}
	b.listVMs()
	return server
}

func (b *testbed) listVMs() { b.platform.SetVMs(append(b.fleet.VMs(), b.entries...)) }

func (b *testbed) writeFile(name, text string) string {
	b.t.Helper()
	path := filepath.Join(b.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

func (b *testbed) settings(name string) settings.Settings {
	b.t.Helper()
	text := fmt.Sprintf(`
name = %q
region = "pl-centrum"
failure_domain = %q
[listen]
caller = %q
peer = %q
admin = %q
[platform]
url = %q
[job_ids]
key_files = [%q]
[log]
file = %q
`, name, testDomain, b.newAddress(), b.newAddress(), b.newAddress(), b.url, b.writeFile("key", testKey), filepath.Join(b.dir, name+".log"))
	s, err := settings.Parse("test", []byte(text))
	if err != nil {
		b.t.Fatal(err)
	}
	return s
}

// runningEntry is an entry that runs until stop is called or the test ends.
type runningEntry struct {
	*Entry
	t      *testing.T
	cancel context.CancelFunc
	result chan error
	token  string
}

func (b *testbed) start(s settings.Settings) *runningEntry {
	b.t.Helper()
	e, err := New(s)
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningEntry{Entry: e, t: b.t, cancel: cancel, result: make(chan error, 1)}
	go func() { r.result <- e.Run(ctx) }()
	b.entries = append(b.entries, platformapi.VM{
		Name: s.Name, Role: platformapi.RoleEntry, Address: e.PeerAddr(), State: platformapi.VMLive,
		Region: s.Region, FailureDomain: s.FailureDomain,
	})
	b.listVMs()
	b.t.Cleanup(func() { r.cancel() })
	eventually(b.t, "the entry is ready and knows its endpoints", func() bool {
		snapshot := e.engine.loop.Snapshot()
		return e.ready() == nil && len(snapshot.View.Endpoints) == len(b.fleet.Servers())
	})
	return r
}

// stop stops the entry gracefully and waits until it has ended.
func (r *runningEntry) stop() {
	r.t.Helper()
	r.cancel()
	select {
	case err := <-r.result:
		if err != nil {
			r.t.Fatalf("stop: %v", err)
		}
	case <-time.After(testTimeout):
		r.t.Fatal("the entry did not stop")
	}
}

// eventually waits until the condition holds and fails the test after
// testTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", testTimeout, what)
		}
		time.Sleep(time.Millisecond)
	}
}

// response is a reply to a caller.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (r response) problem(t *testing.T) callerapi.Problem {
	t.Helper()
	var p callerapi.Problem
	if err := json.Unmarshal(r.body, &p); err != nil {
		t.Fatalf("status %d, body %s: %v", r.status, r.body, err)
	}
	return p
}

func (r response) answer(t *testing.T) callerapi.Answer {
	t.Helper()
	var a callerapi.Answer
	if err := json.Unmarshal(r.body, &a); err != nil || r.status != http.StatusOK {
		t.Fatalf("status %d, body %s: %v", r.status, r.body, err)
	}
	return a
}

func (r *runningEntry) do(method, path, body string) response {
	r.t.Helper()
	req, err := http.NewRequest(method, "http://"+r.CallerAddr()+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if r.token != "" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: data}
}

func (r *runningEntry) newID() string {
	r.t.Helper()
	var ids callerapi.IDsResponse
	got := r.do(http.MethodPost, "/v1/job-ids", `{"count":1}`)
	if err := json.Unmarshal(got.body, &ids); err != nil || len(ids.IDs) != 1 {
		r.t.Fatalf("status %d, body %s: %v", got.status, got.body, err)
	}
	return ids.IDs[0]
}

// jobBody returns the JSON of a job of n tasks that run for the given
// milliseconds.
func jobBody(service string, n int, runMS float64) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"service":%q,"tasks":[`, service)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"payload":{"run_ms":%g,"task":%d}}`, runMS, i)
	}
	b.WriteString("]}")
	return b.String()
}
