package catalog

import (
	"fmt"
	"slices"
	"strings"

	"lovagespread.example/catalog/tomlcheck"
)

// wholeKey is passed to a reporter in place of an element index if the problem
// concerns the whole key.
const wholeKey = -1

// reporter records a problem with the service or team at index. The problem
// concerns a key, or one element of a key that holds a list.
type reporter func(index int, key string, element int, what, remedy string)

// tableReporter returns a reporter that adds problems to parsed tables.
func tableReporter(tables []*tomlcheck.Table) reporter {
	return func(index int, key string, element int, what, remedy string) {
		if element == wholeKey {
			tables[index].Add(key, what, remedy)
			return
		}
		tables[index].AddElement(key, element, what, remedy)
	}
}

// checkServices reports problems that involve several services: duplicate
// names, unknown dependencies and dependency cycles.
func checkServices(services []Service, report reporter) {
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = s.Name
	}
	first := checkDuplicates("service", names, report)
	for i, s := range services {
		checkDependencies(i, s, first, report)
	}
	for _, cycle := range cycles(services) {
		what := "cycle: " + strings.Join(append(slices.Clone(cycle), cycle[0]), " -> ")
		report(first[cycle[0]], "depends_on", wholeKey, what, "remove one of these dependencies")
	}
}

func checkTeams(teams []Team, report reporter) {
	names := make([]string, len(teams))
	for i, t := range teams {
		names[i] = t.Name
	}
	checkDuplicates("team", names, report)
}

// checkDuplicates reports duplicate names and returns the first index of each
// name.
func checkDuplicates(list string, names []string, report reporter) map[string]int {
	first := make(map[string]int, len(names))
	for i, name := range names {
		if name == "" {
			continue
		}
		if j, ok := first[name]; ok {
			report(i, "name", wholeKey, fmt.Sprintf("duplicate name %s, first in %s[%d]", name, list, j), "rename or remove one of the two")
			continue
		}
		first[name] = i
	}
	return first
}

func checkDependencies(index int, s Service, known map[string]int, report reporter) {
	for i, name := range s.DependsOn {
		if name == "" {
			continue
		}
		if slices.Index(s.DependsOn, name) < i {
			report(index, "depends_on", i, "duplicate dependency "+name, "remove it")
			continue
		}
		if _, ok := known[name]; !ok {
			remedy := "add a [[service]] of this name or correct the spelling"
			report(index, "depends_on", i, fmt.Sprintf("unknown service %s", name), remedy)
		}
	}
}
