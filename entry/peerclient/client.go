// Package peerclient calls other entries over twirp.
package peerclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"lovagespread.example/entry/tlsfiles"
	"lovagespread.example/entry/wire"
	"lovagespread.example/peer/peerpb"
)

// Limits of the connections to one entry.
const (
	maxConns               = 512
	maxIdleConns           = 64
	idleTimeout            = time.Minute
	controlTimeout         = time.Second
	handoverTimeout        = 10 * time.Second // also for fetching the configuration
	maxResponseHeaderBytes = 16 << 10
)

// Client calls entries by the address of their peer listener. It is safe for
// concurrent use.
type Client struct {
	dialer  wire.Dialer
	tls     *tlsfiles.Source
	token   string
	traffic *http.Transport
	control *http.Transport
	meter   *wire.Meter // of control messages

	mu    sync.Mutex
	peers map[string]*peer // by address
}

// peer holds the stubs of one address.
type peer struct {
	traffic peerpb.Peer
	control peerpb.Peer
}

// New returns a client on the given network that sends the given token to every
// entry. If secure is nil, it uses plain TCP.
func New(network wire.Network, secure *tlsfiles.Source, token string) *Client {
	c := &Client{
		dialer: wire.Dialer{Network: network},
		tls:    secure,
		token:  token,
		peers:  make(map[string]*peer),
	}
	c.meter = wire.NewMeter(c.dialer.Dial)
	c.traffic = transport(c.withTLS(c.dialer.Dial))
	c.control = transport(c.withTLS(c.meter.Dial))
	return c
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// withTLS adds TLS to a dial function.
func (c *Client) withTLS(dial dialFunc) dialFunc {
	if c.tls == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(plain, c.tls.ClientConfig(host))
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, err
		}
		return conn, nil
	}
}

func transport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DialTLSContext:         dial,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// ControlMeter returns the meter of the control messages on the connections that
// this entry has opened.
func (c *Client) ControlMeter() *wire.Meter { return c.meter }

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		base := c.scheme() + address
		p = &peer{
			traffic: peerpb.NewPeerProtobufClient(base, &http.Client{Transport: c.traffic}),
			control: peerpb.NewPeerProtobufClient(base, &http.Client{Transport: c.control}),
		}
		c.peers[address] = p
	}
	return p
}

func (c *Client) scheme() string {
	if c.tls == nil {
		return "http://"
	}
	return "https://"
}

func (c *Client) withHeaders(ctx context.Context) context.Context {
	header := http.Header{}
	header.Set("User-Agent", "")
	if c.token != "" {
		header.Set("Authorization", "Bearer "+c.token)
	}
	withHeader, err := twirp.WithHTTPRequestHeaders(ctx, header)
	if err != nil {
		return ctx
	}
	return withHeader
}

// Heartbeat exchanges liveness, configuration version and load.
func (c *Client) Heartbeat(ctx context.Context, address string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(c.withHeaders(ctx), controlTimeout)
	defer cancel()
	return c.peer(address).control.Heartbeat(ctx, r)
}

// Configuration fetches the configuration of an entry if it is newer than the
// version in the request.
func (c *Client) Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error) {
	ctx, cancel := context.WithTimeout(c.withHeaders(ctx), handoverTimeout)
	defer cancel()
	return c.peer(address).control.Configuration(ctx, r)
}

// Forward sends a caller's request to the owner of its job. The context sets the
// deadline. The error is a *NotDeliveredError if nothing was written and nothing
// will be.
func (c *Client) Forward(ctx context.Context, address string, r *peerpb.ForwardRequest) (*peerpb.ForwardResponse, error) {
	attempt := wire.NewAttempt(time.Time{})
	resp, err := c.peer(address).traffic.Forward(attempt.Context(c.withHeaders(ctx)), r)
	if err != nil && !attempt.Seal() {
		return nil, &NotDeliveredError{Cause: err}
	}
	return resp, err
}

// NotDeliveredError reports a request of which no byte was written.
type NotDeliveredError struct{ Cause error }

func (e *NotDeliveredError) Error() string { return "nothing was written: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotDeliveredError) Unwrap() error { return e.Cause }

// HandOver sends a part of the ledger or status updates to the successor. The
// error is a *NotDeliveredError if nothing was written and nothing will be.
func (c *Client) HandOver(ctx context.Context, address string, r *peerpb.HandOverRequest) (*peerpb.HandOverResponse, error) {
	ctx, cancel := context.WithTimeout(c.withHeaders(ctx), handoverTimeout)
	defer cancel()
	attempt := wire.NewAttempt(time.Time{})
	resp, err := c.peer(address).traffic.HandOver(attempt.Context(ctx), r)
	if err != nil && !attempt.Seal() {
		return nil, &NotDeliveredError{Cause: err}
	}
	return resp, err
}
