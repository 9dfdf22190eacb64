//go:build !broken_resend

package modelcheck

import (
	"testing"

	"pgregory.net/rapid"
)

// twoEntries returns a configuration of two entries and a job of two tasks.
func twoEntries(idempotent bool, faults Faults) *Config {
	return &Config{
		Entries:        2,
		Jobs:           [][]bool{{false, idempotent}},
		MaxAttempts:    2,
		MaxPartRecords: 1,
		MaxParts:       1,
		Faults:         faults,
	}
}

const maxStates = 2_000_000

// requireNoViolations fails the test unless the exploration was exhaustive and
// found no violation.
func requireNoViolations(t *testing.T, name string, report Report) {
	t.Helper()
	t.Logf("%s: %d states, %d transitions, depth %d, %d terminal states, %d violations",
		name, report.States, report.Transitions, report.Depth, report.TerminalStates, len(report.Violations))
	totals.states += report.States
	totals.violations += len(report.Violations)
	if report.Truncated {
		t.Errorf("%s: not exhaustive", name)
	}
	for _, v := range report.Violations {
		t.Errorf("%s: %s after %v", name, v.Description, v.Steps)
	}
}

// faultTable lists each kind of fault except a planned stop.
var faultTable = []struct {
	name string
	set  func(*Faults)
}{
	{"crash", func(f *Faults) { f.Crashes++ }},
	{"pause", func(f *Faults) { f.Pauses++ }},
	{"loss", func(f *Faults) { f.Losses++ }},
	{"duplicate", func(f *Faults) { f.Duplicates++ }},
	{"refusal", func(f *Faults) { f.Refusals++ }},
	{"failure", func(f *Faults) { f.Failures++ }},
	{"partition", func(f *Faults) { f.Partitions++ }},
	{"cancel", func(f *Faults) { f.Cancels++ }},
	{"rejection", func(f *Faults) { f.Rejections++ }},
	{"expiry", func(f *Faults) { f.Expiries++ }},
}

// TestModelPairs explores each pair of faults, including the same fault twice,
// with one idempotent task and without a planned stop.
func TestModelPairs(t *testing.T) {
	for i, a := range faultTable {
		for _, b := range faultTable[i:] {
			var faults Faults
			a.set(&faults)
			b.set(&faults)
			requireNoViolations(t, a.name+"+"+b.name, Explore(twoEntries(true, faults), maxStates))
		}
	}
}

// TestModelStop explores a planned stop together with each other fault.
func TestModelStop(t *testing.T) {
	for _, a := range faultTable {
		faults := Faults{Stops: 1}
		a.set(&faults)
		requireNoViolations(t, "stop+"+a.name, Explore(twoEntries(false, faults), maxStates))
	}
}

// TestRandomWalks checks the same invariants in larger systems.
func TestRandomWalks(t *testing.T) { rapid.Check(t, randomWalk) }
