package faultnet

import (
	"net"
	"sync/atomic"
	"time"
)

// Conn is a connection with fault switches.
type Conn struct {
	net.Conn

	listener *Listener
	silent   atomic.Bool
}

// Read returns what the peer sent. Once the connection is silent, it discards
// all received data and returns only when the connection ends.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends b. Once the connection is silent, it reports success and sends
// nothing.
func (c *Conn) Write(b []byte) (int, error) {
	if delay := c.listener.delay.Load(); delay > 0 {
		time.Sleep(time.Duration(delay))
	}
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// Break resets the connection: the peer gets an error instead of a regular end
// of the stream.
func (c *Conn) Break() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
