package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// Ages and probes of connections.
const (
	MaxConnAge   = 2 * time.Minute
	ageJitter    = 30 * time.Second
	dialTimeout  = 2 * time.Second
	probeIdle    = 5 * time.Second
	probeSpacing = 2 * time.Second
	probeCount   = 3
)

// Dial opens a TCP connection wrapped in a Conn. The kernel probes it, so
// that one whose other end has gone is noticed while idle; and it ages out at
// a random time around MaxConnAge.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeSpacing, Count: probeCount,
		},
	}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(c, time.Now().Add(MaxConnAge+rand.N(ageJitter))), nil
}
