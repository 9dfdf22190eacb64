package leased

import "slices"

// Announced free capacity tells nothing of labels. A task that requires one may be refused
// by a cell that always looks best, while the endpoints that it needs are elsewhere. So it
// is delegated to each cell once, before it is delegated to the same one again.

// noteRefusal records that the cell to which a task was delegated has no room for it.
func (t *task) noteRefusal() {
	if t.step.Label != "" {
		t.refusedBy = append(t.refusedBy, t.delegatedCell)
	}
}

// wasRefusedBy reports whether a cell has refused the task in this round.
func (t *task) wasRefusedBy(cell string) bool { return slices.Contains(t.refusedBy, cell) }

// mayFitIn reports whether an idle endpoint of a cell could run a task. One that could not
// must not wait there.
func (c *Core) mayFitIn(t *task, cell string) bool {
	if t.step.Label == "" {
		return true
	}
	return slices.ContainsFunc(c.endpointList, func(e *endpoint) bool {
		return e.Cell == cell && !e.dropped && e.Service == t.job.Service && t.step.fits(&e.Endpoint)
	})
}
