package leased

// freeIndex keeps the free millicores of all endpoints in one slice, so that a
// search for capacity reads only the endpoints that have enough.
type freeIndex struct {
	free []int // in the order of Core.endpointList
}

// rebuild replaces the list of endpoints.
func (x *freeIndex) rebuild(list []*endpoint) {
	x.free = x.free[:0]
	for i, e := range list {
		e.position = i
		x.free = append(x.free, e.free().MilliCores)
	}
}

// update applies a change of an endpoint's free capacity.
func (x *freeIndex) update(e *endpoint) {
	if e.position < len(x.free) {
		x.free[e.position] = e.free().MilliCores
	}
}
