// Package evacuationcheck checks the bound of an evacuation in a model of a small
// fleet in virtual time: five entries of three failure domains, four endpoints in
// each, the operators' log and callers. Operators request the evacuation of two of
// the domains, repeat requests and remove them.
//
// The decisions are those of the product: the records that an entry has read
// (follow.Copy), which list of requests is in force (evacuation.Requests), which
// entry holds which cell (cells.Roster), and all starts (leased.Core with its
// evacuation.Tracker). The model replaces the clock, the network, the store and the
// endpoints, and calls the decisions as package fleet does.
//
// A seed determines the requests and the faults: reads that are answered late, from
// an older state or not at all, cut links, crashes and restarts, lost requests, and
// delegated tasks that arrive seconds late. All faults end before the last third of
// a run.
//
// # Checked invariants
//
//   - An entry in contact with the platform sends no Start in an evacuated domain
//     later than Bound after the store has acknowledged the request (see contact).
//   - An entry that is connected to such an entry sends none either.
//   - Once the faults have ended, each entry knows the requests that are in force,
//     and each domain without a request gets tasks.
package evacuationcheck

import "time"

// Bound is the time after the acknowledgement of a request from which on no task
// is started in the domain (evacuate_ms of the settings).
const Bound = 5 * time.Second

// Mutant is a fault that the model injects, to check that it would be detected.
type Mutant uint8

// Mutants.
const (
	NoMutant Mutant = iota
	// UnboundedDrain drains in steps also when the request is seen late. As the
	// store acknowledges a request before the holders know of it, the drain may
	// then end at any time.
	UnboundedDrain
	// UnawareHolder drops requests for domains in which the entry holds no endpoints
	// yet. It may get some later.
	UnawareHolder
	// StartsDelegated starts delegated tasks in an evacuated domain.
	StartsDelegated
	// HoldsBeforeRead holds endpoints before the requests are known.
	HoldsBeforeRead
)

// Options select a run of the model.
type Options struct {
	Seed   uint64
	Mutant Mutant
	Log    func(at time.Duration, event string) // nil: nothing is logged
}

// Result is the outcome of a run.
type Result struct {
	Violations []string
	Starts     int // all starts
	Late       int // starts later than Bound, by entries without contact
	Requests   int // acknowledged records of the operators
	Delegated  int // delegated tasks that have arrived
	Restarts   int // of entries
}

// Times of a run.
const (
	faultsBegin = 1500 * time.Millisecond
	faultsEnd   = 11 * time.Second
	runLength   = 20 * time.Second
)

// Run runs the model with a seed.
func Run(o Options) *Result {
	w := newWorld(o)
	w.schedule()
	return w.run()
}

// run runs what was scheduled and checks it.
func (w *world) run() *Result {
	w.runUntil(runLength)
	w.checkStarts()
	w.checkEnd()
	return &w.result
}
