package configlint

import (
	"fmt"
	"strings"

	"lovagespread.example/catalog"
	"lovagespread.example/catalog/tomlcheck"
)

// warnNames reports names that differ only in letter case. Names match exactly, so
// that jobs, endpoints or callers with one spelling never match the other entry.
func (s *servicesText) warnNames() {
	services, teams := make([]string, len(s.catalog.Services)), make([]string, len(s.catalog.Teams))
	for i := range s.catalog.Services {
		services[i] = s.catalog.Services[i].Name
	}
	for i := range s.catalog.Teams {
		teams[i] = s.catalog.Teams[i].Name
	}
	warnLetterCase("service", services, s.services)
	warnLetterCase("team", teams, s.teams)
}

func warnLetterCase(list string, names []string, tables []*tomlcheck.Table) {
	first := make(map[string]int, len(names))
	for i, name := range names {
		folded := strings.ToLower(name)
		j, seen := first[folded]
		if !seen {
			first[folded] = i
			continue
		}
		tables[i].Add("name", fmt.Sprintf("differs from %s of %s[%d] only in letter case, and names match exactly", names[j], list, j),
			"remove the entry that no job, endpoint or caller names")
	}
}

// warnTimeouts reports timeouts that tasks are expected to exceed: a timeout of
// exactly the expected run time, and one below the expected run time of a
// dependency, because a task calls its dependencies while it runs.
func (s *servicesText) warnTimeouts() {
	longest := newLongestDependency(s.catalog.Services)
	for i := range s.catalog.Services {
		service, table := &s.catalog.Services[i], s.services[i]
		if service.Timeout == service.RunTime {
			table.Add("timeout", fmt.Sprintf("is equal to run_time %s: a task that takes longer than expected is given up", service.RunTime),
				"raise timeout above the longest run time")
		}
		if d := longest.of(service.Name); d != nil && service.Timeout < d.RunTime {
			table.Add("timeout", fmt.Sprintf("%s is shorter than run_time %s of %s, which a task calls while it runs", service.Timeout, d.RunTime, d.Name),
				"raise timeout above the run time of the dependency, or remove the dependency")
		}
	}
}

// longestDependency finds the direct or indirect dependency of a service that has
// the longest expected run time. The dependencies must not have cycles.
type longestDependency struct {
	services map[string]*catalog.Service
	found    map[string]*catalog.Service
}

func newLongestDependency(services []catalog.Service) *longestDependency {
	l := &longestDependency{services: make(map[string]*catalog.Service, len(services)), found: make(map[string]*catalog.Service)}
	for i := range services {
		l.services[services[i].Name] = &services[i]
	}
	return l
}

// of returns nil if the service has no dependency.
func (l *longestDependency) of(name string) *catalog.Service {
	if found, ok := l.found[name]; ok {
		return found
	}
	var longest *catalog.Service
	for _, next := range l.services[name].DependsOn {
		for _, candidate := range []*catalog.Service{l.services[next], l.of(next)} {
			if candidate != nil && (longest == nil || candidate.RunTime > longest.RunTime) {
				longest = candidate
			}
		}
	}
	l.found[name] = longest
	return longest
}
