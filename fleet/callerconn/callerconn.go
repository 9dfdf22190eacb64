// Package callerconn tells whether the connection of a caller is still open when its request
// is about to be served.
//
// An entry without processor time reads a request after its caller has given it up, or after
// the connection was reset: the kernel keeps what has arrived. The caller has sent its job
// to another entry by then, so the request must start nothing. net/http notices the end of
// a connection by a read of its own, at some time after the request was passed to its
// handler.
package callerconn

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// ErrClosed is the error of a connection that the caller has closed or half-closed.
var ErrClosed = errors.New("the caller has closed its connection: its request starts nothing")

type contextKey struct{}

// WithConn returns the context of the requests on a connection, for http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// Check returns ErrClosed, the error of the socket or that of the context if the caller of a
// request has gone, and nil if it waits, or if the kernel does not tell. It reads nothing.
func Check(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "the caller has disconnected")
	}
	conn, ok := ctx.Value(contextKey{}).(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil
	}
	var gone error
	if err := raw.Control(func(fd uintptr) { gone = peek(int(fd)) }); err != nil {
		return errors.Wrap(err, "the connection is closed")
	}
	return gone
}

// peek looks at the next byte of a socket without waiting for it.
func peek(fd int) error {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == nil && n == 0:
		return ErrClosed
	case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE), errors.Is(err, unix.ETIMEDOUT):
		return errors.Wrap(err, "the caller's connection is broken")
	}
	return nil // the next request, nothing yet, or an error that tells nothing of the caller
}
