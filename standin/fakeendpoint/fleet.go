package fakeendpoint

import (
	"cmp"
	"slices"
	"sync"

	"github.com/go-faster/errors"
	"github.com/samber/lo"

	"lovagespread.example/logservice/platformapi"
)

// Fleet is a set of endpoints, each with its own listener, and of workers. It is
// safe for concurrent use.
type Fleet struct {
	Starts *Starts

	mu      sync.Mutex
	servers map[string]*Server
	workers []*Worker
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	return &Fleet{Starts: NewStarts(), servers: make(map[string]*Server)}
}

// AddWorker adds a worker.
func (f *Fleet) AddWorker(w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers = append(f.workers, w)
}

// Add starts an endpoint that listens on the given address, host:port. With port
// 0 the kernel chooses a port.
func (f *Fleet) Add(opts Options, address string) (*Server, error) {
	opts.Starts = f.Starts
	server, err := Listen(New(opts), address)
	if err != nil {
		return nil, errors.Wrapf(err, "endpoint %s", opts.Name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers[opts.Name] = server
	return server, nil
}

// Servers returns all endpoints, ordered by name.
func (f *Fleet) Servers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers := lo.Values(f.servers)
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.Name(), b.Name()) })
	return servers
}

// Select returns the endpoints that match a selector, ordered by name.
func (f *Fleet) Select(s Selector) []*Server {
	matching := lo.Filter(f.Servers(), func(e *Server, _ int) bool { return s.matches(e) })
	if s.Limit > 0 && len(matching) > s.Limit {
		return matching[:s.Limit]
	}
	return matching
}

// VMs returns the endpoints as VMs of the platform's list, without the crashed
// ones.
func (f *Fleet) VMs() []platformapi.VM {
	up := lo.Filter(f.Servers(), func(e *Server, _ int) bool { return !e.Crashed() })
	return lo.Map(up, func(e *Server, _ int) platformapi.VM { return e.VM(e.Address()) })
}

// Usages returns the usage report of each worker, with AsOf not set.
func (f *Fleet) Usages() []platformapi.Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.Map(f.workers, func(w *Worker, _ int) platformapi.Usage { return w.Usage() })
}

// Messages returns the numbers of messages that all endpoints received.
func (f *Fleet) Messages() Messages {
	return lo.Reduce(f.Servers(), func(sum Messages, e *Server, _ int) Messages {
		return sum.Add(e.Messages())
	}, Messages{})
}

// Close stops all endpoints.
func (f *Fleet) Close() {
	for _, server := range f.Servers() {
		server.Close()
	}
}

// Selector selects endpoints. An empty field matches all of them.
type Selector struct {
	Endpoint      string `json:"endpoint,omitempty" doc:"Name of one endpoint"`
	Service       string `json:"service,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Rack          string `json:"rack,omitempty"`
	Worker        string `json:"worker,omitempty"`
	Limit         int    `json:"limit,omitempty" minimum:"0" doc:"Maximum number of endpoints, taken in the order of their names; 0 means all"`
}

func (s Selector) matches(e *Server) bool {
	w := e.Worker()
	return matchesField(s.Endpoint, e.Name()) &&
		matchesField(s.Service, e.Service()) &&
		matchesField(s.FailureDomain, w.FailureDomain) &&
		matchesField(s.Rack, w.Rack) &&
		matchesField(s.Worker, w.Name)
}

func matchesField(wanted, actual string) bool { return wanted == "" || wanted == actual }
