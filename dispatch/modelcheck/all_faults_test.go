//go:build !broken_resend && !race

package modelcheck

import "testing"

// TestModelAllFaults explores one crash, one pause past the lease, one loss,
// one partition and one planned stop together. It is excluded under the race
// detector, which makes it too slow and finds nothing because the exploration
// is sequential.
func TestModelAllFaults(t *testing.T) {
	faults := Faults{Crashes: 1, Pauses: 1, Losses: 1, Partitions: 1, Stops: 1}
	requireNoViolations(t, "all faults", Explore(twoEntries(false, faults), maxStates))
}
