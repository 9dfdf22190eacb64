// Package evacuation decides which endpoints of a failure domain may get new
// tasks while operators empty the domain, and after they have returned it to
// service. It does no I/O and reads no clock.
//
// A domain that is evacuated is drained in steps: the share of its endpoints that
// get tasks falls to 0, so that the other domains take over its load gradually. A domain that is returned is ramped up in the same way, because its
// endpoints are cold and its callers have moved.
//
//	in service --> draining --> evacuated --> returning --> in service
//	                  \____________________/^
//
// Each entry decides for itself from the operators' records. It keeps nothing
// that a restart could lose: an entry that learns of a request late, because it
// has just started or could not read the records, does not drain in steps.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Options are the durations of the ramps.
type Options struct {
	// Drain is the time from the first sight of a request until no endpoint of
	// the domain gets tasks. It must be well below the time within which a
	// request has to be in force, because entries see it at different times.
	Drain time.Duration
	// Return is the time from the removal of a request until all endpoints of
	// the domain get tasks again.
	Return time.Duration
}

// Ramps are the durations in use. Read requests are at most some seconds old, so that
// the drain leaves time for them within a bound of 5 s; the return takes longer,
// because endpoints that were idle are cold.
var Ramps = Options{Drain: 1500 * time.Millisecond, Return: 4 * time.Second}

// Phase is the state of a failure domain.
type Phase uint8

// Phases of a failure domain.
const (
	InService Phase = iota
	Draining        // fewer and fewer endpoints get tasks
	Evacuated       // no endpoint gets tasks
	Returning       // more and more endpoints get tasks
)

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string {
	return [...]string{"in_service", "draining", "evacuated", "returning"}[p]
}

// Change is a change of the phase of a failure domain.
type Change struct {
	Domain string
	Phase  Phase
}

// Tracker tracks the failure domains that are not fully in service. It is not
// safe for concurrent use. The zero value is not usable; see New.
type Tracker struct {
	opts    Options
	domains map[string]*ramp
}

// ramp is a linear change of the share of a domain's endpoints that get tasks.
type ramp struct {
	phase Phase
	began time.Time
	from  float64 // share when the ramp began
}

// New returns a tracker for which all domains are in service.
func New(opts Options) *Tracker {
	return &Tracker{opts: opts, domains: make(map[string]*ramp)}
}

// Set applies the list of domains whose evacuation is requested. If late, the
// list may have been in force for some time, so domains are not drained in steps.
// It returns the changes that this causes.
func (t *Tracker) Set(now time.Time, requested []string, late bool) []Change {
	var changes []Change
	for _, domain := range lo.Uniq(requested) {
		if change, changed := t.evacuate(now, domain, late); changed {
			changes = append(changes, change)
		}
	}
	for domain, r := range t.domains {
		if r.requested() && !slices.Contains(requested, domain) {
			t.domains[domain] = &ramp{phase: Returning, began: now, from: t.Share(now, domain)}
			changes = append(changes, Change{domain, Returning})
		}
	}
	sortChanges(changes)
	return changes
}

func (t *Tracker) evacuate(now time.Time, domain string, late bool) (Change, bool) {
	if r := t.domains[domain]; r != nil && (r.phase == Evacuated || r.phase == Draining && !late) {
		return Change{}, false
	}
	next := &ramp{phase: Draining, began: now, from: t.Share(now, domain)}
	if late || t.opts.Drain <= 0 {
		next.phase = Evacuated
	}
	t.domains[domain] = next
	return Change{domain, next.phase}, true
}

// requested reports whether the evacuation of the domain is requested.
func (r *ramp) requested() bool { return r.phase == Draining || r.phase == Evacuated }

// Advance ends the ramps that are due and returns the changes.
func (t *Tracker) Advance(now time.Time) []Change {
	var changes []Change
	for domain, r := range t.domains {
		switch {
		case r.phase == Draining && now.Sub(r.began) >= t.opts.Drain:
			r.phase = Evacuated
			changes = append(changes, Change{domain, Evacuated})
		case r.phase == Returning && now.Sub(r.began) >= t.opts.Return:
			delete(t.domains, domain)
			changes = append(changes, Change{domain, InService})
		}
	}
	sortChanges(changes)
	return changes
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Domain, b.Domain) })
}

// Idle reports whether all domains are in service.
func (t *Tracker) Idle() bool { return len(t.domains) == 0 }

// Phase returns the phase of a domain.
func (t *Tracker) Phase(domain string) Phase {
	if r := t.domains[domain]; r != nil {
		return r.phase
	}
	return InService
}

// Share returns the share of a domain's endpoints that may get tasks, from 0 to 1.
func (t *Tracker) Share(now time.Time, domain string) float64 {
	r := t.domains[domain]
	if r == nil {
		return 1
	}
	switch r.phase {
	case Draining:
		return r.from * (1 - progress(now.Sub(r.began), t.opts.Drain))
	case Returning:
		return r.from + (1-r.from)*progress(now.Sub(r.began), t.opts.Return)
	case Evacuated:
		return 0
	case InService:
	}
	return 1
}

// Shares returns the share of each domain that is not fully in service.
func (t *Tracker) Shares(now time.Time) map[string]float64 {
	if t.Idle() {
		return nil
	}
	return lo.MapValues(t.domains, func(_ *ramp, domain string) float64 { return t.Share(now, domain) })
}

func progress(passed, whole time.Duration) float64 {
	if whole <= 0 {
		return 1
	}
	return min(1, max(0, float64(passed)/float64(whole)))
}

// Admits reports whether an endpoint of a domain may get tasks. The order in
// which the endpoints of a domain are drained is the same at all entries and the
// reverse of the order in which they return.
func (t *Tracker) Admits(now time.Time, domain, endpoint string) bool {
	if t.Idle() {
		return true
	}
	share := t.Share(now, domain)
	return share >= 1 || rank(endpoint) < share
}

// rank maps the ID of an endpoint to [0, 1).
func rank(endpoint string) float64 {
	const bits = 53 // of a float64's mantissa
	return float64(xxhash.Sum64String(endpoint)>>(64-bits)) / (1 << bits)
}
