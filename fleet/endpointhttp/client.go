// Package endpointhttp makes HTTP requests to one endpoint and decides when its idle
// connections are taken for dead.
package endpointhttp

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options are the limits of a Client.
type Options struct {
	DialTimeout    time.Duration
	IdleTimeout    time.Duration // after which an unused connection is closed
	MaxIdle        int           // idle connections
	MaxHeaderBytes int64         // of a response
	MaxBodyBytes   int64         // of a response; of a larger one, one byte more is returned
}

// Client makes requests to one endpoint. Endpoints have clients of their own, so that an
// unresponsive one affects only its own connections. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	maxBody int64

	mu         sync.Mutex
	answeredAt time.Time // when the newest response was complete
}

// New returns a client. It follows no redirects: another address is not this endpoint.
func New(o Options) *Client {
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	return &Client{maxBody: o.MaxBodyBytes, http: &http.Client{
		Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: o.MaxIdle, IdleConnTimeout: o.IdleTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: o.MaxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends a request and returns the status and the body of the response. The error is
// that of net/http if there is no complete response.
func (c *Client) Do(req *http.Request) (status int, body []byte, err error) {
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		c.failed(began)
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, c.maxBody+1))
	if err != nil {
		c.failed(began)
		return 0, nil, err
	}
	c.answered()
	return resp.StatusCode, body, nil
}

func (c *Client) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredAt = time.Now()
}

// failed closes the idle connections after a call without a response, because they may
// be dead as well. It keeps them if the endpoint has answered another call since the
// failed one began: idle connections are used before new ones are opened, so dead ones
// would have failed, too.
func (c *Client) failed(began time.Time) {
	c.mu.Lock()
	answeredSince := c.answeredAt.After(began)
	c.mu.Unlock()
	if !answeredSince {
		c.http.CloseIdleConnections()
	}
}
