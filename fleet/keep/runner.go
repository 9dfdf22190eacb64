package keep

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// Timing and queue size of a runner.
const (
	ownershipCheckInterval = 100 * time.Millisecond // of ShouldOwn
	// takeoverBackoff is how long a runner waits after it has failed to take over
	// its shard, or has lost it.
	takeoverBackoff = 500 * time.Millisecond
	queueSize       = 1024
)

// Environment is what a runner needs from its process. Its functions must be
// safe for concurrent use.
type Environment struct {
	Log   Log
	Codec JobCodec
	// ShouldOwn reports whether this process is the designated owner of a shard,
	// and MayTakeOver whether it may take the shard over now.
	ShouldOwn   func(shard int) bool
	MayTakeOver func(shard int) bool
	// OnFenced is called when another process has taken a shard over.
	OnFenced func(shard int)
	// Offer offers a job to a holder of endpoints. It returns when the job has
	// ended there, the holder is lost or the context ends. From updates it gets what is
	// reported of the job's tasks after the job was offered.
	Offer func(ctx context.Context, job leased.Job, updates *Updates) stored.Outcome
	// AppendInterval is the minimum time between two appends to a shard.
	AppendInterval time.Duration
	Options        stored.Options
	// ObserveAppend is called with the result and duration of each append.
	ObserveAppend func(result string, took time.Duration)
	// OnOwnershipChange is called when this process has taken over or lost a shard.
	OnOwnershipChange func(shard int, owned bool)
	Logger            *zap.Logger
}

// Results of appends, for ObserveAppend.
const (
	appendStored     = "stored"
	appendRefused    = "refused"
	appendFenced     = "fenced"
	appendUnanswered = "unanswered"
)

// Runner owns one shard while its process is the designated owner. Create it
// with NewRunner.
type Runner struct {
	env   Environment
	shard int
	inbox chan request
	epoch int64
}

// request is a request to the runner's goroutine.
type request struct {
	input func(stored.Ticket) stored.Input // nil: the request is a query
	query func(*stored.Shard)              // reads the state of the shard
	// maxConfirmationAge is how old the last confirmation of the ownership may be for an
	// answer that a newer owner might give differently; 0: a later one is needed.
	maxConfirmationAge time.Duration
	reply              chan reply
}

// reply is the answer to a request.
type reply struct {
	result   stored.Result
	state    stored.State          // as in stored.Reply
	progress []leased.TaskProgress // as in stored.Reply
}

// NewRunner returns a runner of a shard.
func NewRunner(env Environment, shard int) *Runner {
	env.Logger = env.Logger.With(zap.Int("shard", shard))
	return &Runner{env: env, shard: shard, inbox: make(chan request, queueSize)}
}

// Run takes the shard over whenever this process should own it, until the
// context ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.env.ShouldOwn(r.shard) || !r.env.MayTakeOver(r.shard) {
			r.rejectRequests(ctx, ownershipCheckInterval)
			continue
		}
		taken, err := r.takeOver(ctx)
		if err != nil {
			r.env.Logger.Warn("shard_not_taken", zap.Error(err))
			r.reportIfFenced(err)
			r.rejectRequests(ctx, takeoverBackoff)
			continue
		}
		if !r.env.ShouldOwn(r.shard) {
			r.env.Logger.Info("shard_left", zap.Int64("epoch", taken.epoch), zap.String("reason", "another entry should own it since the takeover began"))
			continue
		}
		if err := r.serve(ctx, taken); err != nil {
			r.env.Logger.Warn("shard_lost", zap.Int64("epoch", taken.epoch), zap.Error(err))
			r.reportIfFenced(err)
			r.rejectRequests(ctx, takeoverBackoff)
		}
	}
}

func (r *Runner) reportIfFenced(err error) {
	if _, fenced := errors.Into[*FencedError](err); fenced {
		r.env.OnFenced(r.shard)
	}
}

// rejectRequests answers requests for some time with the result that this
// process does not own the shard.
func (r *Runner) rejectRequests(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case req := <-r.inbox:
			req.reply <- reply{result: stored.OtherOwner}
		}
	}
}

// do sends a request and waits for its answer.
func (r *Runner) do(ctx context.Context, req request) reply {
	req.reply = make(chan reply, 1)
	select {
	case r.inbox <- req:
	case <-ctx.Done():
		return reply{result: stored.OtherOwner}
	}
	select {
	case answer := <-req.reply:
		return answer
	case <-ctx.Done():
		return reply{result: stored.Uncertain}
	}
}

// Accept stores a job, unless it was cancelled before.
func (r *Runner) Accept(ctx context.Context, job leased.Job) stored.Result {
	return r.do(ctx, request{input: func(t stored.Ticket) stored.Input { return &stored.Accept{Ticket: t, Job: job} }}).result
}

// Cancel cancels a job. The result is NoSuchJob if no submission of it is on the log: none will
// be accepted later, for as long as a job is retained after its end.
func (r *Runner) Cancel(ctx context.Context, id leased.JobID) stored.Result {
	return r.do(ctx, request{input: func(t stored.Ticket) stored.Input { return &stored.Cancel{Ticket: t, Job: id} }}).result
}

// Report reports runs that have started or ended. From is the incarnation of the
// entry that holds their endpoint. It returns the progress of their tasks as stored.Reply does.
func (r *Runner) Report(ctx context.Context, from uint64, tasks []stored.TaskReport) (stored.Result, []leased.TaskProgress) {
	answer := r.do(ctx, request{input: func(t stored.Ticket) stored.Input { return &stored.Report{Ticket: t, From: from, Tasks: tasks} }})
	return answer.result, answer.progress
}

// State returns the state of a job, which is Unknown if there is no such job. It waits while an
// acceptance of the job is on its way to the log.
func (r *Runner) State(ctx context.Context, id leased.JobID) (stored.State, stored.Result) {
	answer := r.do(ctx, request{
		input:              func(t stored.Ticket) stored.Input { return &stored.Query{Ticket: t, Job: id} },
		maxConfirmationAge: maxConfirmationAge,
	})
	return answer.state, answer.result
}

// Pending returns the number of jobs in each queue of which no task has started. Only an
// owner that has not been replaced knows it.
func (r *Runner) Pending(ctx context.Context) (map[string]int, stored.Result) {
	var counts map[string]int
	result := r.do(ctx, request{query: func(s *stored.Shard) { counts = s.Pending() }}).result
	if result != stored.Stored {
		return nil, result // the query may still be under way
	}
	return counts, result
}
