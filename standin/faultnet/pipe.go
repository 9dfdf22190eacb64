package faultnet

import (
	"context"
	"net"
	"sync"
)

// PipeListener is a listener with in-memory connections. It is for tests in
// virtual time, which cannot use sockets.
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

// Dial connects to the listener. It can be used as http.Transport.DialContext
// and ignores the network and the address.
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

// Close makes Accept and Dial fail. Connections that are open stay open.
func (l *PipeListener) Close() error {
	l.close.Do(func() { close(l.done) })
	return nil
}

// Addr returns a fixed address.
func (l *PipeListener) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }
