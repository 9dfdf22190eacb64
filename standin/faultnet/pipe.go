package faultnet

import (
	"context"
	"net"
	"sync"
)

// PipeListener is a listener whose connections stay in memory. It serves
// tests in virtual time, for which sockets cannot be used.
type PipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	close sync.Once
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	return &PipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept waits for the next Dial.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Dial connects to the listener. It suits http.Transport.DialContext, whose
// network and address it ignores.
func (l *PipeListener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: l.Addr(), Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// Close makes Accept and Dial fail. Open connections stay.
func (l *PipeListener) Close() error {
	l.close.Do(func() { close(l.done) })
	return nil
}

// Addr returns a fixed address.
func (l *PipeListener) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }
