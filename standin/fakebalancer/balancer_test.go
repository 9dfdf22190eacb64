package fakebalancer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"lovagespread.example/standin/fakebalancer"
)

// entry is an entry that counts its requests. While breaks is set, it breaks the
// connection instead of responding.
type entry struct {
	*httptest.Server
	requests atomic.Int64
	ready    atomic.Bool
	breaks   atomic.Bool
}

func newEntry(t *testing.T) *entry {
	e := &entry{}
	e.ready.Store(true)
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	t.Cleanup(e.Close)
	return e
}

func (e *entry) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/readyz" {
		if !e.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	e.requests.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	if e.breaks.Load() {
		panic(http.ErrAbortHandler)
	}
}

func newBalancer(t *testing.T, entries ...*entry) (*fakebalancer.Balancer, string) {
	var addresses []string
	for _, e := range entries {
		addresses = append(addresses, e.Listener.Addr().String())
	}
	b := fakebalancer.New(fakebalancer.Options{Entries: addresses})
	b.Probe(t.Context())
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	return b, server.URL
}

func send(t *testing.T, method, url, body string) (int, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k") // lets an http.Transport retry the request
	req.GetBody = nil
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	return res.StatusCode, nil
}

func TestSendsRequestsOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "{}"} {
			t.Run(method+" "+body, func(t *testing.T) {
				e := newEntry(t)
				_, url := newBalancer(t, e)
				// The first request opens a connection that later ones can reuse.
				if status, err := send(t, method, url, body); status != http.StatusOK {
					t.Fatal(status, err)
				}
				e.breaks.Store(true)
				if status, err := send(t, method, url, body); status != http.StatusBadGateway {
					t.Errorf("status %d (%v), want 502", status, err)
				}
				if n := e.requests.Load(); n != 2 {
					t.Errorf("the entry received %d requests, want 2", n)
				}
			})
		}
	}
}

func TestSkipsUnreadyEntries(t *testing.T) {
	a, b := newEntry(t), newEntry(t)
	a.ready.Store(false)
	balancer, url := newBalancer(t, a, b)
	for range 4 {
		if status, err := send(t, http.MethodPut, url, "{}"); status != http.StatusOK {
			t.Fatal(status, err)
		}
	}
	if a.requests.Load() != 0 || b.requests.Load() != 4 {
		t.Errorf("requests %d and %d, want 0 and 4", a.requests.Load(), b.requests.Load())
	}
	b.ready.Store(false)
	balancer.Probe(t.Context())
	if status, _ := send(t, http.MethodPut, url, "{}"); status != http.StatusServiceUnavailable {
		t.Errorf("no entry ready: status %d, want 503", status)
	}
}

func TestFaults(t *testing.T) {
	tests := []struct {
		name     string
		faults   fakebalancer.FaultSettings
		requests int64
	}{
		{"break", fakebalancer.FaultSettings{BreakShare: 1}, 0},
		{"lose reply", fakebalancer.FaultSettings{LoseReplyShare: 1}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEntry(t)
			balancer, url := newBalancer(t, e)
			balancer.SetFaults(tt.faults)
			if status, err := send(t, http.MethodPut, url, "{}"); err == nil {
				t.Errorf("status %d, want a broken connection", status)
			}
			if n := e.requests.Load(); n != tt.requests {
				t.Errorf("the entry received %d requests, want %d", n, tt.requests)
			}
		})
	}
}
