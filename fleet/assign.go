package fleet

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/membership/cells"
)

// assigned returns the endpoints whose service the configuration names. Others name no
// endpoint to use. Before the first configuration, and if that names no service, these
// are all endpoints.
func (l *Loop) assigned() []leased.Endpoint {
	services := l.directory.Configuration.services()
	all := l.directory.Endpoints
	unknown := func(e leased.Endpoint) bool { return !services[e.Service] }
	if len(services) == 0 || !slices.ContainsFunc(all, unknown) { // the usual case, without a copy
		return all
	}
	return lo.Reject(all, func(e leased.Endpoint, _ int) bool { return unknown(e) })
}

// assignEndpoints passes the endpoints that this entry holds to the core.
func (l *Loop) assignEndpoints() {
	assigned := l.assigned()
	counts := make(map[string]int)
	for i := range assigned {
		counts[assigned[i].FailureDomain]++
	}
	for domain, n := range counts {
		l.cellCounts[domain] = cells.Count(n, l.settings.EndpointsPerCell)
	}
	var held []leased.Endpoint
	holds := make(map[cells.Cell]bool)
	for _, e := range assigned {
		cell := cells.ForEndpoint(e.FailureDomain, string(e.ID), l.cellCounts[e.FailureDomain])
		hold, known := holds[cell]
		if !known {
			hold = !l.fencedWhileIsolated && !l.awaitsEvacuations() && !l.stopping && l.view.Holds(cell)
			holds[cell] = hold
		}
		if hold {
			e.Cell = cell.String()
			held = append(held, e)
		}
	}
	l.step(&leased.SetEndpoints{Endpoints: held})
	l.updateMaxCheckGap() // holders send heartbeats more often
}

// nextToken returns a fencing token above floor, above all tokens that this
// entry has seen, and not below the time of day: after all entries have lost
// power, nothing remembers the last tokens but the endpoints. A time of day that
// is wrong costs some rejected polls. The low bits distinguish entries.
func (l *Loop) nextToken(floor int64) int64 {
	const low = 1 << tokenLowBits
	epoch := max(max(l.maxToken, floor)>>tokenLowBits+1, time.Now().UnixMilli())
	l.maxToken = epoch<<tokenLowBits | int64(uint64(l.view.Self.Incarnation)%low)
	return l.maxToken
}

// tokenLowBits is the number of bits of a token that distinguish entries.
const tokenLowBits = 10

// yields reports whether this entry leaves the endpoints of a cell to another
// holder that has fenced it off.
func (l *Loop) yields(cell string) bool {
	for domain, n := range l.cellCounts {
		for _, c := range cells.All(domain, n) {
			if c.String() == cell {
				return !l.view.Reclaims(c)
			}
		}
	}
	return true
}
