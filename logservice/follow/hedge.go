package follow

import (
	"context"
	"time"

	"lovagespread.example/logservice/platformapi"
)

// HedgeDelay is the time past the end of a long poll after which a second
// read is made beside it. The first may be on a connection that has gone
// silent, or the platform may be slow: only the second read tells.
const HedgeDelay = time.Second

type readResult struct {
	response platformapi.ReadResponse
	err      error
}

// readHedged returns the first good reply of at most two reads.
func (f *Follower) readHedged(ctx context.Context, request readRequest) (platformapi.ReadResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the other read and its connection
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
