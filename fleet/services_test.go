package fleet

import (
	"strings"
	"testing"

	"lovagespread.example/dispatch/leased"
)

// heldIDs returns the endpoints that a loop passes to its core, in their order.
func heldIDs(l *Loop) string {
	var ids []string
	for _, e := range l.assigned() {
		ids = append(ids, string(e.ID))
	}
	return strings.Join(ids, " ")
}

// Guards against an endpoint of a service that the configuration does not name: it would
// be polled, and count as capacity, although nothing can run there. It also guards
// against one that is not used any more, or not again, when the configuration changes.
func TestEndpointsOfUnknownServicesAreNotUsed(t *testing.T) {
	l := testLoop(t, nil)
	setDirectory{Directory{Endpoints: []leased.Endpoint{
		{ID: "a", Service: "s", FailureDomain: "d0"}, {ID: "b", Service: "unknown", FailureDomain: "d0"}, {ID: "c", Service: "standby", FailureDomain: "d0"},
		{ID: "d", Service: "unknown", FailureDomain: "d9"},
	}}}.handle(l)
	for _, c := range []struct {
		configuration Configuration
		want          string
	}{
		{Configuration{}, "a b c d"}, // none yet
		{Configuration{Version: 1, Queues: []Queue{{Service: "s"}}}, "a"},
		{Configuration{Version: 2, Queues: []Queue{{Service: "s"}}, Services: []string{"standby"}}, "a c"},
		{Configuration{Version: 3, Queues: []Queue{{Service: "unknown"}}}, "b d"},
		{Configuration{Version: 4}, "a b c d"}, // names no service at all
	} {
		if c.configuration.Version > 0 {
			setDirectory{Directory{Version: c.configuration.Version, Configuration: &c.configuration}}.handle(l)
		}
		if got := heldIDs(l); got != c.want {
			t.Errorf("version %d: endpoints %q are used, want %q", c.configuration.Version, got, c.want)
		}
	}
}
