// Package wire wraps network connections so that the sender of a request can
// determine reliably whether any byte of it was written.
package wire

import (
	"net"
	"sync"
	"time"
)

// Conn is a connection that carries one request at a time and records whether a
// write of the current request was attempted.
//
// Begin starts a request and Seal ends it: a write after Seal fails, so that the
// result of Seal is final.
type Conn struct {
	net.Conn
	expiry time.Time

	mu       sync.Mutex
	deadline time.Time
	written  bool
	sealed   bool
}

// NewConn wraps a connection. No request can be started on it from expiry on.
func NewConn(c net.Conn, expiry time.Time) *Conn {
	return &Conn{Conn: c, expiry: expiry}
}

// Begin starts a request whose first byte must be written before deadline.
func (c *Conn) Begin(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	c.written = false
	c.sealed = false
}

// Seal prevents further writes of the current request and reports whether any
// write of it was attempted.
func (c *Conn) Seal() (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// Write writes to the connection unless the request may no longer be started. It
// then writes nothing and returns a *NotWrittenError.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.allowWrite(time.Now()); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// allowWrite returns an error if nothing may be written at the given time. It
// marks the request as written before the first byte is sent, because after a
// failed write it is not known whether any byte was sent.
func (c *Conn) allowWrite(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return &NotWrittenError{Reason: ReasonSealed}
	}
	if c.written {
		return nil
	}
	if !c.deadline.IsZero() && !now.Before(c.deadline) {
		return &NotWrittenError{Reason: ReasonDeadlinePassed}
	}
	if !now.Before(c.expiry) {
		return &NotWrittenError{Reason: ReasonConnExpired}
	}
	c.written = true
	return nil
}

// Reason states why a write was refused.
type Reason string

// Reasons of a refused write.
const (
	ReasonSealed         Reason = "the request was abandoned"
	ReasonDeadlinePassed Reason = "the lease had expired"
	ReasonConnExpired    Reason = "the connection had reached its maximum age"
)

// NotWrittenError reports a write that was refused before any byte was sent.
type NotWrittenError struct{ Reason Reason }

func (e *NotWrittenError) Error() string {
	return "nothing was written: " + string(e.Reason)
}
