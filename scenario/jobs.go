package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/standin/fakeendpoint"
)

// job is the caller's view of a job.
type job struct {
	name    string
	id      string
	service string
	tasks   int
	calls   []*call
}

// call is one HTTP request about a job.
type call struct {
	via    string
	method string
	cancel context.CancelFunc
	done   chan struct{}
	reply  reply // valid once done is closed
}

// reply is the outcome of a call.
type reply struct {
	status     int
	code       callerapi.Code
	execution  callerapi.Execution
	retryLater bool
	results    int
	defect     string // why a reply is invalid; empty if it is valid
	err        error  // set if there was no reply
}

// Timeouts of callers.
const (
	idTimeout   = 10 * time.Second
	callTimeout = 2 * time.Minute
)

// issueID obtains a job ID without submitting the job. With text= it uses that
// ID instead.
func issueID(env *environment, a *args) string {
	name := a.word("the job")
	if text := a.text("text", ""); text != "" {
		env.jobs[name] = &job{name: name, id: text}
		return outputf("set")
	}
	j, err := env.obtainID(name, env.entry(a, a.text("via", "")))
	if err != nil {
		return outputf("no ID: %v", err)
	}
	env.jobs[name] = j
	return outputf("issued")
}

func (env *environment) obtainID(name string, issuer *entryHost) (*job, error) {
	ctx, cancel := env.contextWithTimeout(idTimeout)
	defer cancel()
	body := mustJSON(callerapi.IDsRequest{Count: 1})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+issuer.callerAddress()+"/v1/job-ids", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+token)
	response, err := env.caller.Do(req)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var ids callerapi.IDsResponse
	if err := json.NewDecoder(response.Body).Decode(&ids); err != nil {
		return nil, err
	}
	if len(ids.IDs) != 1 {
		return nil, fmt.Errorf("status %d and %d IDs", response.StatusCode, len(ids.IDs))
	}
	return &job{name: name, id: ids.IDs[0]}, nil
}

// submit sends a job and does not wait for its reply.
func submit(env *environment, a *args) string {
	name := a.word("the job")
	via := env.entryOrFallback(a, a.text("via", ""), a.text("else", ""))
	j := env.jobs[name]
	if j == nil {
		var err error
		if j, err = env.obtainID(name, via); err != nil {
			return outputf("no ID: %v", err)
		}
		env.jobs[name] = j
	}
	j.service = a.text("service", "booking")
	j.tasks = a.number("tasks", 1)
	body := mustJSON(j.body(a.duration("run", 100*time.Millisecond), a.text("fail", "no") == "yes"))
	env.call(j, via, http.MethodPut, a.duration("wait", 30*time.Second), body)
	return outputf("sent")
}

func (j *job) body(run time.Duration, fail bool) callerapi.Job {
	body := callerapi.Job{Service: j.service, Tasks: make([]callerapi.Task, j.tasks)}
	for i := range body.Tasks {
		body.Tasks[i].Payload = mustJSON(j.payload(i, run, fail))
	}
	return body
}

func (j *job) payload(index int, run time.Duration, fail bool) fakeendpoint.Payload {
	ms := float64(run) / float64(time.Millisecond)
	return fakeendpoint.Payload{Request: j.name, Task: index, RunMS: ms, Fail: fail}
}

func ask(env *environment, a *args) string {
	j := env.job(a, a.word("the job"))
	env.call(j, env.entry(a, a.text("via", "")), http.MethodGet, a.duration("wait", 30*time.Second), nil)
	return outputf("sent")
}

func cancelJob(env *environment, a *args) string {
	j := env.job(a, a.word("the job"))
	env.call(j, env.entry(a, a.text("via", "")), http.MethodDelete, 0, nil)
	return outputf("sent")
}

// cancelAll cancels every job that has no final reply.
func cancelAll(env *environment, a *args) string {
	via := env.entry(a, a.text("via", ""))
	cancelled := 0
	for _, name := range slices.Sorted(maps.Keys(env.jobs)) {
		if j := env.jobs[name]; len(j.calls) > 0 && !j.final() {
			env.call(j, via, http.MethodDelete, 0, nil)
			cancelled++
		}
	}
	return outputf("%d jobs", cancelled)
}

// final reports whether a call that does not cancel the job has got a final
// reply.
func (j *job) final() bool {
	return slices.ContainsFunc(j.calls, func(c *call) bool {
		return c.finished() && c.method != http.MethodDelete && c.reply.final()
	})
}

// lastReply returns the reply of the most recent call that has one.
func (j *job) lastReply() reply {
	for _, c := range slices.Backward(j.calls) {
		if c.finished() {
			return c.reply
		}
	}
	return reply{err: errNoReply}
}

var errNoReply = errors.New("no call has a reply")

func (c *call) finished() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// final reports whether asking again cannot change the reply. A caller asks
// again if there was no reply, if the job is running, or if its owner is
// unreachable. The rejection of a job that was not run is final, even if it
// asks for a later retry.
func (r reply) final() bool {
	switch {
	case r.err != nil || r.status == http.StatusAccepted:
		return false
	case r.code == callerapi.CodeOwnerUnreachable:
		return false
	}
	return true
}

// hangUp cancels the calls of a job that have no reply yet.
func hangUp(env *environment, a *args) string {
	j := env.job(a, a.word("the job"))
	dropped := 0
	for _, c := range j.calls {
		if !c.finished() {
			c.cancel()
			<-c.done
			dropped++
		}
	}
	return outputf("%d calls", dropped)
}

func (env *environment) call(j *job, via *entryHost, method string, wait time.Duration, body []byte) {
	ctx, cancel := env.contextWithTimeout(callTimeout)
	c := &call{via: via.name, method: method, cancel: cancel, done: make(chan struct{})}
	j.calls = append(j.calls, c)
	url := fmt.Sprintf("http://%s/v1/jobs/%s?wait=%s", via.callerAddress(), j.id, wait)
	go func() {
		defer close(c.done)
		defer cancel()
		c.reply = env.doRequest(ctx, j, method, url, body)
	}()
}

func (env *environment) doRequest(ctx context.Context, j *job, method, url string, body []byte) reply {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+token)
	response, err := env.caller.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{err: err}
	}
	return j.parseReply(response, text)
}

func (j *job) parseReply(response *http.Response, body []byte) reply {
	r := reply{status: response.StatusCode, retryLater: response.Header.Get(callerapi.HeaderRetryAfter) != ""}
	switch {
	case r.status == http.StatusOK:
		var answer callerapi.Answer
		if err := json.Unmarshal(body, &answer); err != nil {
			return reply{status: r.status, defect: err.Error()}
		}
		r.results = len(answer.Results)
		r.defect = j.verify(answer)
	case r.status >= http.StatusBadRequest:
		var problem callerapi.Problem
		if err := json.Unmarshal(body, &problem); err != nil {
			return reply{status: r.status, defect: err.Error()}
		}
		r.code, r.execution = problem.Code, problem.Execution
	}
	return r
}

// verify returns why an answer is not complete, or "" if it is.
func (j *job) verify(answer callerapi.Answer) string {
	if len(answer.Results) != j.tasks {
		return fmt.Sprintf("%d results for %d tasks", len(answer.Results), j.tasks)
	}
	for i, raw := range answer.Results {
		var result fakeendpoint.Result
		var payload fakeendpoint.Payload
		if json.Unmarshal(raw, &result) != nil || json.Unmarshal(result.Payload, &payload) != nil {
			return fmt.Sprintf("result %d was not returned by an endpoint", i)
		}
		if payload.Request != j.name || payload.Task != i {
			return fmt.Sprintf("result %d belongs to task %d of %s", i, payload.Task, payload.Request)
		}
	}
	return ""
}

func (r reply) String() string {
	switch {
	case r.err != nil:
		return "no reply"
	case r.defect != "":
		return fmt.Sprintf("%d WRONG: %s", r.status, r.defect)
	case r.status == http.StatusOK:
		return fmt.Sprintf("%d whole answer, results=%d", r.status, r.results)
	case r.status < http.StatusBadRequest:
		return fmt.Sprintf("%d running", r.status)
	}
	text := fmt.Sprintf("%d %s, execution=%s", r.status, r.code, r.execution)
	if r.retryLater {
		text += ", retry later"
	}
	return text
}

func mustJSON(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
