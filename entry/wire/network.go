package wire

import (
	"context"
	"net"
	"time"
)

// Network opens listeners and connections. It is TCP in production and an
// in-memory network in scenarios.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Dial timeout and TCP keep-alive of connections.
const (
	dialTimeout       = 2 * time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// TCP is the network of the operating system. TCP keep-alive detects idle
// connections whose remote end is gone.
type TCP struct{}

// Listen opens a TCP listener.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return dialer.DialContext(ctx, network, address)
}
