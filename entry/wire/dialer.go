package wire

import (
	"context"
	"math/rand/v2"
	"net"
	"time"
)

// Limits of the age of a connection. Each connection expires at a random age
// between MaxConnAge and MaxConnAge + connAgeJitter.
const (
	MaxConnAge    = 2 * time.Minute
	connAgeJitter = 30 * time.Second
)

// Dialer opens connections on a network.
type Dialer struct{ Network Network }

// Dial opens a connection and wraps it in a Conn that expires at a random age.
func (d Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := d.Network.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(c, time.Now().Add(MaxConnAge+rand.N(connAgeJitter))), nil
}
