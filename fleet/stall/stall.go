// Package stall ends requests of which nothing has arrived for some time. Unlike a limit
// on the whole time, it lets a long response over a slow link arrive.
package stall

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// Error reports a response of which nothing has arrived for some time.
type Error struct {
	Call  string
	After time.Duration
}

func (e *Error) Error() string {
	return fmt.Sprintf("nothing of the response to %s has arrived for %v: check the server and the link to it", e.Call, e.After)
}

// timerKey is the key of the function that restarts the timer of a request's context.
type timerKey struct{}

// Do runs a request with a context that ends after limit, or once the request has read
// nothing by a Reader of that context for the timeout. The error is an *Error then.
func Do(ctx context.Context, call string, timeout, limit time.Duration, request func(ctx context.Context) ([]byte, error)) ([]byte, error) {
	ctx, end := context.WithTimeout(ctx, limit)
	defer end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(timeout, func() { cancel(&Error{call, timeout}) })
	defer timer.Stop()
	data, err := request(context.WithValue(ctx, timerKey{}, func() { timer.Reset(timeout) }))
	if cause, ok := errors.Into[*Error](context.Cause(ctx)); ok && err != nil {
		return nil, cause
	}
	return data, err
}

// Reader returns a reader of a response to the request that Do runs with a context. It
// returns the given reader for any other context.
func Reader(ctx context.Context, response io.Reader) io.Reader {
	arrived, ok := ctx.Value(timerKey{}).(func())
	if !ok {
		return response
	}
	return reader{response, arrived}
}

// reader calls arrived after each read that has returned bytes.
type reader struct {
	io.Reader
	arrived func()
}

func (r reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.arrived()
	}
	return n, err
}
