package wire

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// Attempt tracks the connections that the HTTP transport uses for one request.
type Attempt struct {
	deadline time.Time

	mu            sync.Mutex
	conns         []*Conn
	untrackedConn bool // a connection that does not wrap a *Conn was used
}

// NewAttempt returns an attempt whose first byte must be written before
// deadline.
func NewAttempt(deadline time.Time) *Attempt { return &Attempt{deadline: deadline} }

// Context returns a context that makes the transport report connections to the
// attempt.
func (a *Attempt) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
}

func (a *Attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := unwrap(info.Conn)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ok {
		a.untrackedConn = true
		return
	}
	c.Begin(a.deadline)
	a.conns = append(a.conns, c)
}

// Seal prevents further writes and reports whether any byte may have been
// written. If it returns false, the request was not sent and will not be sent.
func (a *Attempt) Seal() (written bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	written = a.untrackedConn
	for _, c := range a.conns {
		if c.Seal() {
			written = true
		}
	}
	return written
}

// unwrap returns the *Conn that underlies a wrapped connection such as TLS.
func unwrap(c net.Conn) (*Conn, bool) {
	for {
		if wrapped, ok := c.(*Conn); ok {
			return wrapped, true
		}
		inner, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		c = inner.NetConn()
	}
}
