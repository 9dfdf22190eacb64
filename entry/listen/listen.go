// Package listen builds HTTP servers with limits on headers, time and
// connections.
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

// NewServer returns a server with the limits set.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// LimitListener returns a listener that holds at most max connections at once.
// Further ones wait in the kernel's backlog.
func LimitListener(l net.Listener, max int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, max), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Accept waits for a free slot, then for a connection.
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

// Close stops the listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// countedConn frees its slot when it is closed.
type countedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
