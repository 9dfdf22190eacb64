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

// region is the region of every host.
const region = "pl-centrum"

// Ports of the listeners.
const (
	callerPort   = 7100
	peerPort     = 7200
	adminPort    = 7300
	endpointPort = 8000
)

// jobIDKey is the hexadecimal key with which entries sign job IDs.
const jobIDKey = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

// Callers, operators and entries share one token.
const (
	tokenName = "team"
	token     = "a-token-of-thirty-two-characters"
)

// otherJobIDKey is the key of an entry with key=other.
const otherJobIDKey = "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100"

// endpointHost is an endpoint with its own host.
type endpointHost struct {
	*fakeendpoint.Endpoint
	address string
	domain  string
	crashed bool
}

func addEndpoint(env *environment, a *args) string {
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
		address: fmt.Sprintf("%s:%d", env.newAddress(), endpointPort),
		domain:  domain,
		Endpoint: fakeendpoint.New(fakeendpoint.Options{
			Name:    name,
			Service: a.text("service", "booking"),
			Slots:   a.number("slots", 8),
			Worker:  worker,
			Starts:  env.starts,
		}),
	}
	env.endpoints[name] = e
	env.hosts = append(env.hosts, name)
	env.serve(name, e.address, e.Handler())
	env.updateVMList()
	return outputf("added")
}

// entryHost is an entry with its own host.
type entryHost struct {
	*entry.Entry
	name    string
	domain  string
	ip      net.IP
	logFile string
	cancel  context.CancelFunc
	done    chan struct{}
	err     error // returned by Run; valid once done is closed
}

func addEntry(env *environment, a *args) string {
	name := a.word("the entry")
	e := &entryHost{
		name:    name,
		domain:  a.text("domain", "a"),
		ip:      env.newAddress(),
		logFile: env.path(fmt.Sprintf("%s-%d.log", name, len(env.hosts))),
		done:    make(chan struct{}),
	}
	created, err := entry.New(e.settings(env, a), entry.WithNetwork(network{env.fabric.Host(name)}))
	if err != nil {
		env.t.Fatal(err)
	}
	e.Entry = created
	env.entries[name] = e
	env.hosts = append(env.hosts, name)
	env.updateVMList()
	e.start()
	return outputf("added")
}

func (e *entryHost) start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		defer close(e.done)
		e.err = e.Run(ctx)
	}()
}

func (e *entryHost) stopped() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *entryHost) callerAddress() string { return fmt.Sprintf("%s:%d", e.ip, callerPort) }

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

func (env *environment) writeFile(name, text string) string {
	path := env.path(name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		env.t.Fatal(err)
	}
	return path
}

// peerAddresses returns the quoted address of the peer listener of the entry
// that peers= names, or "" without peers=.
func (env *environment) peerAddresses(a *args) string {
	name := a.text("peers", "")
	if name == "" {
		return ""
	}
	return strconv.Quote(env.entry(a, name).vm().Address)
}

func (e *entryHost) settings(env *environment, a *args) settings.Settings {
	key := env.writeFile("key", jobIDKey)
	if a.text("key", "shared") == "other" {
		key = env.writeFile("other-key", otherJobIDKey)
	}
	tokens := env.writeFile("tokens", tokenName+" "+token)
	text := fmt.Sprintf(settingsText, e.name, region, e.domain, e.ip, callerPort, peerPort, adminPort,
		platformAddress, key, a.text("lifetime", "15m"), e.logFile, tokens, env.peerAddresses(a))
	s, err := settings.Parse(e.name, []byte(text))
	if err != nil {
		env.t.Fatal(err)
	}
	return s
}

// network adapts a host of the fabric to the network interface of an entry.
type network struct{ host *fabric.Host }

// Listen opens a listener on the host.
func (n network) Listen(address string) (net.Listener, error) { return n.host.Listen(address) }

// Dial opens a connection from the host.
func (n network) Dial(ctx context.Context, net, address string) (net.Conn, error) {
	return n.host.Dial(ctx, net, address)
}

// stopTimeout is the maximum time of a planned stop.
const stopTimeout = time.Minute
