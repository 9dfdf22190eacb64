package catalog

import "slices"

// Scope is the kind of object that a drain covers.
type Scope string

// Scopes of a drain.
const (
	ScopeEndpoint      Scope = "endpoint"
	ScopeRack          Scope = "rack"
	ScopeFailureDomain Scope = "failure_domain"
)

// Scopes lists all scopes.
var Scopes = []Scope{ScopeEndpoint, ScopeRack, ScopeFailureDomain}

// Drain keeps new work away from the endpoints that it covers until it is
// removed.
type Drain struct {
	Scope         Scope  `json:"scope"`
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain,omitempty"` // only if Scope is ScopeRack
}

// Location is the location of an endpoint.
type Location struct {
	Endpoint      string
	Rack          string // empty: none
	FailureDomain string
}

// Covers reports whether the drain applies to the endpoint at l.
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

// Drained reports whether a drain covers the endpoint at l.
func (c *Catalog) Drained(l Location) bool {
	return slices.ContainsFunc(c.Drains, func(d Drain) bool { return d.Covers(l) })
}
