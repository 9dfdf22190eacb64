package scenario

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", Run)
}
