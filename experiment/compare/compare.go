package compare

import (
	"regexp"

	"github.com/go-faster/errors"
)

// DefaultSeeds is the number of seeds of a comparison.
const DefaultSeeds = 5

// Report is the result of a comparison. Headline is nil if a case that it
// requires was not run.
type Report struct {
	Rows     []Row
	Headline *Headline
}

// Set names a list of cases.
type Set string

// Sets of cases.
const (
	StandardSet Set = "standard" // the policy and the baselines
	AblationSet Set = "ablation" // the policy with one mechanism disabled
)

// Compare runs the cases of a set whose scenario/policy matches the regular
// expression.
func Compare(set Set, only string, seeds, parallel int) (*Report, error) {
	pattern, err := regexp.Compile(only)
	if err != nil {
		return nil, errors.Wrap(err, "parse the regular expression that selects cases")
	}
	all := standardCases()
	if set == AblationSet {
		all = ablationCases()
	}
	var cases []Case
	for _, c := range all {
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
