package logservice

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// connectionTrace records whether a request was assigned a connection. Before
// that, no byte of the request can have been written.
type connectionTrace struct{ gotConn atomic.Bool }

func (t *connectionTrace) connected() bool { return t.gotConn.Load() }

func traceConnection(ctx context.Context) (context.Context, *connectionTrace) {
	trace := &connectionTrace{}
	hooks := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { trace.gotConn.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, hooks), trace
}
