// Package forward forwards callers' requests to the owner of their job ID in
// one hop. If that fails, it never reports a job as not run if the request may
// have reached the owner.
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
	"lovagespread.example/entry/outcomes"
	"lovagespread.example/entry/peerclient"
	"lovagespread.example/entry/problem"
	"lovagespread.example/membership"
	"lovagespread.example/peer/peerpb"
)

// Times of a forwarded request.
const (
	ownerMargin   = 3 * time.Second // added to the caller's wait, for the owner to reply
	retryAfter    = time.Second
	discoveryTime = 10 * time.Second // after the start, in which other entries may still be unknown
)

// Peers calls other entries.
type Peers interface {
	Forward(ctx context.Context, address string, r *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error)
}

// Observer is notified of each routing decision.
type Observer interface {
	Routed(job, owner, reason string)
}

// Outcomes finds the outcome of a job that its owner has written to the
// platform's log.
type Outcomes interface {
	Outcome(ctx context.Context, id jobid.ID, text string) (problem.Result, outcomes.State)
}

// Options are the dependencies of a Forwarder.
type Options struct {
	Loop     *control.Loop
	Peers    Peers
	Observer Observer
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

	reasonWrittenBehind = "outcome_written_behind"
	reasonSearching     = "searching_outcome"
)

// Forward returns the reply of the job's owner, or a problem.
func (f *Forwarder) Forward(ctx context.Context, id jobid.ID, r jobs.Request) problem.Result {
	view := f.opts.Loop.Snapshot().View
	owner, ok := view.Owner(membership.Incarnation(id.Owner))
	if !ok {
		return f.ownerUnknown(ctx, id, r)
	}
	if owner.Ended {
		return f.ownerGone(ctx, id, r, failure{owner: owner.Name, reason: reasonGone, notDelivered: true})
	}
	reason := reasonOwner
	if owner.Incarnation != membership.Incarnation(id.Owner) {
		reason = reasonSuccessor
	}
	f.opts.Observer.Routed(id.String(), owner.Name, reason)
	return f.call(ctx, id, owner, r)
}

// failure describes why the owner did not serve a request.
type failure struct {
	owner        string
	reason       string
	notDelivered bool
}

// ownerUnknown returns the reply if no heartbeat of the owner was ever received.
// Right after its start, this entry may not know a running owner yet.
func (f *Forwarder) ownerUnknown(ctx context.Context, id jobid.ID, r jobs.Request) problem.Result {
	cause := failure{owner: "unheard", reason: reasonUnknown, notDelivered: true}
	if time.Since(f.opts.Started) < discoveryTime {
		return f.ownerUnreachable(id, cause)
	}
	return f.ownerGone(ctx, id, r, cause)
}

func (f *Forwarder) call(ctx context.Context, id jobid.ID, owner membership.Entry, r jobs.Request) problem.Result {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+ownerMargin)
	defer cancel()
	resp, err := f.opts.Peers.Forward(ctx, owner.Address, request(owner, r))
	if err == nil {
		return resultOf(resp)
	}
	cause := failure{owner: owner.Name, reason: reasonUnreachable, notDelivered: notDelivered(err)}
	if processEnded(err) {
		cause.reason = reasonGone
		return f.ownerGone(ctx, id, r, cause)
	}
	return f.ownerUnreachable(id, cause)
}

// processEnded reports whether the error proves that the owner's process has
// ended: nothing listens at its address, or another incarnation does.
func processEnded(err error) bool {
	return refusedByOtherEntry(err) || errors.Is(err, syscall.ECONNREFUSED)
}

// refusedByOtherEntry reports whether the entry at the address replied that it
// is not the owner.
func refusedByOtherEntry(err error) bool {
	var refusal twirp.Error
	return errors.As(err, &refusal) && refusal.Code() == twirp.FailedPrecondition
}

// notDelivered reports whether the error proves that the owner has not received
// the request and never will.
func notDelivered(err error) bool {
	var unsent *peerclient.NotDeliveredError
	return refusedByOtherEntry(err) || errors.As(err, &unsent)
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
	if result.MediaType() == callerapi.ProblemMediaType && json.Unmarshal(result.Body, &p) == nil {
		result.Code, result.Execution = p.Code, p.Execution
	}
	return result
}

// ownerGone returns the reply if the owner no longer runs: the outcome that it
// has written to the platform's log, or else an unknown outcome.
func (f *Forwarder) ownerGone(ctx context.Context, id jobid.ID, r jobs.Request, cause failure) problem.Result {
	ctx, cancel := context.WithTimeout(ctx, r.Wait)
	defer cancel()
	result, state := f.opts.Outcomes.Outcome(ctx, id, r.JobID)
	switch state {
	case outcomes.Found:
		f.opts.Observer.Routed(id.String(), cause.owner, reasonWrittenBehind)
		return result
	case outcomes.Searching:
		return f.ownerUnreachable(id, failure{owner: cause.owner, reason: reasonSearching, notDelivered: cause.notDelivered})
	}
	f.opts.Observer.Routed(id.String(), cause.owner, cause.reason)
	p := problem.New(callerapi.CodeOwnerGone, callerapi.Unknown,
		"the entry that owns this job ID is gone, and its record is lost: find out whether the job took effect before you submit it with a new ID")
	p.NotDelivered = cause.notDelivered
	return problem.ResultOf(p)
}

func (f *Forwarder) ownerUnreachable(id jobid.ID, cause failure) problem.Result {
	f.opts.Observer.Routed(id.String(), cause.owner, cause.reason)
	p := problem.Retry(callerapi.CodeOwnerUnreachable, callerapi.Unknown,
		"the entry that owns this job ID cannot be reached now: retry with the same ID after the given time", retryAfter)
	p.NotDelivered = cause.notDelivered
	return problem.ResultOf(p)
}
