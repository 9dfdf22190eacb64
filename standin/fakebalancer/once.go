package fakebalancer

import (
	"net"
	"net/http"
)

// onceTransport sends each request at most once. A http.Transport by itself
// resends a request without a body when a reused connection breaks, so such
// requests get a connection of their own. Requests with a body that cannot be
// rewound, as those of a server never can, are not resent.
type onceTransport struct {
	reused *http.Transport
	fresh  *http.Transport
}

func newOnceTransport() *onceTransport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &onceTransport{
		reused: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerEntry,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		fresh: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// RoundTrip sends the request once.
func (t *onceTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody || r.GetBody != nil {
		return t.fresh.RoundTrip(r)
	}
	return t.reused.RoundTrip(r)
}
