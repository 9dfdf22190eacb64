package wire

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts the bytes of the connections that it opens. It is safe for
// concurrent use.
type Meter struct {
	dial           func(ctx context.Context, network, address string) (net.Conn, error)
	sent, received atomic.Int64
}

// NewMeter returns a meter for connections opened by dial.
func NewMeter(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Meter {
	return &Meter{dial: dial}
}

// Dial opens a connection whose bytes are counted.
func (m *Meter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := m.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: m}, nil
}

// Sent returns the number of bytes written.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Received returns the number of bytes read.
func (m *Meter) Received() int64 { return m.received.Load() }

// meteredConn adds the bytes of a connection to a Meter.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(int64(n))
	return n, err
}

// NetConn returns the underlying connection.
func (c *meteredConn) NetConn() net.Conn { return c.Conn }
