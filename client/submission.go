package client

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lovagespread.example/client/callerapi"
)

// submission is the state of a job that is submitted under one ID.
type submission struct {
	client *Client
	id     *jobID
	body   []byte

	neverDelivered bool          // no request so far can have reached the owner
	lastContact    time.Time     // when the owner last reported that the job is running, or the start
	backoff        time.Duration // minimum delay before the next request
	retryAfter     time.Duration // delay requested by the last reply
	answer         *callerapi.Answer
	err            error
}

// nextDelay returns the delay before the next request and doubles the backoff.
func (s *submission) nextDelay() time.Duration {
	d := s.backoff
	s.backoff = min(2*s.backoff, maxBackoff)
	return max(d, s.retryAfter)
}

// attempt makes one request and reports whether the outcome of the job is known.
// It always submits the job: a GET would close an ID whose submission was lost.
func (s *submission) attempt(ctx context.Context) (done bool) {
	s.retryAfter = 0
	reply, err := s.client.call(ctx, http.MethodPut, "/v1/jobs/"+s.id.text+"?wait="+s.client.opts.Wait.String(), s.body)
	if err != nil {
		s.neverDelivered = false
		s.err = err
		return false
	}
	switch {
	case reply.answer != nil:
		s.answer, s.err = reply.answer, nil
		return true
	case reply.problem != nil:
		return s.handleProblem(reply.problem)
	}
	s.neverDelivered = false
	s.lastContact = time.Now()
	s.backoff = minBackoff
	s.err = errStillRunning
	return false
}

// errStillRunning is the error of a job that was still running at the end of the
// last wait.
var errStillRunning = errors.New("the job is still running: ask again with the same ID")

// ownerUnavailable holds the codes after which other IDs of the same owner are
// not usable.
var ownerUnavailable = map[callerapi.Code]bool{
	callerapi.CodeOwnerGone:        true,
	callerapi.CodeOwnerUnreachable: true,
	callerapi.CodeDraining:         true,
	callerapi.CodeEvacuated:        true,
}

// handleProblem records a problem and reports whether it settles the outcome of
// the job.
func (s *submission) handleProblem(p *callerapi.Problem) (done bool) {
	s.err = p
	s.retryAfter = time.Duration(p.RetryAfterMS) * time.Millisecond
	s.neverDelivered = s.neverDelivered && p.NotDelivered
	if ownerUnavailable[p.Code] {
		s.id.batch.discard()
	}
	switch {
	case p.Execution != callerapi.Unknown:
		return true
	case s.neverDelivered:
		s.err = asNotRun(p)
		return true
	case p.Code == callerapi.CodeOwnerGone:
		s.err = &OutcomeUnknownError{ID: s.id.text, Cause: p}
		return true
	}
	return false
}

// asNotRun returns a copy of p that says that the job was not run. This holds if
// no request can have reached the owner, because no other client knows the ID.
func asNotRun(p *callerapi.Problem) *callerapi.Problem {
	notRun := *p
	notRun.Execution = callerapi.NotRun
	notRun.RetryAfterMS = max(p.RetryAfterMS, minBackoff.Milliseconds())
	return &notRun
}
