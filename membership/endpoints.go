package membership

import "time"

// endpoint is a listed endpoint with what was observed of it here.
type endpoint struct {
	Endpoint
	listed      State     // Live or Leaving, by the list
	saysLeaving bool      // by its own word
	absentSince time.Time // zero: the latest trusted list has it
	silences    int       // in a row
	suspectTill time.Time
	suspicion   time.Duration // length of the last suspicion
}

// listEndpoints takes the list unless it has lost too much to be trusted.
func (t *Tracker) listEndpoints(list []Endpoint) {
	present := make(map[string]bool, len(list))
	for _, spec := range list {
		present[spec.Name] = true
		t.listEndpoint(spec)
	}
	if 2*len(present) < len(t.endpoints) {
		return
	}
	for name, e := range t.endpoints {
		if !present[name] && e.absentSince.IsZero() {
			e.absentSince = t.now
			t.update(e)
		}
	}
}

func (t *Tracker) listEndpoint(spec Endpoint) {
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
	t.update(e)
}

func (t *Tracker) answered(in *EndpointAnswered) {
	e := t.endpoints[in.Name]
	if e == nil {
		return
	}
	e.silences = 0
	e.suspicion = 0
	e.suspectTill = time.Time{}
	e.saysLeaving = in.Leaving
	t.update(e)
}

// silent counts a request without an answer. After some in a row the endpoint
// is suspect for a period that doubles each time.
func (t *Tracker) silent(name string) {
	e := t.endpoints[name]
	if e == nil {
		return
	}
	e.silences++
	if e.silences < silenceLimit {
		return
	}
	if t.now.Before(e.suspectTill) {
		return
	}
	e.suspicion = min(max(2*e.suspicion, minSuspicion), maxSuspicion)
	e.suspectTill = t.now.Add(e.suspicion)
	t.update(e)
}

func (t *Tracker) ageEndpoint(e *endpoint) {
	if !e.absentSince.IsZero() && t.now.Sub(e.absentSince) > absentGoneAfter {
		delete(t.endpoints, e.Name)
		t.changed = true
		return
	}
	t.update(e)
}

func (t *Tracker) update(e *endpoint) {
	next := t.stateOf(e)
	if next != e.State {
		e.State = next
		t.changed = true
	}
}

func (t *Tracker) stateOf(e *endpoint) State {
	switch {
	case e.saysLeaving || e.listed == Leaving:
		return Leaving
	case !e.absentSince.IsZero() || t.now.Before(e.suspectTill):
		return Suspect
	}
	return Live
}
