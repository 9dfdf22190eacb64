package jobs

import (
	"context"
	"encoding/json"
	"errors"
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
		return s.serveLocally(ctx, id, r)
	}
	return s.forward.Forward(ctx, id, r)
}

// Serve serves a request that another entry has forwarded. It returns false
// if this entry is not the owner: a request takes one hop, or two while a stop
// is under way.
func (s *Service) Serve(ctx context.Context, r Request) (problem.Result, bool) {
	id, p := s.verify(r.JobID)
	if p != nil {
		return problem.ResultOf(p), true
	}
	if s.owns(id) {
		return s.serveLocally(ctx, id, r), true
	}
	if s.handedOver() {
		return s.forward.Forward(ctx, id, r), true
	}
	return problem.Result{}, false
}

// handedOver reports whether another entry answers for this entry's jobs. It
// serves those who have not heard of it by a second hop.
func (s *Service) handedOver() bool { return s.loop.Snapshot().View.Self.Successor != 0 }

func (s *Service) verify(text string) (jobid.ID, *callerapi.Problem) {
	id, err := s.verifier.Parse(text)
	if err != nil {
		return id, problem.New(callerapi.CodeForgedID, executionOf(err), err.Error())
	}
	return id, nil
}

// executionOf says what is known of a job whose ID does not verify here: that
// it was not run only if no entry can have issued such a text.
func executionOf(err error) callerapi.Execution {
	var forged *jobid.ForgedError
	if errors.As(err, &forged) && forged.Malformed {
		return callerapi.NotRun
	}
	return callerapi.Unknown
}

func (s *Service) owns(id jobid.ID) bool {
	return s.loop.Snapshot().Owns(id.Owner)
}

func (s *Service) serveLocally(ctx context.Context, id jobid.ID, r Request) problem.Result {
	submission := control.Submission{ID: id, Label: id.String(), Team: r.Team, TraceID: traceID(r.Traceparent)}
	if r.Method == Submit {
		job, p := parseJob(r.Body)
		if p != nil {
			p.Execution = s.Execution(ctx, r.JobID)
			return problem.ResultOf(p)
		}
		submission.Job = job
	}
	start := time.Now()
	reply, err := s.call(ctx, submission, r)
	if !movedToOther(reply) {
		return result(r.JobID, reply, err)
	}
	r.Wait = max(r.Wait-time.Since(start), 0)
	return s.forward.Forward(ctx, id, r)
}

func (s *Service) call(ctx context.Context, submission control.Submission, r Request) (control.Reply, error) {
	switch r.Method {
	case Submit:
		return s.loop.Submit(ctx, submission, r.Wait)
	case Cancel:
		return s.loop.Cancel(ctx, submission.ID)
	default:
		return s.loop.Ask(ctx, submission.ID, r.Wait)
	}
}

// movedToOther reports whether another entry answers for the job since a moment ago.
// A submission may go there again: its ID is admitted once.
func movedToOther(reply control.Reply) bool {
	return reply.Moved || reply.Problem != nil && reply.Problem.Code == dispatch.CodeNotOwner
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
