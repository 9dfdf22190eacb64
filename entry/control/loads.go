package control

import (
	"cmp"
	"slices"
)

// loads counts the attempts in flight by service. The loop owns it.
type loads map[string]int

func (l loads) list() []ServiceLoad {
	list := make([]ServiceLoad, 0, len(l))
	for name, running := range l {
		list = append(list, ServiceLoad{Service: name, Running: running})
	}
	slices.SortFunc(list, func(a, b ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
