package client

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lovagespread.example/client/callerapi"
)

// submission is the state of one job under one ID.
type submission struct {
	client *Client
	id     *jobID
	body   []byte

	undelivered bool          // no request so far can have reached the owner
	news        time.Time     // when the owner was last heard of
	pause       time.Duration // before the next request, if none is asked for
	after       time.Duration // asked for by the last reply
	answer      *callerapi.Answer
	err         error
}

// wait returns the pause before the next request and doubles the next one.
func (s *submission) wait() time.Duration {
	d := s.pause
	s.pause = min(2*s.pause, maxPause)
	return max(d, s.after)
}

// step makes one request and reports whether the fate of the job is known.
// It always submits: asking alone would close an ID whose submission was lost.
func (s *submission) step(ctx context.Context) (done bool) {
	s.after = 0
	reply, err := s.client.call(ctx, http.MethodPut, "/v1/jobs/"+s.id.text+"?wait="+s.client.opts.Wait.String(), s.body)
	if err != nil {
		s.undelivered = false
		s.err = err
		return false
	}
	switch {
	case reply.answer != nil:
		s.answer, s.err = reply.answer, nil
		return true
	case reply.problem != nil:
		return s.judge(reply.problem)
	}
	s.undelivered = false
	s.news = time.Now()
	s.pause = minPause
	s.err = errStillRunning
	return false
}

// errStillRunning is the state of a job whose wait is over.
var errStillRunning = errors.New("the job still runs: ask again with the same ID")

// ownerLost are the codes after which other IDs of the same owner are no use.
var ownerLost = map[callerapi.Code]bool{
	callerapi.CodeOwnerGone:        true,
	callerapi.CodeOwnerUnreachable: true,
	callerapi.CodeDraining:         true,
}

// judge decides what a problem says of the job.
func (s *submission) judge(p *callerapi.Problem) (done bool) {
	s.err = p
	s.after = time.Duration(p.RetryAfterMS) * time.Millisecond
	s.undelivered = s.undelivered && p.NotDelivered
	if ownerLost[p.Code] {
		s.id.batch.discard()
	}
	switch {
	case p.Execution != callerapi.Unknown:
		return true
	case s.undelivered:
		s.err = notRun(p)
		return true
	case p.Code == callerapi.CodeOwnerGone:
		s.err = &OutcomeUnknownError{ID: s.id.text, Cause: p}
		return true
	}
	return false
}

// notRun turns a problem of the one and only delivery attempts into the proof
// that they are: this client alone knows the ID, and no request of it can
// have reached the owner.
func notRun(p *callerapi.Problem) *callerapi.Problem {
	proved := *p
	proved.Execution = callerapi.NotRun
	proved.RetryAfterMS = max(p.RetryAfterMS, minPause.Milliseconds())
	return &proved
}
