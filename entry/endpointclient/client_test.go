package endpointclient

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/entry/wire"
	"lovagespread.example/logservice/endpointapi"
)

// nopObserver implements Observer and Health and does nothing.
type nopObserver struct{}

func (nopObserver) Started(Task)                  {}
func (nopObserver) Stopped(dispatch.Stop)         {}
func (nopObserver) Unanswered(Task, bool, string) {}
func (nopObserver) Message(string)                {}
func (nopObserver) EndpointAnswered(string, bool) {}
func (nopObserver) EndpointUnresponsive(string)   {}

func newClient(report Report) *Client {
	return New(Options{
		Entry: "entry", Dialer: wire.Dialer{Network: wire.TCP{}}, Connections: 1,
		Report: report, Observer: nopObserver{}, Health: nopObserver{},
	})
}

// attempt sends a task and returns its outcome.
func attempt(c *Client, task Task) dispatch.Input { return c.run(task) }

func taskAt(address string, index int, lease time.Duration) Task {
	return Task{Start: dispatch.Start{
		Task:     dispatch.TaskRef{Job: jobid.ID{Owner: 1, Sequence: 1}, Index: index},
		Service:  "booking",
		Attempt:  1,
		Endpoint: "e1",
		Address:  address,
		LeaseEnd: time.Now().Add(lease),
	}}
}

// breakingServer is an endpoint that runs the first task on each connection and
// closes the connection after it has read the second task.
type breakingServer struct {
	starts atomic.Int64
	mu     sync.Mutex
	seen   map[string]int // requests by remote address
}

func (b *breakingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.starts.Add(1)
	b.mu.Lock()
	b.seen[r.RemoteAddr]++
	second := b.seen[r.RemoteAddr] > 1
	b.mu.Unlock()
	if second {
		panic(http.ErrAbortHandler)
	}
	var task endpointapi.TaskRequest
	_ = json.Unmarshal(body, &task)
	_ = json.NewEncoder(w).Encode(endpointapi.TaskResponse{TaskID: task.TaskID, Result: []byte("1")})
}

func serveBreaking(t *testing.T) (*breakingServer, string) {
	t.Helper()
	b := &breakingServer{seen: make(map[string]int)}
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	return b, server.Listener.Addr().String()
}

func TestBrokenReusedConnectionCausesNoSecondStart(t *testing.T) {
	endpoint, address := serveBreaking(t)
	c := newClient(nil)
	if _, ok := attempt(c, taskAt(address, 0, 10*time.Second)).(*dispatch.Done); !ok {
		t.Fatal("the first task was not done")
	}
	outcome, ok := attempt(c, taskAt(address, 1, 10*time.Second)).(*dispatch.Lost)
	if !ok || outcome.NotSent {
		t.Errorf("outcome %+v of a task that reached the endpoint", outcome)
	}
	if starts := endpoint.starts.Load(); starts != 2 {
		t.Errorf("%d starts of 2 tasks", starts)
	}
}

// Shows the behavior that the client avoids: net/http retries a request on its
// own if the request has an Idempotency-Key and its body can be rewound.
func TestNetHTTPRetriesOnItsOwn(t *testing.T) {
	endpoint, address := serveBreaking(t)
	naive := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		req, err := http.NewRequest(http.MethodPost, "http://"+address, bytes.NewReader([]byte("{}")))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", "k")
		resp, err := naive.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if starts := endpoint.starts.Load(); starts != 3 {
		t.Errorf("%d starts of 2 requests, want 3 because net/http retries one", starts)
	}
}

// refusingAddress is an address at which connections are refused. The kernel never
// chooses its port for a listener or a connection.
const refusingAddress = "127.0.0.1:1"

func TestRefusedConnectionProvesThatNothingWasSent(t *testing.T) {
	outcome, ok := attempt(newClient(nil), taskAt(refusingAddress, 0, 10*time.Second)).(*dispatch.Lost)
	if !ok || !outcome.NotSent {
		t.Errorf("outcome %+v", outcome)
	}
}

func TestTaskWithExpiredLeaseIsNotSent(t *testing.T) {
	endpoint, address := serveBreaking(t)
	outcome, ok := attempt(newClient(nil), taskAt(address, 0, -time.Second)).(*dispatch.Lost)
	if !ok || !outcome.NotSent {
		t.Errorf("outcome %+v", outcome)
	}
	if starts := endpoint.starts.Load(); starts != 0 {
		t.Errorf("%d starts", starts)
	}
}

func TestUnresponsiveConnectionIsLostAtLeaseEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var open atomic.Int64
	closed := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		open.Add(1)
		_, _ = io.Copy(io.Discard, c) // never answers
		close(closed)
	}()
	outcome, ok := attempt(newClient(nil), taskAt(l.Addr().String(), 0, 200*time.Millisecond)).(*dispatch.Lost)
	if !ok || outcome.NotSent || open.Load() != 1 {
		t.Errorf("outcome %+v on %d connections", outcome, open.Load())
	}
	<-closed // the client closes the unresponsive connection
}

func TestOutcomesOfReplies(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		check  func(dispatch.Input) bool
	}{
		{"result", 200, `{"task_id":"ID","result":7,"run_ms":2}`, func(in dispatch.Input) bool {
			d, ok := in.(*dispatch.Done)
			return ok && string(d.Result) == "7" && d.RunTime == 2*time.Millisecond
		}},
		{"result of another task", 200, `{"task_id":"other","result":7}`, lostAfterWrite},
		{"not JSON", 200, `<html>`, lostAfterWrite},
		{"typed refusal", 429, `{"task_id":"ID","not_started":true,"code":"leaving"}`, func(in dispatch.Input) bool {
			r, ok := in.(*dispatch.Refused)
			return ok && r.Reason == dispatch.RefusedDraining
		}},
		{"refusal that proves nothing", 429, `{"task_id":"ID","code":"full"}`, lostAfterWrite},
		{"failure", 500, `{"task_id":"ID","detail":"no"}`, func(in dispatch.Input) bool {
			f, ok := in.(*dispatch.Failed)
			return ok && f.Detail == "no"
		}},
		{"bare error", 500, `oops`, lostAfterWrite},
		{"unknown status", 503, `{}`, lostAfterWrite},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var task endpointapi.TaskRequest
			_ = json.NewDecoder(r.Body).Decode(&task)
			w.WriteHeader(c.status)
			_, _ = w.Write(bytes.ReplaceAll([]byte(c.body), []byte("ID"), []byte(task.TaskID)))
		}))
		got := attempt(newClient(nil), taskAt(server.Listener.Addr().String(), 0, 10*time.Second))
		if !c.check(got) {
			t.Errorf("%s: outcome %+v", c.name, got)
		}
		server.Close()
	}
}

func lostAfterWrite(in dispatch.Input) bool {
	l, ok := in.(*dispatch.Lost)
	return ok && !l.NotSent
}
