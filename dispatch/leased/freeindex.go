package leased

// freeIndex keeps the free thousandths of a core of all endpoints side by side,
// so that a search for room reads only endpoints that have it.
type freeIndex struct {
	free []int // in the order of Core.order
}

// rebuild takes a new list of endpoints.
func (x *freeIndex) rebuild(list []*endpoint) {
	x.free = x.free[:0]
	for i, e := range list {
		e.position = i
		x.free = append(x.free, e.free().MilliCores)
	}
}

// update takes a change of what an endpoint has free.
func (x *freeIndex) update(e *endpoint) {
	if e.position < len(x.free) {
		x.free[e.position] = e.free().MilliCores
	}
}
