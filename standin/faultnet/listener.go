package faultnet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts connections with fault switches. It is safe for concurrent
// use.
type Listener struct {
	net.Listener

	delay  atomic.Int64 // before each write, in nanoseconds
	silent atomic.Bool  // whether new connections are silent

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Wrap returns a listener whose connections have fault switches.
func Wrap(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*Conn]struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: raw, listener: l}
	c.silent.Store(l.silent.Load())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// SetDelay makes every write wait for d first.
func (l *Listener) SetDelay(d time.Duration) { l.delay.Store(int64(d)) }

// SetSilent sets whether connections accepted from now on are silent.
func (l *Listener) SetSilent(on bool) { l.silent.Store(on) }

// SilenceOpen makes the open connections silent for the rest of their lifetime
// and returns their number.
func (l *Listener) SilenceOpen() int {
	return l.forEach(func(c *Conn) { c.silent.Store(true) })
}

// BreakOpen resets the open connections and returns their number.
func (l *Listener) BreakOpen() int {
	return l.forEach((*Conn).Break)
}

// OpenConnections returns the number of open connections.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Listener) forEach(f func(*Conn)) int {
	l.mu.Lock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
	return len(conns)
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
