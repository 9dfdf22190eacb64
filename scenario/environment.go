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

// Names and addresses of the hosts that exist in every scenario.
const (
	callerHost      = "caller"
	platformHost    = "platform"
	platformAddress = "10.0.0.1:7000"
)

// networkDelay is the one-way delay between any two hosts.
const networkDelay = 500 * time.Microsecond

// environment holds everything that one scenario has created.
type environment struct {
	t           *testing.T
	dir         string
	fabric      *fabric.Fabric
	platform    *fakeplatform.Platform
	starts      *fakeendpoint.Starts
	services    *catalog.Catalog // last published
	changeCount int              // changes published so far
	idempotent  map[string]bool  // by service
	endpoints   map[string]*endpointHost
	entries     map[string]*entryHost
	crashed     []*entryHost
	hosts       []string // names of entries and endpoints in the order of their addition
	jobs        map[string]*job
	caller      *http.Client
	servers     []*http.Server
}

func newEnvironment(t *testing.T, dir string) *environment {
	env := &environment{
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
	env.caller = &http.Client{Transport: env.transport(callerHost)}
	env.serve(platformHost, platformAddress, env.platform.Handler())
	return env
}

// transport returns an HTTP transport that sends from the given host and keeps
// no idle connections.
func (env *environment) transport(host string) *http.Transport {
	return &http.Transport{DialContext: env.fabric.Host(host).Dial, DisableKeepAlives: true}
}

func (env *environment) serve(host, address string, handler http.Handler) {
	l, err := env.fabric.Host(host).Listen(address)
	if err != nil {
		env.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ErrorLog: discard}
	env.servers = append(env.servers, server)
	go func() { _ = server.Serve(l) }()
}

// updateVMList sets the platform's list of VMs to the hosts that run.
func (env *environment) updateVMList() {
	var vms []platformapi.VM
	for _, name := range env.hosts {
		if e := env.endpoints[name]; e != nil && !e.crashed {
			vms = append(vms, e.VM(e.address))
		}
		if e := env.entries[name]; e != nil && !e.stopped() {
			vms = append(vms, e.vm())
		}
	}
	env.platform.SetVMs(vms)
}

// platformClient returns a client of the platform on the caller's host.
func (env *environment) platformClient() *logservice.Client {
	c, err := logservice.NewClient(logservice.Options{
		URL:        "http://" + platformAddress,
		HTTPClient: &http.Client{Transport: env.transport(callerHost)},
	})
	if err != nil {
		env.t.Fatal(err)
	}
	return c
}

// close stops all hosts and servers, so that no goroutine outlives the
// scenario.
func (env *environment) close() {
	for _, e := range env.entries {
		env.fabric.Thaw(e.name)
		env.fabric.Remove(e.name)
		e.cancel()
	}
	env.fabric.Remove(callerHost)
	for _, e := range env.endpoints {
		e.SetFaults(fakeendpoint.Faults{})
		e.AbortTasks()
		env.fabric.Remove(e.Name())
	}
	env.fabric.Remove(platformHost)
	for _, s := range env.servers {
		_ = s.Close()
	}
	for _, e := range env.entries {
		<-e.done
	}
	for _, e := range env.crashed {
		<-e.done
	}
	time.Sleep(maxHandlerTime)
	synctest.Wait()
}

// maxHandlerTime is how long the handler of a slow stand-in may run after the
// sender of its request has disconnected.
const maxHandlerTime = time.Minute

func (env *environment) path(name string) string { return filepath.Join(env.dir, name) }

// newAddress returns an unused IP address for a new host.
func (env *environment) newAddress() net.IP { return net.IPv4(10, 0, 1, byte(1+len(env.hosts))) }

func (env *environment) checkHost(a *args, host string) string {
	if !slices.Contains(env.hosts, host) && host != platformHost && host != callerHost {
		a.fail("unknown host %s", host)
	}
	return host
}

func (env *environment) contextWithTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}

func waitIdle() { synctest.Wait() }

func outputf(format string, values ...any) string { return fmt.Sprintf(format, values...) }
