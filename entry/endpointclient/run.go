package endpointclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"lovagespread.example/dispatch"
	"lovagespread.example/entry/wire"
	"lovagespread.example/logservice/endpointapi"
)

// run makes one attempt and returns its outcome.
func (c *Client) run(task Task) dispatch.Input {
	body, err := json.Marshal(c.request(task))
	if err != nil {
		return lost(task, true, "the payload cannot be encoded: "+err.Error())
	}
	e := c.endpoint(task.Endpoint, task.Address)
	held := e.leases.add(time.Now(), task.LeaseEnd)
	defer e.leases.remove(held)
	reply, sent, err := c.exchange(e, task.LeaseEnd, body)
	if err != nil {
		c.opts.Observer.Unanswered(task, sent, err.Error())
		c.reportUnresponsive(e)
		e.closeIdle(sent)
		return lost(task, !sent, err.Error())
	}
	return c.interpret(e, task, reply)
}

// closeIdle closes the idle connections after a request that was sent and got no
// response: the failure that broke its connection may have broken them too.
func (e *endpoint) closeIdle(sent bool) {
	if sent {
		e.transport.CloseIdleConnections()
	}
}

func (c *Client) reportUnresponsive(e *endpoint) {
	e.health.Store(healthUnresponsive)
	c.opts.Health.EndpointUnresponsive(e.name)
}

// reportAnswered reports a response only if the last report for the endpoint
// differs.
func (c *Client) reportAnswered(e *endpoint, leaving bool) {
	now := healthLive
	if leaving {
		now = healthLeaving
	}
	if e.health.Swap(now) != now {
		c.opts.Health.EndpointAnswered(e.name, leaving)
	}
}

func (c *Client) request(task Task) endpointapi.TaskRequest {
	return endpointapi.TaskRequest{
		TaskID:       taskID(task.Label, task.Task.Index, task.Attempt),
		Job:          task.Label,
		Index:        task.Task.Index,
		Attempt:      task.Attempt,
		Entry:        c.opts.Entry,
		Service:      task.Service,
		LeaseMS:      min(time.Until(task.LeaseEnd), MaxLease).Milliseconds(),
		MilliCores:   task.Needs.MilliCores,
		MemoryMiB:    task.Needs.MemoryMiB,
		Accelerators: task.Needs.Accelerators,
		Payload:      task.Payload,
	}
}

// taskID returns the ID of one attempt: job, index and attempt.
func taskID(job string, index, attempt int) string {
	text := make([]byte, 0, len(job)+taskIDSuffix)
	text = append(text, job...)
	text = append(text, '.')
	text = strconv.AppendInt(text, int64(index), 10)
	text = append(text, '.')
	text = strconv.AppendInt(text, int64(attempt), 10)
	return string(text)
}

// taskIDSuffix is the capacity reserved for the index and the attempt, in bytes.
const taskIDSuffix = 10

// reply is a complete HTTP response.
type reply struct {
	status int
	body   []byte
}

// exchange sends the body and reads the whole response. It retries on a new
// connection if the transport chose one that had reached its maximum age. sent
// is false only if nothing was written and nothing will be.
func (c *Client) exchange(e *endpoint, leaseEnd time.Time, body []byte) (r reply, sent bool, err error) {
	for range maxConnAttempts {
		r, sent, err = c.exchangeOnce(e, leaseEnd, body)
		if sent || !connTooOld(err) {
			return r, sent, err
		}
	}
	return r, sent, err
}

func connTooOld(err error) bool {
	var notWritten *wire.NotWrittenError
	return errors.As(err, &notWritten) && notWritten.Reason == wire.ReasonConnExpired
}

func (c *Client) exchangeOnce(e *endpoint, leaseEnd time.Time, body []byte) (reply, bool, error) {
	ctx, cancel := context.WithDeadline(context.Background(), leaseEnd)
	defer cancel()
	attempt := wire.NewAttempt(leaseEnd)
	resp, err := e.post(attempt.Context(ctx), "/v1/tasks", body)
	if err != nil {
		return reply{}, attempt.Seal(), err
	}
	defer resp.Body.Close()
	c.opts.Observer.Message(messageOf(resp.StatusCode))
	data, err := readLimited(resp.Body)
	return reply{status: resp.StatusCode, body: data}, true, err
}

func messageOf(status int) string {
	if status == endpointapi.StatusRefused {
		return "refusal"
	}
	return "task_answer"
}

func readLimited(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxResultBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > MaxResultBytes {
		return nil, &ResultTooLargeError{}
	}
	return data, nil
}

// interpret converts a response to an outcome. Only a typed refusal proves that
// the task did not start.
func (c *Client) interpret(e *endpoint, task Task, r reply) dispatch.Input {
	switch r.status {
	case http.StatusOK:
		return c.done(e, task, r.body)
	case endpointapi.StatusRefused:
		return c.refused(e, task, r.body)
	case endpointapi.StatusFailed:
		return c.failed(e, task, r.body)
	}
	return lost(task, false, (&StatusError{Status: r.status}).Error())
}

func (c *Client) done(e *endpoint, task Task, body []byte) dispatch.Input {
	var response endpointapi.TaskResponse
	if err := decode(task, body, &response, &response.TaskID); err != nil {
		return lost(task, false, err.Error())
	}
	return &dispatch.Done{
		Task:    task.Task,
		Attempt: task.Attempt,
		RunTime: milliseconds(response.RunMS),
		Result:  response.Result,
		Load:    c.load(e, response.Load),
	}
}

func (c *Client) refused(e *endpoint, task Task, body []byte) dispatch.Input {
	var refusal endpointapi.Refusal
	if err := decode(task, body, &refusal, &refusal.TaskID); err != nil {
		return lost(task, false, err.Error())
	}
	if !refusal.NotStarted {
		return lost(task, false, "the endpoint refused the task without stating that it was not started")
	}
	return &dispatch.Refused{
		Task:    task.Task,
		Attempt: task.Attempt,
		Reason:  reasonOf(refusal.Code),
		Load:    c.load(e, refusal.Load),
	}
}

func (c *Client) failed(e *endpoint, task Task, body []byte) dispatch.Input {
	var failure endpointapi.Failure
	if err := decode(task, body, &failure, &failure.TaskID); err != nil {
		return lost(task, false, err.Error())
	}
	return &dispatch.Failed{
		Task:    task.Task,
		Attempt: task.Attempt,
		RunTime: milliseconds(failure.RunMS),
		Detail:  failure.Detail,
		Load:    c.load(e, failure.Load),
	}
}

func (c *Client) load(e *endpoint, load endpointapi.Load) *dispatch.EndpointLoad {
	c.reportAnswered(e, load.Leaving)
	return &dispatch.EndpointLoad{Running: load.Running}
}

// decode reads a response body and checks that it belongs to the task.
func decode(task Task, body []byte, into any, id *string) error {
	if err := json.Unmarshal(body, into); err != nil {
		return err
	}
	if *id != taskID(task.Label, task.Task.Index, task.Attempt) {
		return &WrongTaskError{Got: *id}
	}
	return nil
}

func reasonOf(code endpointapi.RefusalCode) dispatch.RefusalReason {
	switch code {
	case endpointapi.RefusedLeaving:
		return dispatch.RefusedDraining
	case endpointapi.RefusedUnknownService:
		return dispatch.RefusedUnknownService
	case endpointapi.RefusedLeaseExpired:
		return dispatch.RefusedLeaseExpired
	}
	return dispatch.RefusedFull
}

func lost(task Task, notSent bool, detail string) *dispatch.Lost {
	return &dispatch.Lost{Task: task.Task, Attempt: task.Attempt, NotSent: notSent, Detail: detail}
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// onceReader hides the type of the reader, so that net/http does not set GetBody
// and cannot rewind the body to retry the request.
func onceReader(body []byte) io.ReadCloser {
	return io.NopCloser(opaqueReader{bytes.NewReader(body)})
}

type opaqueReader struct{ io.Reader }
