// Package listen provides HTTP servers and listeners with limits on headers, time
// and connections.
package listen

import (
	"net"
	"net/http"
	"sync"
	"time"

	"lovagespread.example/client/callerapi"
)

// Limits of every listener.
const (
	MaxConnections    = 8192
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	writeMargin       = 30 * time.Second
	writeTimeout      = callerapi.MaxWait + writeMargin
)

// NewServer returns an HTTP server with the header and time limits set.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// LimitListener returns a listener that has at most max connections open at a
// time. Further connections wait in the kernel's backlog.
func LimitListener(l net.Listener, max int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, max), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept waits until fewer than max connections are open, then for a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &countedConn{Conn: c, release: func() { <-l.slots }}, nil
}

// Close closes the listener and unblocks Accept.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// countedConn releases its slot when it is closed.
type countedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and releases its slot.
func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
