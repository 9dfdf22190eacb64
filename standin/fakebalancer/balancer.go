// Package fakebalancer implements a stand-in for the load balancer that the
// platform runs in front of the entries.
//
// It forwards each request to one of the ready entries, round robin, and never
// retries a request. If the entry does not respond, the caller gets status 502.
package fakebalancer

import (
	"context"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

// Options describe a balancer.
type Options struct {
	Entries       []string      // host:port of each entry's caller listener
	ProbeInterval time.Duration // default 250ms
}

// Defaults and limits.
const (
	DefaultProbeInterval = 250 * time.Millisecond

	probeTimeout         = time.Second
	idleTimeout          = 30 * time.Second
	dialTimeout          = time.Second
	maxIdleConnsPerEntry = 1024
	maxProbeBodySize     = 1 << 10
)

// Balancer is an http.Handler. It is safe for concurrent use.
type Balancer struct {
	opts   Options
	client http.Client // for probes
	proxy  httputil.ReverseProxy
	ready  atomic.Pointer[[]string]
	next   atomic.Uint64
	faults atomic.Pointer[faults]
}

// New returns a balancer that considers no entry ready until Run or Probe has
// probed the entries.
func New(opts Options) *Balancer {
	if opts.ProbeInterval == 0 {
		opts.ProbeInterval = DefaultProbeInterval
	}
	b := &Balancer{opts: opts, client: http.Client{Timeout: probeTimeout}}
	b.ready.Store(&[]string{})
	b.SetFaults(FaultSettings{})
	b.proxy = httputil.ReverseProxy{
		Rewrite:      rewrite,
		Transport:    newNoRetryTransport(),
		ErrorHandler: badGateway,
		ErrorLog:     log.New(io.Discard, "", 0),
	}
	return b
}

// Run probes the entries until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(b.opts.ProbeInterval)
	defer ticker.Stop()
	for {
		b.Probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Probe asks each entry whether it is ready and returns the ready ones. Requests
// go to these entries until the next call.
func (b *Balancer) Probe(ctx context.Context) []string {
	results := make([]chan bool, len(b.opts.Entries))
	for i, entry := range b.opts.Entries {
		results[i] = make(chan bool, 1)
		go func() { results[i] <- b.probe(ctx, entry) }()
	}
	ready := []string{}
	for i, entry := range b.opts.Entries {
		if <-results[i] {
			ready = append(ready, entry)
		}
	}
	b.ready.Store(&ready)
	return ready
}

func (b *Balancer) probe(ctx context.Context, entry string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, _ = io.CopyN(io.Discard, res.Body, maxProbeBodySize)
	return res.StatusCode == http.StatusOK
}

type entryKey struct{}

// ServeHTTP forwards a request to the next ready entry.
func (b *Balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ready := *b.ready.Load()
	if len(ready) == 0 {
		http.Error(w, "no entry is ready: retry later", http.StatusServiceUnavailable)
		return
	}
	entry := ready[b.next.Add(1)%uint64(len(ready))]
	fault := b.faults.Load().draw()
	if fault == breakBefore {
		panic(http.ErrAbortHandler)
	}
	ctx := context.WithValue(r.Context(), entryKey{}, entry)
	if fault == loseReply {
		b.proxy.ServeHTTP(discardWriter{header: http.Header{}}, r.WithContext(ctx))
		panic(http.ErrAbortHandler)
	}
	b.proxy.ServeHTTP(w, r.WithContext(ctx))
}

func rewrite(r *httputil.ProxyRequest) {
	entry, _ := r.In.Context().Value(entryKey{}).(string)
	r.SetURL(&url.URL{Scheme: "http", Host: entry})
	r.SetXForwarded()
}

func badGateway(w http.ResponseWriter, _ *http.Request, err error) {
	http.Error(w, "the entry did not respond: "+err.Error(), http.StatusBadGateway)
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header       { return d.header }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}
