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
		t.Run(fault.Name, func(t *testing.T) {
			t.Parallel()
			RunFaults(t, fault)
		})
	}
}

func TestFaultPairs(t *testing.T) {
	for _, first := range Faults() {
		for _, second := range Faults() {
			t.Run(first.Name+" then "+second.Name, func(t *testing.T) {
				t.Parallel()
				RunFaults(t, first, second)
			})
		}
	}
}
