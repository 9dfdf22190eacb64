package fakeplatform

import (
	"net/http"
	"sync"
	"time"

	"lovagespread.example/logservice/platformapi"
)

// Defaults of Options.
const (
	DefaultRetainRecords    = 100_000
	DefaultRetainFor        = time.Hour
	DefaultAppendDelay      = 4 * time.Millisecond
	DefaultAppendsPerSecond = 400
	DefaultListLag          = 2 * time.Second
)

// None disables a limit or a delay of Options.
const None = -1

// Options are the parameters of a Platform. A zero value means the default, and
// None disables a limit or a delay.
type Options struct {
	RetainRecords    int           // records that each stream keeps
	RetainFor        time.Duration // age up to which records are kept
	AppendDelay      time.Duration // duration of one synced append
	AppendsPerSecond int           // limit of append requests, for all streams together
	ListLag          time.Duration // age of the VM list and of the usage reports
	Token            string        // bearer token that requests must carry; empty: none
}

func (o Options) withDefaults() Options {
	o.RetainRecords = orDefault(o.RetainRecords, DefaultRetainRecords)
	o.RetainFor = orDefault(o.RetainFor, DefaultRetainFor)
	o.AppendDelay = orDefault(o.AppendDelay, DefaultAppendDelay)
	o.AppendsPerSecond = orDefault(o.AppendsPerSecond, DefaultAppendsPerSecond)
	o.ListLag = orDefault(o.ListLag, DefaultListLag)
	return o
}

func orDefault[T int | time.Duration](value, fallback T) T {
	switch {
	case value == 0:
		return fallback
	case value < 0:
		return 0
	}
	return value
}

// Platform is a stand-in platform. It is safe for concurrent use.
type Platform struct {
	opts Options

	mu      sync.Mutex
	streams map[string]*stream
	rate    tokenBucket
	vms     history[[]platformapi.VM]
	usage   history[[]platformapi.Usage]
	faults  Faults
	appends int
}

// New returns a platform with empty streams and lists.
func New(opts Options) *Platform {
	opts = opts.withDefaults()
	return &Platform{
		opts:    opts,
		streams: make(map[string]*stream),
		rate:    newBucket(opts.AppendsPerSecond),
	}
}

// SetVMs replaces the list of VMs. Readers get it after ListLag.
func (p *Platform) SetVMs(vms []platformapi.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.set(time.Now(), vms)
}

// SetUsage replaces the usage reports. Readers get them after ListLag.
func (p *Platform) SetUsage(usage []platformapi.Usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage.set(time.Now(), usage)
}

// Appends returns the number of append requests that took effect.
func (p *Platform) Appends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

// Records returns the retained records of a stream.
func (p *Platform) Records(name string) []platformapi.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	s.expire(time.Now(), p.opts)
	return s.read(s.oldest, len(s.records))
}

// Trim deletes the records of a stream before an offset.
func (p *Platform) Trim(name string, before int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stream(name).trim(before)
}

func (p *Platform) stream(name string) *stream {
	s := p.streams[name]
	if s == nil {
		s = newStream()
		p.streams[name] = s
	}
	return s
}

// Handler returns a handler that serves the API of the platform and the fault
// switches.
func (p *Platform) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("POST /v1/log/{stream}", p.serveAppend)
	api.HandleFunc("GET /v1/log/{stream}", p.serveRead)
	api.HandleFunc("GET /v1/vms", p.serveVMs)
	api.HandleFunc("GET /v1/usage", p.serveUsage)

	mux := http.NewServeMux()
	mux.Handle("/v1/", p.authorize(p.applyFaults(api)))
	mux.HandleFunc("GET /faults", p.serveFaults)
	mux.HandleFunc("PUT /faults", p.serveSetFaults)
	return mux
}
