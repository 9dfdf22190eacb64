package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections are the open connections of a server on which no response was completed
// since the last request began, or no request has arrived yet. Set its method observe as
// the ConnState hook of the server.
type connections struct {
	mu     sync.Mutex
	unused map[net.Conn]time.Time // since when they are open without a request
	active map[net.Conn]struct{}
}

func newConnections() *connections {
	return &connections{unused: make(map[net.Conn]time.Time), active: make(map[net.Conn]struct{})}
}

func (c *connections) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unused, conn)
	delete(c.active, conn)
	switch state {
	case http.StateNew:
		c.unused[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = struct{}{}
	}
}

// counts returns the numbers of connections with an open request, and of those without
// any request so far.
func (c *connections) counts() (active, unused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active), len(c.unused)
}

// closeUnused closes the connections that have been open without a request for the given
// time. It returns how many there were.
func (c *connections) closeUnused(after time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	closed := 0
	for conn, since := range c.unused {
		if time.Since(since) < after {
			continue
		}
		_ = conn.Close() // the server sees that, and removes it
		delete(c.unused, conn)
		closed++
	}
	return closed
}
