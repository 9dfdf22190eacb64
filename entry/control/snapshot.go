package control

import (
	"slices"

	"lovagespread.example/catalog"
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/jobid"
	"lovagespread.example/membership"
)

// Snapshot is an immutable copy of the control state for the goroutines that
// serve requests.
type Snapshot struct {
	View    membership.View
	Catalog *catalog.Catalog
	Loads   []ServiceLoad
	// OpenJobs is the number of jobs that have not ended.
	OpenJobs   int
	Evacuation Evacuation // of this entry's failure domain
	// Owners are the incarnations whose jobs this entry answers for: its own
	// and those that have handed their jobs over to it. It is empty once this
	// entry has handed over its own jobs.
	Owners []jobid.Incarnation
}

// ServiceLoad is the load of one service at this entry.
type ServiceLoad struct {
	Service string
	Running int // attempts in flight
}

// Snapshot returns the latest snapshot. It is never nil.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

func (l *Loop) publish() {
	view := l.view
	view.Self.Successor = l.handover.successor
	snapshot := &Snapshot{
		View:     view,
		Catalog:  l.catalog,
		Loads:    l.loads.list(),
		OpenJobs: l.opts.Core.Open(),

		Evacuation: l.evacuation(),
		Owners:     l.opts.Core.Owners(),
	}
	l.snapshot.Store(snapshot)
	l.opts.Observer.Published(snapshot)
}

// endpointsIn returns the endpoints on which the core places tasks: those of
// this entry's failure domain, whose slots it shares with the other entries
// there. An endpoint that operators have drained counts as leaving, whatever
// state it reports.
func endpointsIn(view membership.View, c *catalog.Catalog) []dispatch.Endpoint {
	list := make([]dispatch.Endpoint, 0, len(view.Endpoints))
	for _, e := range view.Endpoints {
		if e.FailureDomain != view.Self.FailureDomain {
			break
		}
		list = append(list, dispatch.Endpoint{
			Name:          e.Name,
			Address:       e.Address,
			Service:       e.Service,
			Slots:         e.Slots,
			FailureDomain: e.FailureDomain,
			Rack:          e.Rack,
			Worker:        e.Worker,
			State:         applyDrains(stateOf(e.State), e, c),
			Capacity: catalog.Resources{
				MilliCores:   e.MilliCores,
				MemoryMiB:    e.MemoryMiB,
				Accelerators: e.Accelerators,
			},
		})
	}
	return list
}

func applyDrains(state dispatch.EndpointState, e membership.Endpoint, c *catalog.Catalog) dispatch.EndpointState {
	location := catalog.Location{Endpoint: e.Name, Rack: e.Rack, FailureDomain: e.FailureDomain}
	if c.Drained(location) {
		return dispatch.EndpointLeaving
	}
	return state
}

func stateOf(s membership.State) dispatch.EndpointState {
	switch s {
	case membership.Suspect:
		return dispatch.EndpointSuspect
	case membership.Leaving:
		return dispatch.EndpointLeaving
	}
	return dispatch.EndpointLive
}

// Owns reports whether this entry answers for the jobs of an incarnation.
func (s *Snapshot) Owns(id jobid.Incarnation) bool {
	return slices.Contains(s.Owners, id)
}
