package fakebalancer

import (
	"net"
	"net/http"
)

// noRetryTransport sends each request at most once. A http.Transport by itself
// resends a request without a body when a reused connection breaks, so such
// requests get a connection of their own. Requests with a body that cannot be
// rewound, as those of a server never can, are not resent.
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

// RoundTrip sends the request once.
func (t *noRetryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody || r.GetBody != nil {
		return t.unpooled.RoundTrip(r)
	}
	return t.pooled.RoundTrip(r)
}
