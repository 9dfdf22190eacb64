package configlint

import (
	"errors"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/change"
	"lovagespread.example/catalog/configdiff"
	"lovagespread.example/catalog/tomlcheck"
)

// Compare returns how the services of wanted differ from those of current, and the
// teams if wanted has any; without teams, those in force stay. The most harmful
// differences come first: in the order of configdiff.Harm, then services before
// teams, then by name.
func Compare(current, wanted *catalog.Catalog) []configdiff.Difference {
	list := configdiff.Lists("service", current.Services, wanted.Services,
		func(s catalog.Service) string { return s.Name }, serviceChanges)
	if len(wanted.Teams) > 0 {
		list = append(list, configdiff.Lists("team", current.Teams, wanted.Teams,
			func(t catalog.Team) string { return t.Name }, teamChanges)...)
	}
	configdiff.Sort(list)
	return list
}

// checkResult checks the whole configuration that would be in force after the
// services file was published. It returns nil if none is known to be in force.
func (c *checker) checkResult(file string, wanted *catalog.Catalog) error {
	current := c.facts.Current
	if current == nil {
		return nil
	}
	_, err := change.Prepare(file, current, change.Difference(current, wanted))
	var (
		unchanged *change.NoChangeError
		tooLarge  *change.TooLargeError
	)
	switch {
	case errors.As(err, &unchanged):
		return nil
	case errors.As(err, &tooLarge):
		problems := &tomlcheck.Problems{}
		problems.Add(tomlcheck.Problem{File: file, What: err.Error(), Remedy: "shorten the services file"})
		return problems
	}
	return err
}

// differences compares every text with what is in force.
func (c *checker) differences() []configdiff.Difference {
	var list []configdiff.Difference
	if c.facts.Current != nil {
		for _, s := range c.services {
			list = append(list, configdiff.InFile(s.file, Compare(c.facts.Current, s.catalog))...)
		}
	}
	for _, s := range c.settings {
		list = append(list, configdiff.InFile(s.file, s.compare(c.facts.VMs))...)
	}
	configdiff.Sort(list)
	return list
}
