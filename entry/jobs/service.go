package jobs

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/entry/control"
	"lovagespread.example/entry/problem"
)

// Method is what a caller asks for.
type Method int

// Methods.
const (
	Submit Method = iota
	Ask
	Cancel
)

// Request is what a caller asks of one job.
type Request struct {
	Method      Method
	JobID       string // text form
	Body        []byte // JSON of callerapi.Job, for Submit
	Wait        time.Duration
	Team        string
	Traceparent string
}

// Forwarder takes requests to their owner.
type Forwarder interface {
	// Forward returns the reply of the owner, or a problem of its own.
	Forward(ctx context.Context, id jobid.ID, r Request) problem.Result
}

// Service serves requests about jobs. It is safe for concurrent use.
type Service struct {
	verifier *jobid.Verifier
	loop     *control.Loop
	forward  Forwarder
}

// NewService returns a service on top of the control loop.
func NewService(verifier *jobid.Verifier, loop *control.Loop, forward Forwarder) *Service {
	return &Service{verifier: verifier, loop: loop, forward: forward}
}

// Do serves a request of a caller: here if this entry owns the job, else
// through the owner.
func (s *Service) Do(ctx context.Context, r Request) problem.Result {
	id, p := s.verify(r.JobID)
	if p != nil {
		return problem.ResultOf(p)
	}
	if s.owns(id) {
		return s.local(ctx, id, r)
	}
	return s.forward.Forward(ctx, id, r)
}

// Serve serves a request that another entry has forwarded. It returns false
// if this entry is not the owner: a request takes one hop at most.
func (s *Service) Serve(ctx context.Context, r Request) (problem.Result, bool) {
	id, p := s.verify(r.JobID)
	if p != nil {
		return problem.ResultOf(p), true
	}
	if !s.owns(id) {
		return problem.Result{}, false
	}
	return s.local(ctx, id, r), true
}

func (s *Service) verify(text string) (jobid.ID, *callerapi.Problem) {
	id, err := s.verifier.Parse(text)
	if err != nil {
		return id, problem.NotRun(callerapi.CodeForgedID, err.Error())
	}
	return id, nil
}

func (s *Service) owns(id jobid.ID) bool {
	return s.loop.Snapshot().Owns(id.Owner)
}

func (s *Service) local(ctx context.Context, id jobid.ID, r Request) problem.Result {
	switch r.Method {
	case Submit:
		return s.submit(ctx, id, r)
	case Cancel:
		reply, err := s.loop.Cancel(ctx, id)
		return result(r.JobID, reply, err)
	default:
		reply, err := s.loop.Ask(ctx, id, r.Wait)
		return result(r.JobID, reply, err)
	}
}

func (s *Service) submit(ctx context.Context, id jobid.ID, r Request) problem.Result {
	job, p := parseJob(r.Body)
	if p != nil {
		p.Execution = s.Execution(ctx, r.JobID)
		return problem.ResultOf(p)
	}
	reply, err := s.loop.Submit(ctx, control.Submission{
		ID:     id,
		Label:  id.String(),
		Team:   r.Team,
		Job:    job,
		Parent: traceID(r.Traceparent),
	}, r.Wait)
	return result(r.JobID, reply, err)
}

// Execution returns what this entry may say of a job when it refuses a request
// about it before asking for a decision. An ID without a job is closed by
// that, so that "not run" stays true.
func (s *Service) Execution(ctx context.Context, text string) callerapi.Execution {
	id, p := s.verify(text)
	if p != nil {
		return p.Execution
	}
	if !s.owns(id) {
		return callerapi.Unknown
	}
	reply, err := s.loop.Ask(ctx, id, 0)
	return result(text, reply, err).Execution
}

// result turns the reply of the loop into that to the caller.
func result(text string, reply control.Reply, err error) problem.Result {
	switch {
	case err != nil:
		return problem.ResultOf(problem.Retry(callerapi.CodeNotReady, callerapi.Unknown, err.Error(), time.Second))
	case reply.Problem != nil:
		return problem.ResultOf(problem.FromCore(reply.Problem))
	case reply.Answer == nil:
		return encode(http.StatusAccepted, callerapi.Pending{ID: text, State: "running"})
	case reply.Answer.Problem != nil:
		return problem.ResultOf(problem.FromCore(reply.Answer.Problem))
	}
	return encode(http.StatusOK, answerOf(text, reply.Answer))
}

func answerOf(text string, a *dispatch.Answer) callerapi.Answer {
	answer := callerapi.Answer{
		ID:         text,
		Results:    make([]json.RawMessage, len(a.Results)),
		ResponseMS: float64(a.Response) / float64(time.Millisecond),
		IdealMS:    float64(a.Ideal) / float64(time.Millisecond),
	}
	for i, r := range a.Results {
		answer.Results[i] = r
	}
	return answer
}

func encode(status int, body any) problem.Result {
	data, err := json.Marshal(body)
	if err != nil {
		return problem.ResultOf(problem.New(callerapi.CodeInternal, callerapi.Ran, "the answer cannot be encoded: "+err.Error()))
	}
	execution := callerapi.Ran
	if status == http.StatusAccepted {
		execution = callerapi.Unknown
	}
	return problem.Result{Status: status, Body: data, Execution: execution}
}
