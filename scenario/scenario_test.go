package scenario

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", Run)
}

func TestFaultsAlone(t *testing.T) {
	for _, fault := range Faults() {
		t.Run(fault.Name, func(t *testing.T) { RunFaults(t, fault) })
	}
}
