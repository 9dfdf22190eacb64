package membership

import "time"

// endpoint is a listed endpoint and what this entry has observed of it.
type endpoint struct {
	Endpoint
	listed         State     // Live or Leaving, according to the list
	reportsLeaving bool      // according to the endpoint itself
	absentSince    time.Time // zero: included in the latest trusted list
	unanswered     int       // consecutive requests without an answer
	suspectUntil   time.Time
	suspectPeriod  time.Duration // length of the latest suspect period
}

// applyEndpointList adds and updates the listed endpoints. It marks missing
// endpoints as absent unless the list is too short to be trusted: shorter than
// half of the known endpoints.
func (t *Tracker) applyEndpointList(list []Endpoint) {
	present := make(map[string]bool, len(list))
	for _, spec := range list {
		present[spec.Name] = true
		t.applyListedEndpoint(spec)
	}
	if 2*len(present) < len(t.endpoints) {
		return
	}
	for name, e := range t.endpoints {
		if !present[name] && e.absentSince.IsZero() {
			e.absentSince = t.now
			t.updateState(e)
		}
	}
}

func (t *Tracker) applyListedEndpoint(spec Endpoint) {
	e := t.endpoints[spec.Name]
	if e == nil {
		e = &endpoint{}
		t.endpoints[spec.Name] = e
		t.changed = true
	}
	listed := spec.State
	spec.State = e.State
	if e.Endpoint != spec {
		e.Endpoint = spec
		t.changed = true
	}
	e.listed = listed
	e.absentSince = time.Time{}
	t.updateState(e)
}

func (t *Tracker) endpointAnswered(in *EndpointAnswered) {
	e := t.endpoints[in.Name]
	if e == nil {
		return
	}
	e.unanswered = 0
	e.suspectPeriod = 0
	e.suspectUntil = time.Time{}
	e.reportsLeaving = in.Leaving
	t.updateState(e)
}

// endpointUnresponsive counts a request without an answer. After maxUnanswered
// consecutive ones the endpoint is suspect for a period that doubles each time.
func (t *Tracker) endpointUnresponsive(name string) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	e.unanswered++
	if e.unanswered < maxUnanswered {
		return
	}
	if t.now.Before(e.suspectUntil) {
		return
	}
	e.suspectPeriod = min(max(2*e.suspectPeriod, minSuspectPeriod), maxSuspectPeriod)
	e.suspectUntil = t.now.Add(e.suspectPeriod)
	t.updateState(e)
}

func (t *Tracker) ageEndpoint(e *endpoint) {
	if !e.absentSince.IsZero() && t.now.Sub(e.absentSince) > removeAbsentAfter {
		delete(t.endpoints, e.Name)
		t.changed = true
		return
	}
	t.updateState(e)
}

func (t *Tracker) updateState(e *endpoint) {
	next := t.stateOf(e)
	if next != e.State {
		e.State = next
		t.changed = true
	}
}

func (t *Tracker) stateOf(e *endpoint) State {
	switch {
	case e.reportsLeaving || e.listed == Leaving:
		return Leaving
	case !e.absentSince.IsZero() || t.now.Before(e.suspectUntil):
		return Suspect
	}
	return Live
}
