package load

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/client"
	"lovagespread.example/client/callerapi"
)

const (
	idsPerRequest = 16
	maxIdleConns  = 1024
)

// ClientCaller is a Caller that uses package client, with its own connections
// and job IDs. It is safe for concurrent use.
type ClientCaller struct {
	client   *client.Client
	requests *countingTransport
	jobs     atomic.Int64
}

// NewClientCaller returns a caller of the entry or balancer at host:port. It
// stops asking for an answer when it has received no reply about the job for
// timeout.
func NewClientCaller(address string, timeout time.Duration) *ClientCaller {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	requests := &countingTransport{next: transport}
	return &ClientCaller{
		requests: requests,
		client: client.New(client.Options{
			URL:         "http://" + address,
			HTTPClient:  &http.Client{Transport: requests},
			IDBatchSize: idsPerRequest,
			GiveUpAfter: timeout,
		}),
	}
}

// Do submits a job and waits for its end. The error is a *callerapi.Problem,
// with Execution unknown if it is not known whether the job was run.
func (c *ClientCaller) Do(ctx context.Context, job callerapi.Job) (callerapi.Answer, error) {
	c.jobs.Add(1)
	answer, err := c.client.Do(ctx, job)
	if err != nil {
		return callerapi.Answer{}, asProblem(err)
	}
	return *answer, nil
}

// Repeats returns the number of requests about jobs beyond one per job.
func (c *ClientCaller) Repeats() int64 {
	return max(0, c.requests.aboutJobs.Load()-c.jobs.Load())
}

// Codes of failures for which the client returns no problem.
const (
	codeOutcomeUnknown callerapi.Code = "outcome_unknown"
	codeNotSubmitted   callerapi.Code = "not_submitted"
)

// asProblem converts the typed errors of the client to problems.
func asProblem(err error) error {
	if unknown, ok := errors.Into[*client.OutcomeUnknownError](err); ok {
		code := codeOutcomeUnknown
		if cause, ok := errors.Into[*callerapi.Problem](unknown.Cause); ok {
			code = cause.Code
		}
		return &callerapi.Problem{Code: code, Execution: callerapi.Unknown, Detail: err.Error()}
	}
	if _, ok := errors.Into[*client.NotSubmittedError](err); ok {
		return &callerapi.Problem{Code: codeNotSubmitted, Execution: callerapi.NotRun, Detail: err.Error()}
	}
	return err
}

// countingTransport counts the requests about jobs.
type countingTransport struct {
	next      http.RoundTripper
	aboutJobs atomic.Int64
}

// RoundTrip counts and forwards a request.
func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if strings.HasPrefix(r.URL.Path, "/v1/jobs/") {
		t.aboutJobs.Add(1)
	}
	return t.next.RoundTrip(r)
}
