package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/logservice/endpointapi"
	"lovagespread.example/standin/fakeendpoint"
)

// directLease is the lease of tasks that are sent without an entry.
const directLease = time.Minute

// maxIdleConnsPerEndpoint is the maximum number of idle connections to one
// endpoint.
const maxIdleConnsPerEndpoint = 64

// Direct is a Caller that sends the tasks of a job directly to the endpoints of
// their service, in round-robin order. It is the baseline for the overhead of
// an entry.
type Direct struct {
	run       string
	client    http.Client
	endpoints map[string][]string // addresses of each service
	next      atomic.Uint64
	jobCount  atomic.Uint64
}

// NewDirect returns a caller of the given endpoints. run is the prefix of its
// job IDs, which distinguishes runs at the endpoints.
func NewDirect(run string, endpoints []fakeendpoint.EndpointInfo) *Direct {
	d := &Direct{
		run:       run,
		client:    http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEndpoint}},
		endpoints: make(map[string][]string),
	}
	for _, e := range endpoints {
		d.endpoints[e.Service] = append(d.endpoints[e.Service], e.Address)
	}
	return d
}

// EndpointError reports a task for which an endpoint returned no result.
type EndpointError struct {
	Address string
	Status  int
	Body    string
}

func (e *EndpointError) Error() string {
	return fmt.Sprintf("endpoint %s: status %d: %s: lower the load or clear the faults", e.Address, e.Status, e.Body)
}

// Do runs all tasks of a job in parallel and returns its answer.
func (d *Direct) Do(ctx context.Context, job callerapi.Job) (callerapi.Answer, error) {
	id := fmt.Sprintf("%s-direct-%d", d.run, d.jobCount.Add(1))
	answer := callerapi.Answer{ID: id, Results: make([]json.RawMessage, len(job.Tasks))}
	failures := make(chan error, len(job.Tasks))
	for i, task := range job.Tasks {
		go func() { failures <- d.runTask(ctx, id, job.Service, i, task, &answer.Results[i]) }()
	}
	var first error
	for range job.Tasks {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return answer, first
}

func (d *Direct) runTask(ctx context.Context, job, service string, i int, task callerapi.Task, result *json.RawMessage) error {
	addresses := d.endpoints[service]
	if len(addresses) == 0 {
		return &NoServiceError{}
	}
	address := addresses[d.next.Add(1)%uint64(len(addresses))]
	body, err := json.Marshal(endpointapi.TaskRequest{
		TaskID:  fmt.Sprintf("%s/%d/1", job, i),
		Job:     job,
		Index:   i,
		Attempt: 1,
		Entry:   "direct",
		Service: service,
		LeaseMS: directLease.Milliseconds(),
		Payload: task.Payload,
	})
	if err != nil {
		return errors.Wrap(err, "encode the task")
	}
	response, err := d.post(ctx, address, body)
	*result = response.Result
	return err
}

func (d *Direct) post(ctx context.Context, address string, body []byte) (response endpointapi.TaskResponse, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/tasks", bytes.NewReader(body))
	if err != nil {
		return response, errors.Wrap(err, "invalid endpoint address")
	}
	res, err := d.client.Do(req)
	if err != nil {
		return response, errors.Wrap(err, "send the task")
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return response, errors.Wrap(err, "read the result")
	}
	if res.StatusCode != http.StatusOK {
		return response, &EndpointError{Address: address, Status: res.StatusCode, Body: string(text)}
	}
	if err := json.Unmarshal(text, &response); err != nil {
		return response, errors.Wrap(err, "decode the result")
	}
	return response, nil
}
