package catalog

import (
	"fmt"
	"slices"
	"strings"

	"lovagespread.example/catalog/tomlcheck"
)

// checkServices reports what only the whole list shows: duplicate names,
// unknown dependencies and cycles. tables holds the origin of each service.
func checkServices(services []Service, tables []*tomlcheck.Table) {
	first := make(map[string]int, len(services))
	for i, s := range services {
		if s.Name == "" {
			continue
		}
		if j, ok := first[s.Name]; ok {
			reportDuplicate(s.Name, tables[i], tables[j])
			continue
		}
		first[s.Name] = i
	}
	for i, s := range services {
		checkDependencies(s, tables[i], first)
	}
	for _, cycle := range cycles(services) {
		start := first[cycle[0]]
		what := "cycle: " + strings.Join(append(slices.Clone(cycle), cycle[0]), " -> ")
		tables[start].Add("depends_on", what, "remove one of these dependencies")
	}
}

func reportDuplicate(name string, again, before *tomlcheck.Table) {
	what := fmt.Sprintf("duplicate name %s, first on line %d", name, before.Line("name"))
	again.Add("name", what, "rename or remove one of the two")
}

func checkDependencies(s Service, t *tomlcheck.Table, known map[string]int) {
	for i, name := range s.DependsOn {
		if name == "" {
			continue
		}
		if slices.Index(s.DependsOn, name) < i {
			t.AddElement("depends_on", i, "duplicate dependency "+name, "remove it")
			continue
		}
		if _, ok := known[name]; !ok {
			t.AddElement("depends_on", i, "unknown service "+name, "add a [[service]] of this name or correct the spelling")
		}
	}
}

func checkTeams(teams []Team, tables []*tomlcheck.Table) {
	first := make(map[string]int, len(teams))
	for i, team := range teams {
		if team.Name == "" {
			continue
		}
		if j, ok := first[team.Name]; ok {
			reportDuplicate(team.Name, tables[i], tables[j])
			continue
		}
		first[team.Name] = i
	}
}
