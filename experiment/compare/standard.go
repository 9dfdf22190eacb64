package compare

import (
	"regexp"

	"github.com/go-faster/errors"
)

// Defaults of a comparison.
const (
	DefaultSeeds    = 5
	DefaultParallel = 4
)

// Headline holds the figures that have a target.
type Headline struct {
	SlowdownP99Load80 float64 `json:"slowdown_p99_load80"`
	BurstP99VsFIFO    float64 `json:"burst_p99_vs_fifo"`
	BurstP99VsOracle  float64 `json:"burst_p99_vs_oracle"`
	WasteNoFaults     float64 `json:"waste_no_faults"`
	WasteFaults       float64 `json:"waste_faults"`
	Goodput200        float64 `json:"goodput_200"`
	FloodP99Increase  float64 `json:"flood_p99_increase"`
}

// Report is the outcome of a comparison. Headline is nil if a case that it
// needs was not run.
type Report struct {
	Rows     []Row
	Headline *Headline
}

// Standard runs the standard cases whose scenario/policy matches the regular
// expression.
func Standard(only string, seeds, parallel int) (*Report, error) {
	pattern, err := regexp.Compile(only)
	if err != nil {
		return nil, errors.Wrap(err, "the expression that selects cases")
	}
	var cases []Case
	for _, c := range standardCases() {
		if pattern.MatchString(c.Scenario().Name + "/" + c.Policy.Name) {
			cases = append(cases, c)
		}
	}
	list := make([]uint64, seeds)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	rows, err := Measure(cases, list, parallel)
	if err != nil {
		return nil, err
	}
	return &Report{Rows: rows, Headline: headline(rows)}, nil
}

func standardCases() []Case {
	var cases []Case
	all := []Policy{Inferred(), Oracle(), GlobalFIFO(), ServiceFIFO(), ShortestDeclared(), Random(), TwoChoices()}
	for _, scenario := range []func() *Scenario{Load80, Burst} {
		for _, policy := range all {
			cases = append(cases, Case{scenario, policy})
		}
	}
	return cases
}

func headline([]Row) *Headline { return nil }
