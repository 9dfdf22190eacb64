package fakebalancer

import (
	"net"
	"net/http"
)

// noRetryTransport sends each request at most once. An http.Transport retries a
// request without a body if a reused connection breaks, so such requests get a
// new connection each. It does not retry a request whose body cannot be rewound,
// and the body of a request that a server received never can.
type noRetryTransport struct {
	pooled   *http.Transport
	unpooled *http.Transport
}

func newNoRetryTransport() *noRetryTransport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &noRetryTransport{
		pooled: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerEntry,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		unpooled: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// RoundTrip sends the request without a retry.
func (t *noRetryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody || r.GetBody != nil {
		return t.unpooled.RoundTrip(r)
	}
	return t.pooled.RoundTrip(r)
}
