package endpointclient

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch"
	"lovagespread.example/entry/wire"
)

// Limits of the exchanges with an endpoint.
const (
	// MaxLease is the longest lease granted to an endpoint at once. Heartbeats
	// renew the lease of tasks that run longer.
	MaxLease = 10 * time.Second
	// MaxResultBytes is the maximum size of the body of a response.
	MaxResultBytes = 8 << 20
	maxHeaderBytes = 16 << 10
	// idleConnTimeout is short because a dead connection is detected only by a
	// task sent on it, while a new connection costs one round trip.
	idleConnTimeout = 2 * time.Second
	controlTimeout  = 2 * time.Second
	maxConnAttempts = 3
)

// DefaultConnections is the number of connections to one endpoint.
const DefaultConnections = 64

// Task is one attempt of a task, ready to be sent.
type Task struct {
	dispatch.Start
	Label   string // of the job, in task IDs and logs
	Payload []byte
	Needs   catalog.Resources
}

// Report passes on the outcome of an attempt. It may block briefly.
type Report func(service string, outcome dispatch.Input)

// Observer is notified of each exchange with an endpoint. Its methods must not
// block.
type Observer interface {
	Started(Task)
	Stopped(dispatch.Stop)
	Unanswered(t Task, sent bool, detail string)
	Message(kind string)
}

// Health is notified when an endpoint answers in a new state, and of each request
// that gets no response.
type Health interface {
	EndpointAnswered(name string, leaving bool)
	EndpointUnresponsive(name string)
}

// Options are the parameters of a Client.
type Options struct {
	Entry       string // incarnation, in the text form of job IDs
	Connections int    // to one endpoint; default DefaultConnections
	Dialer      wire.Dialer
	Report      Report
	Observer    Observer
	Health      Health
}

// Client sends tasks to endpoints. It is safe for concurrent use.
type Client struct {
	opts Options

	mu        sync.Mutex
	endpoints map[string]*endpoint // by address
	running   sync.WaitGroup
}

// endpoint is the client's state of one address.
type endpoint struct {
	name      string
	address   string
	transport *http.Transport
	leases    leases
	renewing  atomic.Bool   // a heartbeat is in flight
	health    atomic.Uint32 // last reported value; one of the constants below
}

// Values of endpoint.health.
const (
	healthUnknown uint32 = iota
	healthLive
	healthLeaving
	healthUnresponsive
)

// New returns a client without connections.
func New(opts Options) *Client {
	if opts.Connections == 0 {
		opts.Connections = DefaultConnections
	}
	return &Client{opts: opts, endpoints: make(map[string]*endpoint)}
}

// Start sends an attempt in a new goroutine and returns immediately. The slots
// of the endpoints limit the number of goroutines.
func (c *Client) Start(task Task) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		c.opts.Observer.Started(task)
		c.opts.Report(task.Service, c.run(task))
	}()
}

// Wait waits until no attempt or stop request is in flight.
func (c *Client) Wait() { c.running.Wait() }

func (c *Client) endpoint(name, address string) *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[address]
	if e == nil {
		e = &endpoint{name: name, address: address, transport: c.newTransport()}
		c.endpoints[address] = e
	}
	return e
}

// RetainOnly closes the connections to all other addresses that have no attempt
// in flight.
func (c *Client) RetainOnly(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, e := range c.endpoints {
		if addresses[address] || !e.leases.empty() {
			continue
		}
		e.transport.CloseIdleConnections()
		delete(c.endpoints, address)
	}
}

func (c *Client) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            c.opts.Dialer.Dial,
		MaxConnsPerHost:        c.opts.Connections,
		MaxIdleConnsPerHost:    c.opts.Connections,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// post sends one request, which the transport cannot send a second time.
func (e *endpoint) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+path, onceReader(body))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return e.transport.RoundTrip(req)
}
