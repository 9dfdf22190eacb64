package scenario

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
	"lovagespread.example/scenario/fabric"
	"lovagespread.example/standin/fakeendpoint"
	"lovagespread.example/standin/fakeplatform"
)

// Names and addresses of the hosts that are always there.
const (
	callerHost      = "caller"
	platformHost    = "platform"
	platformAddress = "10.0.0.1:7000"
)

// networkDelay is one way between any two hosts.
const networkDelay = 500 * time.Microsecond

// world is all that one scenario has built.
type world struct {
	t          *testing.T
	dir        string
	fabric     *fabric.Fabric
	platform   *fakeplatform.Platform
	starts     *fakeendpoint.Starts
	services   *catalog.Catalog // latest published
	changes    int              // published so far
	idempotent map[string]bool  // by service
	endpoints  map[string]*endpointHost
	entries    map[string]*entryHost
	crashed    []*entryHost
	order      []string // names of entries and endpoints as they were added
	jobs       map[string]*job
	caller     *http.Client
	servers    []*http.Server
}

func newWorld(t *testing.T, dir string) *world {
	w := &world{
		t:          t,
		dir:        dir,
		fabric:     fabric.New(networkDelay),
		platform:   fakeplatform.New(fakeplatform.Options{}),
		starts:     fakeendpoint.NewStarts(),
		idempotent: make(map[string]bool),
		endpoints:  make(map[string]*endpointHost),
		entries:    make(map[string]*entryHost),
		jobs:       make(map[string]*job),
	}
	w.caller = &http.Client{Transport: w.transport(callerHost)}
	w.serve(platformHost, platformAddress, w.platform.Handler())
	return w
}

// transport returns an HTTP transport that sends from a host and keeps no
// connection.
func (w *world) transport(host string) *http.Transport {
	return &http.Transport{DialContext: w.fabric.Host(host).Dial, DisableKeepAlives: true}
}

func (w *world) serve(host, address string, handler http.Handler) {
	l, err := w.fabric.Host(host).Listen(address)
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ErrorLog: discard}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(l) }()
}

// listVMs tells the platform which VMs there are.
func (w *world) listVMs() {
	var vms []platformapi.VM
	for _, name := range w.order {
		if e := w.endpoints[name]; e != nil && !e.crashed {
			vms = append(vms, e.VM(e.address))
		}
		if e := w.entries[name]; e != nil && !e.ended() {
			vms = append(vms, e.vm())
		}
	}
	w.platform.SetVMs(vms)
}

// platformClient returns a client of the platform as the caller's host sees
// it.
func (w *world) platformClient() *logservice.Client {
	c, err := logservice.NewClient(logservice.Options{
		URL:        "http://" + platformAddress,
		HTTPClient: &http.Client{Transport: w.transport(callerHost)},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	return c
}

// close ends everything, so that no goroutine outlives the scenario.
func (w *world) close() {
	for _, e := range w.entries {
		w.fabric.Thaw(e.name)
		w.fabric.Remove(e.name)
		e.cancel()
	}
	w.fabric.Remove(callerHost)
	for _, e := range w.endpoints {
		e.SetFaults(fakeendpoint.Faults{})
		e.AbortTasks()
		w.fabric.Remove(e.Name())
	}
	w.fabric.Remove(platformHost)
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, e := range w.entries {
		<-e.done
	}
	for _, e := range w.crashed {
		<-e.done
	}
	time.Sleep(longestHandler)
	synctest.Wait()
}

// longestHandler is how long a slow stand-in may hold a request whose sender
// has gone.
const longestHandler = time.Minute

func (w *world) path(name string) string { return filepath.Join(w.dir, name) }

// address returns a fresh IP number for a new host.
func (w *world) address() net.IP { return net.IPv4(10, 0, 1, byte(1+len(w.order))) }

func (w *world) known(a *args, host string) string {
	if !slices.Contains(w.order, host) && host != platformHost && host != callerHost {
		a.fail("there is no %s", host)
	}
	return host
}

func (w *world) context(limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), limit)
}

func settle() { synctest.Wait() }

func ok(format string, values ...any) string { return fmt.Sprintf(format, values...) }
