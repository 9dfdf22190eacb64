// Package scenario runs scripted scenarios against real entries.
//
// A scenario is a datadriven file. It creates a platform, endpoints and
// entries on an in-memory network, submits jobs, injects faults, and prints
// what callers, endpoints and logs observed. Time is virtual
// (testing/synctest) and passes only in the verbs that are documented to let
// it pass. The entries run their real HTTP servers and clients.
//
// The language is described in docs/SCENARIOS.md. An unknown verb or argument
// fails the scenario. Regardless of its output, a scenario also fails if, at
// its end,
//
//   - a task of a non-idempotent service was started more than once,
//   - a caller received an answer that lacks a result or contains the result
//     of another task, or
//   - a job that was reported as not run had a task started.
package scenario
