package catalog

import "slices"

// visitState is the state of a service during the search for cycles.
type visitState uint8

const (
	unvisited visitState = iota
	onPath
	finished
)

type cycleSearch struct {
	byName map[string]Service
	states map[string]visitState
	path   []string
	found  [][]string
}

// cycles returns at least one cycle for every set of services that depend on
// each other. A cycle is the list of the service names along it.
func cycles(services []Service) [][]string {
	s := &cycleSearch{
		byName: make(map[string]Service, len(services)),
		states: make(map[string]visitState, len(services)),
	}
	for _, service := range services {
		if _, ok := s.byName[service.Name]; !ok {
			s.byName[service.Name] = service
		}
	}
	for _, service := range services {
		s.visit(service.Name)
	}
	return s.found
}

func (s *cycleSearch) visit(name string) {
	switch s.states[name] {
	case finished:
		return
	case onPath:
		start := slices.Index(s.path, name)
		s.found = append(s.found, slices.Clone(s.path[start:]))
		return
	}
	s.states[name] = onPath
	s.path = append(s.path, name)
	for _, next := range s.byName[name].DependsOn {
		s.visit(next)
	}
	s.path = s.path[:len(s.path)-1]
	s.states[name] = finished
}
