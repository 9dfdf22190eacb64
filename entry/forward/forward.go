// Package forward takes callers' requests to the owner of their job ID, in
// one hop, and tells the truth when that fails: nothing that may have reached
// the owner is called not run.
package forward

import (
	"context"
	"encoding/json"
	"errors"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/entry/control"
	"lovagespread.example/entry/jobs"
	"lovagespread.example/entry/problem"
	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

// Times of a forwarded request.
const (
	margin       = 3 * time.Second // for the owner, beyond the caller's wait
	retryAfter   = time.Second
	settlingTime = 10 * time.Second // after the start, entries are still unknown
)

// Peers calls other entries.
type Peers interface {
	Forward(ctx context.Context, address string, r *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error)
}

// Observe is told of each routing decision.
type Observe interface {
	Routed(job, owner, reason string)
}

// Outcomes finds the outcome of a job that its owner has written behind.
type Outcomes interface {
	Outcome(id jobid.ID) (problem.Result, bool)
}

// Options are the parts that a Forwarder works with.
type Options struct {
	Loop     *control.Loop
	Peers    Peers
	Observe  Observe
	Outcomes Outcomes
	Started  time.Time // of this entry
}

// Forwarder implements jobs.Forwarder.
type Forwarder struct{ opts Options }

// New returns a forwarder.
func New(opts Options) *Forwarder { return &Forwarder{opts: opts} }

// Reasons of a routing decision.
const (
	reasonOwner       = "owner"
	reasonSuccessor   = "successor"
	reasonGone        = "owner_gone"
	reasonUnknown     = "owner_unknown"
	reasonUnreachable = "owner_unreachable"
)

// Forward returns the reply of the owner, or a problem.
func (f *Forwarder) Forward(ctx context.Context, id jobid.ID, r jobs.Request) problem.Result {
	view := f.opts.Loop.Snapshot().View
	owner, ok := view.Owner(membership.Incarnation(id.Owner))
	switch {
	case !ok && time.Since(f.opts.Started) < settlingTime:
		return f.unreachable(id, "unheard", reasonUnknown)
	case !ok:
		return f.gone(id, "unheard", reasonUnknown)
	case owner.Ended:
		return f.gone(id, owner.Name, reasonGone)
	}
	reason := reasonOwner
	if owner.Incarnation != membership.Incarnation(id.Owner) {
		reason = reasonSuccessor
	}
	f.opts.Observe.Routed(id.String(), owner.Name, reason)
	return f.call(ctx, id, owner, r)
}

func (f *Forwarder) call(ctx context.Context, id jobid.ID, owner membership.Entry, r jobs.Request) problem.Result {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+margin)
	defer cancel()
	resp, err := f.opts.Peers.Forward(ctx, owner.Address, request(owner, r))
	if err == nil {
		return resultOf(resp)
	}
	if ended(err) {
		return f.gone(id, owner.Name, reasonGone)
	}
	return f.unreachable(id, owner.Name, reasonUnreachable)
}

// ended reports whether the error proves that the owner's process does not
// run any more: nothing listens at its address, or another incarnation does.
func ended(err error) bool {
	var twerr twirp.Error
	if errors.As(err, &twerr) && twerr.Code() == twirp.FailedPrecondition {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func request(owner membership.Entry, r jobs.Request) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		Method:      methodOf(r.Method),
		JobId:       r.JobID,
		Body:        r.Body,
		WaitMs:      r.Wait.Milliseconds(),
		Team:        r.Team,
		Traceparent: r.Traceparent,
		Owner:       uint64(owner.Incarnation),
	}
}

func methodOf(m jobs.Method) peerpb.Method {
	switch m {
	case jobs.Submit:
		return peerpb.Method_METHOD_SUBMIT
	case jobs.Cancel:
		return peerpb.Method_METHOD_CANCEL
	}
	return peerpb.Method_METHOD_ASK
}

func resultOf(resp *peerpb.ForwardResponse) problem.Result {
	result := problem.Result{
		Status:     int(resp.GetStatus()),
		Body:       resp.GetBody(),
		RetryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
		Execution:  callerapi.Ran,
	}
	var p callerapi.Problem
	if result.MediaType() == callerapi.ProblemMedia && json.Unmarshal(result.Body, &p) == nil {
		result.Code, result.Execution = p.Code, p.Execution
	}
	return result
}

// gone answers for an owner that does not run any more: with the outcome it
// has written behind, or else that nothing is known.
func (f *Forwarder) gone(id jobid.ID, owner, reason string) problem.Result {
	f.opts.Observe.Routed(id.String(), owner, reason)
	if result, ok := f.opts.Outcomes.Outcome(id); ok {
		return result
	}
	return problem.ResultOf(problem.New(callerapi.CodeOwnerGone, callerapi.Unknown,
		"the entry that owns this job ID is gone and its record with it: find out whether the job took effect before you submit it with a new ID"))
}

func (f *Forwarder) unreachable(id jobid.ID, owner, reason string) problem.Result {
	f.opts.Observe.Routed(id.String(), owner, reason)
	return problem.ResultOf(problem.Retry(callerapi.CodeOwnerUnreachable, callerapi.Unknown,
		"the entry that owns this job ID cannot be reached now: ask again with the same ID after the given time", retryAfter))
}
