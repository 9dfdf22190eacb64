package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// Ages of connections.
const (
	MaxConnAge    = 2 * time.Minute
	connAgeJitter = 30 * time.Second
)

// Dialer opens connections on a network.
type Dialer struct{ Network Network }

// Dial opens a connection wrapped in a Conn. It ages out at a random time
// around MaxConnAge.
func (d Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.Network.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(c, time.Now().Add(MaxConnAge+rand.N(connAgeJitter))), nil
}
