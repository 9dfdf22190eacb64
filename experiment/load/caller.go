package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/client/callerapi"
)

const (
	idsPerRequest = 100
	idMargin      = 30 * time.Second // an ID is used only this long before it expires
	submitWait    = "30s"
	reaskPause    = 100 * time.Millisecond
	idleToEntry   = 1024
)

// HTTPCaller is a Caller that speaks the caller API. It asks again under the
// same job ID when an answer is lost. It is safe for concurrent use.
type HTTPCaller struct {
	base    string
	client  http.Client
	repeats atomic.Int64

	mu      sync.Mutex
	ids     []string
	expires time.Time
}

// NewHTTPCaller returns a caller of the entry or balancer at host:port.
func NewHTTPCaller(address string) *HTTPCaller {
	transport := &http.Transport{MaxIdleConnsPerHost: idleToEntry, DisableCompression: true}
	return &HTTPCaller{base: "http://" + address, client: http.Client{Transport: transport}}
}

// Repeats returns the number of requests that were sent again.
func (c *HTTPCaller) Repeats() int64 { return c.repeats.Load() }

// Do submits a job and waits for its end.
func (c *HTTPCaller) Do(ctx context.Context, job callerapi.Job) (callerapi.Answer, error) {
	id, err := c.takeID(ctx)
	if err != nil {
		return callerapi.Answer{}, notSubmitted(err)
	}
	body, err := json.Marshal(job)
	if err != nil {
		return callerapi.Answer{}, errors.Wrap(err, "encode the job")
	}
	path := "/v1/jobs/" + id + "?wait=" + submitWait
	method := http.MethodPut
	for {
		answer, err := c.once(ctx, method, path, body)
		if err == nil || !retryable(err) {
			return answer, err
		}
		if !pause(ctx, reaskPause) {
			return answer, err
		}
		c.repeats.Add(1)
		method = http.MethodPut // the same ID never starts a job twice
	}
}

// notSubmitted makes an error of obtaining an ID say that nothing was run.
func notSubmitted(err error) error {
	return &callerapi.Problem{Code: codeNone, Execution: callerapi.NotRun, Detail: err.Error()}
}

// noAnswerError reports that a request got no answer of the caller API.
type noAnswerError struct{ cause error }

func (e *noAnswerError) Error() string { return "no answer, ask again: " + e.cause.Error() }
func (e *noAnswerError) Unwrap() error { return e.cause }

func retryable(err error) bool {
	_, lost := errors.Into[*noAnswerError](err)
	problem, ok := errors.Into[*callerapi.Problem](err)
	return lost || ok && (problem.Code == callerapi.CodeOwnerUnreachable)
}

func (c *HTTPCaller) once(ctx context.Context, method, path string, body []byte) (answer callerapi.Answer, err error) {
	status, raw, err := c.send(ctx, method, path, body)
	if err != nil {
		return answer, &noAnswerError{cause: err}
	}
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(raw, &answer); err != nil {
			return answer, &noAnswerError{cause: err}
		}
		return answer, nil
	case http.StatusAccepted:
		return answer, &noAnswerError{cause: errors.New("still running")}
	}
	return answer, problemOf(raw)
}

func problemOf(raw []byte) error {
	problem := &callerapi.Problem{}
	if json.Unmarshal(raw, problem) != nil || problem.Code == "" {
		return &noAnswerError{cause: errors.Errorf("not a problem of the caller API: %.100q", raw)}
	}
	return problem
}

func (c *HTTPCaller) send(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.GetBody = nil // no implicit resend
	req.Header.Set("Content-Type", "application/json")
	res, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	return res.StatusCode, raw, err
}

func (c *HTTPCaller) takeID(ctx context.Context) (string, error) {
	for {
		if id := c.cachedID(); id != "" {
			return id, nil
		}
		err := c.fetchIDs(ctx)
		if err != nil && !pause(ctx, reaskPause) {
			return "", err
		}
	}
}

func (c *HTTPCaller) cachedID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ids) == 0 || time.Until(c.expires) < idMargin {
		return ""
	}
	id := c.ids[0]
	c.ids = c.ids[1:]
	return id
}

func (c *HTTPCaller) fetchIDs(ctx context.Context) error {
	body, err := json.Marshal(callerapi.IDsRequest{Count: idsPerRequest})
	if err != nil {
		return err
	}
	status, raw, err := c.send(ctx, http.MethodPost, "/v1/job-ids", body)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		return problemOf(raw)
	}
	var ids callerapi.IDsResponse
	if err := json.Unmarshal(raw, &ids); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids, c.expires = ids.IDs, ids.ExpiresAt
	return nil
}

func pause(ctx context.Context, d time.Duration) bool {
	return sleepUntil(ctx, time.Now().Add(d))
}
