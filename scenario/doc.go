// Package scenario runs scripted scenarios against real entries.
//
// A scenario is a datadriven file. It builds a platform, endpoints and
// entries on a network in memory, submits jobs, brings faults about, and
// shows what callers, endpoints and logs saw. Time is virtual
// (testing/synctest); it passes only in the verbs that say so. The entries
// run their real HTTP servers and clients.
//
// The language is described in docs/SCENARIOS.md. A verb or argument that
// does not exist fails the scenario. Whatever a scenario shows, it also fails
// if at its end
//
//   - a task of a non-idempotent service was started more than once,
//   - a caller got an answer that misses a result or carries another's, or
//   - a job that was reported as not run had a task started.
package scenario
