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

// Method is an operation on a job.
type Method int

// Methods.
const (
	Submit Method = iota
	Ask
	Cancel
)

// Request is a caller's request about one job.
type Request struct {
	Method      Method
	JobID       string // text form
	Body        []byte // JSON of callerapi.Job, for Submit
	Wait        time.Duration
	Team        string
	Traceparent string
}

// Forwarder forwards requests to the owner of their job.
type Forwarder interface {
	// Forward returns the owner's reply, or a problem if there is none.
	Forward(ctx context.Context, id jobid.ID, r Request) problem.Result
}

// Service serves requests about jobs. It is safe for concurrent use.
type Service struct {
	verifier *jobid.Verifier
	loop     *control.Loop
	forward  Forwarder
}

// NewService returns a service that uses the given control loop.
func NewService(verifier *jobid.Verifier, loop *control.Loop, forward Forwarder) *Service {
	return &Service{verifier: verifier, loop: loop, forward: forward}
}

// Do serves a request of a caller. It forwards the request if another entry
// owns the job.
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

// Serve serves a request that another entry has forwarded. It returns false if
// this entry is not the owner. A request takes one hop, or two while the owner
// is stopping.
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

// handedOver reports whether another entry answers for this entry's jobs. This
// entry then forwards requests from entries that do not know of the handover
// yet, which is the second hop.
func (s *Service) handedOver() bool { return s.loop.Snapshot().View.Self.Successor != 0 }

func (s *Service) verify(text string) (jobid.ID, *callerapi.Problem) {
	id, err := s.verifier.Parse(text)
	if err != nil {
		return id, problem.New(callerapi.CodeForgedID, executionOf(err), err.Error())
	}
	return id, nil
}

// executionOf returns the execution of a job whose ID this entry cannot verify.
// The job was certainly not run only if no entry can have issued such a text.
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

// movedToOther reports whether the job was handed over to another entry in the
// meantime. A submission may be sent there again, as its ID is admitted only
// once.
func movedToOther(reply control.Reply) bool {
	return reply.Moved || reply.Problem != nil && reply.Problem.Code == dispatch.CodeNotOwner
}

// Execution returns the execution that this entry may report when it rejects a
// request about a job before it reaches the core. Asking the core closes an ID
// without a job, so that "not run" stays true.
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

// result converts the reply of the loop to the reply to the caller.
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
