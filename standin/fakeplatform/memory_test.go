package fakeplatform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
)

// memoryListener connects clients and a server through net.Pipe, so that
// testing/synctest detects when all of them are blocked.
type memoryListener struct {
	connections chan net.Conn
	closed      chan struct{}

	mu     sync.Mutex
	dialed []*silentConn
}

// silence makes all connections dialed so far silent for the rest of their
// lifetime. New connections work.
func (l *memoryListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.dialed {
		c.silent.Store(true)
	}
}

// silentConn is a connection that can become silent: it transfers no more data,
// and neither side gets an error.
type silentConn struct {
	net.Conn
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func newMemoryListener() *memoryListener {
	return &memoryListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	close(l.closed)
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory"} }

func (l *memoryListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.connections <- server:
		c := &silentConn{Conn: client, closed: make(chan struct{})}
		l.mu.Lock()
		l.dialed = append(l.dialed, c)
		l.mu.Unlock()
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// memoryPlatform serves a platform over in-memory connections. It returns a
// function that creates clients.
func memoryPlatform(t *testing.T, opts Options) (*Platform, func() *logservice.Client) {
	t.Helper()
	p, _, client := memoryNetwork(t, opts)
	return p, client
}

// memoryNetwork is like memoryPlatform but also returns the listener, which
// gives access to the connections.
func memoryNetwork(t *testing.T, opts Options) (*Platform, *memoryListener, func() *logservice.Client) {
	t.Helper()
	p := New(opts)
	listener := newMemoryListener()
	server := &http.Server{Handler: p.Handler()}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return p, listener, func() *logservice.Client {
		transport := &http.Transport{DialContext: listener.dial}
		t.Cleanup(transport.CloseIdleConnections)
		client, err := logservice.NewClient(logservice.Options{
			URL:        "http://platform",
			HTTPClient: &http.Client{Transport: transport},
			Timeout:    2 * time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		return client
	}
}

// detachableLog is a log that can be disconnected: while it is detached, reads
// fail.
type detachableLog struct {
	logservice.Log
	detached atomic.Bool
}

func (l *detachableLog) setDetached(detached bool) { l.detached.Store(detached) }

func (l *detachableLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformapi.ReadResponse, error) {
	response, err := l.Log.Read(ctx, stream, from, limit, wait)
	if l.detached.Load() {
		return platformapi.ReadResponse{}, &logservice.UnavailableError{Operation: "read", Cause: net.ErrClosed}
	}
	return response, err
}
