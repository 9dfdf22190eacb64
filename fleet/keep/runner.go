package keep

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/stored"
)

// Times of a runner.
const (
	ownershipCheckInterval = 100 * time.Millisecond // at who is to own the shard
	// takeoverBackoff is how long a runner waits after it could not take its shard
	// over, or has been fenced off.
	takeoverBackoff = 500 * time.Millisecond
	queueSize       = 1024
)

// Environment is what a runner needs of its process. Its functions are safe for
// concurrent use.
type Environment struct {
	Log   Log
	Codec JobCodec
	// ShouldOwn reports whether this process is to own a shard, and MayTake whether it
	// may take it over now.
	ShouldOwn   func(shard int) bool
	MayTakeOver func(shard int) bool
	// OnFenced takes that another process has taken a shard over.
	OnFenced func(shard int)
	// Offer hands a job to a holder of endpoints until it has ended there, the
	// holder is lost or the context ends. News are tasks that are known to be
	// done since the job was offered.
	Offer func(ctx context.Context, job leased.Job, news <-chan stored.DoneTask) stored.Outcome
	// AppendInterval is the least time between two appends of a shard.
	AppendInterval time.Duration
	Options        stored.Options
	// ObserveAppend takes how long an append took and how it ended.
	ObserveAppend func(result string, took time.Duration)
	// OnOwnershipChange takes whether this process owns a shard now.
	OnOwnershipChange func(shard int, owned bool)
	Logger            *zap.Logger
}

// Results of appends, for Measure.
const (
	appendStored     = "stored"
	appendRefused    = "refused"
	appendFenced     = "fenced"
	appendUnanswered = "unanswered"
)

// Runner owns one shard whenever its process is to. Create it with NewRunner.
type Runner struct {
	env   Environment
	shard int
	inbox chan request
	epoch int64
}

// request is a question to the runner's goroutine.
type request struct {
	input func(stored.Ticket) stored.Input // nil: only look
	// query returns false if its answer is to be given only by an owner that has
	// surely not been replaced.
	query func(*stored.Shard) bool
	reply chan stored.Result
}

// NewRunner returns a runner of a shard.
func NewRunner(env Environment, shard int) *Runner {
	env.Logger = env.Logger.With(zap.Int("shard", shard))
	return &Runner{env: env, shard: shard, inbox: make(chan request, queueSize)}
}

// Run takes the shard over whenever it is to be owned here, until the context
// ends.
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

// rejectRequests answers requests for some time: this process does not own the shard.
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
			req.reply <- stored.OtherOwner
		}
	}
}

// do sends a request and waits for its answer.
func (r *Runner) do(ctx context.Context, req request) stored.Result {
	req.reply = make(chan stored.Result, 1)
	select {
	case r.inbox <- req:
	case <-ctx.Done():
		return stored.OtherOwner
	}
	select {
	case result := <-req.reply:
		return result
	case <-ctx.Done():
		return stored.Uncertain
	}
}

// Accept stores a job.
func (r *Runner) Accept(ctx context.Context, job leased.Job) stored.Result {
	return r.do(ctx, request{input: func(t stored.Ticket) stored.Input { return &stored.Accept{Ticket: t, Job: job} }})
}

// Cancel ends a job.
func (r *Runner) Cancel(ctx context.Context, id leased.JobID) stored.Result {
	return r.do(ctx, request{input: func(t stored.Ticket) stored.Input { return &stored.Cancel{Ticket: t, Job: id} }})
}

// Report tells of runs.
func (r *Runner) Report(ctx context.Context, from uint64, tasks []stored.TaskReport) stored.Result {
	return r.do(ctx, request{input: func(t stored.Ticket) stored.Input { return &stored.Report{Ticket: t, From: from, Tasks: tasks} }})
}

// State tells what has become of a job.
func (r *Runner) State(ctx context.Context, id leased.JobID) (stored.State, stored.Result) {
	var state stored.State
	result := r.do(ctx, request{query: func(s *stored.Shard) bool {
		state = s.State(id)
		return state != stored.Unknown // a newer owner may know it
	}})
	return state, result
}

// Pending counts the jobs that no task has started of, by queue.
func (r *Runner) Pending(ctx context.Context) (map[string]int, stored.Result) {
	var counts map[string]int
	result := r.do(ctx, request{query: func(s *stored.Shard) bool {
		counts = s.Pending()
		known, _ := s.Len()
		return known == 0 // where jobs are stored at all, a newer owner may know more
	}})
	return counts, result
}
