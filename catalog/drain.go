package catalog

import "slices"

// Scope is what a drain covers.
type Scope string

// Scopes of a drain.
const (
	ScopeEndpoint      Scope = "endpoint"
	ScopeRack          Scope = "rack"
	ScopeFailureDomain Scope = "failure_domain"
)

// Scopes are all scopes.
var Scopes = []Scope{ScopeEndpoint, ScopeRack, ScopeFailureDomain}

// Drain takes endpoints out of use for new work until it is undone.
type Drain struct {
	Scope         Scope  `json:"scope"`
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain,omitempty"` // of a rack only
}

// Location tells where an endpoint is.
type Location struct {
	Endpoint      string
	Rack          string // empty: none
	FailureDomain string
}

// Covers reports whether the drain applies to an endpoint.
func (d Drain) Covers(l Location) bool {
	switch d.Scope {
	case ScopeEndpoint:
		return d.Name == l.Endpoint
	case ScopeRack:
		return d.Name == l.Rack && d.FailureDomain == l.FailureDomain
	case ScopeFailureDomain:
		return d.Name == l.FailureDomain
	}
	return false
}

// Drained reports whether an endpoint is out of use for new work.
func (c *Catalog) Drained(l Location) bool {
	return slices.ContainsFunc(c.Drains, func(d Drain) bool { return d.Covers(l) })
}
