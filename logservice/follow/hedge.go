package follow

import (
	"context"
	"time"

	"lovagespread.example/logservice/platformapi"
)

// HedgeDelay is the time after the expected end of a long poll at which a second
// read starts in parallel. The first read may be on an unresponsive connection,
// or the platform may be slow; only a second read can tell the two apart.
const HedgeDelay = time.Second

type readResult struct {
	response platformapi.ReadResponse
	err      error
}

// readHedged returns the first successful reply of at most two reads.
func (f *Follower) readHedged(ctx context.Context, request readRequest) (platformapi.ReadResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // aborts the other read and closes its connection
	results := make(chan readResult, 2)
	read := func(wait time.Duration) {
		response, err := f.opts.Log.Read(ctx, f.opts.Stream, request.from, platformapi.MaxReadRecords, wait)
		results <- readResult{response: response, err: err}
	}
	go read(request.wait)
	timer := time.NewTimer(request.wait + HedgeDelay)
	defer timer.Stop()
	select {
	case first := <-results:
		return first.response, first.err
	case <-timer.C:
	}
	go read(0)
	first := <-results
	if first.err == nil {
		return first.response, nil
	}
	second := <-results
	return second.response, second.err
}
