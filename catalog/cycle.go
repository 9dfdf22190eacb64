package catalog

import "slices"

// visit is the state of a service during the search for cycles.
type visit uint8

const (
	unvisited visit = iota
	onPath
	finished
)

type cycleSearch struct {
	byName map[string]Service
	visits map[string]visit
	path   []string
	found  [][]string
}

// cycles returns at least one cycle of every group of services that depend on
// each other, each as the names along it.
func cycles(services []Service) [][]string {
	s := &cycleSearch{
		byName: make(map[string]Service, len(services)),
		visits: make(map[string]visit, len(services)),
	}
	for _, service := range services {
		if _, ok := s.byName[service.Name]; !ok {
			s.byName[service.Name] = service
		}
	}
	for _, service := range services {
		s.enter(service.Name)
	}
	return s.found
}

func (s *cycleSearch) enter(name string) {
	switch s.visits[name] {
	case finished:
		return
	case onPath:
		start := slices.Index(s.path, name)
		s.found = append(s.found, slices.Clone(s.path[start:]))
		return
	}
	s.visits[name] = onPath
	s.path = append(s.path, name)
	for _, next := range s.byName[name].DependsOn {
		s.enter(next)
	}
	s.path = s.path[:len(s.path)-1]
	s.visits[name] = finished
}
