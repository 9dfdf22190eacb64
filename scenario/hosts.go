package scenario

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"strconv"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/entry"
	"lovagespread.example/entry/settings"
	"lovagespread.example/logservice/platformapi"
	"lovagespread.example/scenario/fabric"
	"lovagespread.example/standin/fakeendpoint"
)

var discard = log.New(io.Discard, "", 0)

// region of every host.
const region = "pl-centrum"

// Ports of the listeners.
const (
	callerPort   = 7100
	peerPort     = 7200
	adminPort    = 7300
	endpointPort = 8000
)

// jobIDKey signs the job IDs of all entries, in hexadecimal.
const jobIDKey = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

// The one token of callers, operators and entries.
const (
	tokenName = "team"
	token     = "a-token-of-thirty-two-characters"
)

// otherJobIDKey signs the job IDs of an entry that was given another key.
const otherJobIDKey = "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100"

// endpointHost is one endpoint on a host of its own.
type endpointHost struct {
	*fakeendpoint.Endpoint
	address string
	domain  string
	crashed bool
}

func addEndpoint(w *world, a *args) string {
	name := a.word("the endpoint")
	domain := a.text("domain", "a")
	worker := &fakeendpoint.Worker{
		Name:          a.text("worker", "worker-"+name),
		Region:        region,
		FailureDomain: domain,
		Rack:          a.text("rack", "rack-"+domain),
		Capacity:      catalog.Resources{MilliCores: 64_000, MemoryMiB: 128 << 10},
	}
	e := &endpointHost{
		address: fmt.Sprintf("%s:%d", w.address(), endpointPort),
		domain:  domain,
		Endpoint: fakeendpoint.New(fakeendpoint.Options{
			Name:    name,
			Service: a.text("service", "booking"),
			Slots:   a.number("slots", 8),
			Worker:  worker,
			Starts:  w.starts,
		}),
	}
	w.endpoints[name] = e
	w.order = append(w.order, name)
	w.serve(name, e.address, e.Handler())
	w.listVMs()
	return ok("added")
}

// entryHost is one entry on a host of its own.
type entryHost struct {
	*entry.Entry
	name   string
	domain string
	ip     net.IP
	file   string // log file
	cancel context.CancelFunc
	done   chan struct{}
	err    error // of Run, once done is closed
}

func addEntry(w *world, a *args) string {
	name := a.word("the entry")
	e := &entryHost{
		name:   name,
		domain: a.text("domain", "a"),
		ip:     w.address(),
		file:   w.path(fmt.Sprintf("%s-%d.log", name, len(w.order))),
		done:   make(chan struct{}),
	}
	built, err := entry.New(e.settings(w, a), entry.WithNetwork(network{w.fabric.Host(name)}))
	if err != nil {
		w.t.Fatal(err)
	}
	e.Entry = built
	w.entries[name] = e
	w.order = append(w.order, name)
	w.listVMs()
	e.run()
	return ok("added")
}

func (e *entryHost) run() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		defer close(e.done)
		e.err = e.Run(ctx)
	}()
}

func (e *entryHost) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *entryHost) caller() string { return fmt.Sprintf("%s:%d", e.ip, callerPort) }

func (e *entryHost) vm() platformapi.VM {
	return platformapi.VM{
		Name:          e.name,
		Role:          platformapi.RoleEntry,
		Address:       fmt.Sprintf("%s:%d", e.ip, peerPort),
		State:         platformapi.VMLive,
		Region:        region,
		FailureDomain: e.domain,
	}
}

const settingsText = `
name = %q
region = %q
failure_domain = %q
[listen]
caller = "%[4]s:%[5]d"
peer = "%[4]s:%[6]d"
admin = "%[4]s:%[7]d"
[platform]
url = "http://%[8]s"
[peers]
addresses = [%[13]s]
[job_ids]
key_files = [%[9]q]
lifetime = %[10]q
[tokens]
callers_file = %[12]q
operators_file = %[12]q
peers_file = %[12]q
[log]
file = %[11]q
`

func (w *world) file(name, text string) string {
	path := w.path(name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// peerAddresses returns the peer listeners of the entries that peers= names.
func (w *world) peerAddresses(a *args) string {
	names := a.text("peers", "")
	if names == "" {
		return ""
	}
	return strconv.Quote(w.entry(a, names).vm().Address)
}

func (e *entryHost) settings(w *world, a *args) settings.Settings {
	key := w.file("key", jobIDKey)
	if a.text("key", "shared") == "other" {
		key = w.file("other-key", otherJobIDKey)
	}
	tokens := w.file("tokens", tokenName+" "+token)
	text := fmt.Sprintf(settingsText, e.name, region, e.domain, e.ip, callerPort, peerPort, adminPort,
		platformAddress, key, a.text("lifetime", "15m"), e.file, tokens, w.peerAddresses(a))
	s, err := settings.Parse(e.name, []byte(text))
	if err != nil {
		w.t.Fatal(err)
	}
	return s
}

// network is a host of the fabric as an entry sees it.
type network struct{ host *fabric.Host }

// Listen opens a listener.
func (n network) Listen(address string) (net.Listener, error) { return n.host.Listen(address) }

// Dial opens a connection.
func (n network) Dial(ctx context.Context, net, address string) (net.Conn, error) {
	return n.host.Dial(ctx, net, address)
}

// stopLimit is how long a planned stop may take.
const stopLimit = time.Minute
