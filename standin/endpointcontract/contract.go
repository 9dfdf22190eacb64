// Package endpointcontract holds the tests that every implementation of the
// endpoint protocol must pass; see package endpointapi.
//
// They run in virtual time over connections in memory, so an implementation
// must take its time from package time.
package endpointcontract

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/logservice/endpointapi"
	"lovagespread.example/standin/faultnet"
)

// EndpointUnderTest is an endpoint that executes the tasks of Service in Slots
// slots, with the hooks that the tests need.
type EndpointUnderTest struct {
	Service string
	Slots   int
	// Serve serves the protocol on l until l is closed.
	Serve func(l net.Listener)
	// Payload returns the payload of a task that runs for the given time.
	Payload func(run time.Duration) json.RawMessage
	// Leave makes the endpoint leave: it refuses new tasks from then on.
	Leave func()
	// Starts returns how often a task was started, summed over its attempts.
	Starts func(job string, index int) int
}

// Test runs all tests, each against a new endpoint.
func Test(t *testing.T, newEndpoint func() EndpointUnderTest) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCase(t, newEndpoint(), c.run) })
		})
	}
}

func runCase(t *testing.T, s EndpointUnderTest, run func(*harness)) {
	listener := faultnet.NewPipeListener()
	go s.Serve(listener)
	transport := &http.Transport{DialContext: listener.Dial}
	run(&harness{T: t, EndpointUnderTest: s, client: &http.Client{Transport: transport}})
	transport.CloseIdleConnections()
	_ = listener.Close()
	synctest.Wait()
}

// harness sends requests to the endpoint under test.
type harness struct {
	*testing.T
	EndpointUnderTest
	client *http.Client
}

// reply is the response to a task request. Its status tells which of the
// bodies is set.
type reply struct {
	status   int
	response endpointapi.TaskResponse
	refusal  endpointapi.Refusal
	failure  endpointapi.Failure
}

const (
	lease     = 10 * time.Second
	entryName = "entry-1"
)

func (h *harness) request(job string, index int, run time.Duration) endpointapi.TaskRequest {
	return endpointapi.TaskRequest{
		TaskID:  job + "/0/1",
		Job:     job,
		Index:   index,
		Attempt: 1,
		Entry:   entryName,
		Service: h.Service,
		LeaseMS: lease.Milliseconds(),
		Payload: h.Payload(run),
	}
}

func (h *harness) runTask(req endpointapi.TaskRequest) reply {
	h.Helper()
	status, body := h.post("/v1/tasks", req)
	r := reply{status: status}
	switch status {
	case http.StatusOK:
		h.decode(body, &r.response)
	case endpointapi.StatusRefused:
		h.decode(body, &r.refusal)
	case endpointapi.StatusFailed:
		h.decode(body, &r.failure)
	}
	return r
}

// startTask sends a request and returns once the endpoint has started or
// refused the task.
func (h *harness) startTask(req endpointapi.TaskRequest) <-chan reply {
	done := make(chan reply, 1)
	go func() { done <- h.runTask(req) }()
	synctest.Wait()
	return done
}

func (h *harness) post(path string, body any) (int, []byte) {
	h.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		h.Error(err)
		return 0, nil
	}
	res, err := h.client.Post("http://endpoint"+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		h.Errorf("POST %s: %v", path, err)
		return 0, nil
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		h.Errorf("POST %s: %v", path, err)
	}
	return res.StatusCode, data
}

func (h *harness) decode(body []byte, into any) {
	h.Helper()
	if err := json.Unmarshal(body, into); err != nil {
		h.Errorf("body %q: %v", body, err)
	}
}

func (h *harness) wantStarts(job string, want int) {
	h.Helper()
	if got := h.Starts(job, 0); got != want {
		h.Errorf("job %s was started %d times, want %d", job, got, want)
	}
}
