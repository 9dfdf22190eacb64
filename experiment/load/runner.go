package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lovagespread.example/client/callerapi"
)

// Caller submits a job and waits for its end. The error is a *callerapi.Problem
// if the system returned one.
type Caller interface {
	Do(ctx context.Context, job callerapi.Job) (callerapi.Answer, error)
}

// Options describe a run.
type Options struct {
	Generator *Generator
	Callers   []Caller // used round robin
	Duration  time.Duration
	// CallerTimeout is how long a caller waits for one job.
	CallerTimeout time.Duration
	// MaxInFlight is the maximum number of jobs that wait for their answer.
	// Arrivals beyond it are not sent; Run reports their number.
	MaxInFlight int
	// OnArrivalsEnd is called once, after the last arrival and before Run waits
	// for the last answers. Optional.
	OnArrivalsEnd func()
}

// Run sends the requests when they are due and waits for their answers. It
// returns the number of arrivals that were not sent because of MaxInFlight.
func Run(ctx context.Context, opts Options, tally *Tally) (unsent int, err error) {
	r := &runner{opts: opts, tally: tally, start: time.Now()}
	defer r.calls.Wait()
	if opts.OnArrivalsEnd != nil {
		defer opts.OnArrivalsEnd()
	}
	for ctx.Err() == nil {
		request, err := opts.Generator.Next()
		if err != nil {
			return r.unsent, err
		}
		if request.Due >= opts.Duration {
			return r.unsent, nil
		}
		if !sleepUntil(ctx, r.start.Add(request.Due)) {
			break
		}
		r.send(ctx, request)
	}
	return r.unsent, ctx.Err()
}

type runner struct {
	opts     Options
	tally    *Tally
	start    time.Time
	calls    sync.WaitGroup
	inFlight atomic.Int64
	next     int
	unsent   int
}

func (r *runner) send(ctx context.Context, request *Request) {
	if r.inFlight.Load() >= int64(r.opts.MaxInFlight) {
		r.unsent++
		return
	}
	caller := r.opts.Callers[r.next%len(r.opts.Callers)]
	r.next++
	r.inFlight.Add(1)
	r.calls.Go(func() {
		defer r.inFlight.Add(-1)
		r.call(ctx, caller, request)
	})
}

func (r *runner) call(ctx context.Context, caller Caller, request *Request) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallerTimeout)
	defer cancel()
	answer, err := caller.Do(ctx, request.Job)
	response := time.Since(r.start) - request.Due
	r.tally.Add(request, answer, err, response)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
