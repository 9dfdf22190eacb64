package peerclient

import (
	"context"
	"net"
	"sync/atomic"
)

// dialMetered opens a connection whose bytes are counted as control.
func (c *Client) dialMetered(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &metered{Conn: conn, sent: &c.sent, got: &c.got}, nil
}

// metered counts the bytes of a connection.
type metered struct {
	net.Conn
	sent, got *atomic.Int64
}

// Read counts what was read.
func (m *metered) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.got.Add(int64(n))
	return n, err
}

// Write counts what was written.
func (m *metered) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	m.sent.Add(int64(n))
	return n, err
}

// NetConn returns the connection below.
func (m *metered) NetConn() net.Conn { return m.Conn }
