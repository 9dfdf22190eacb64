package change

import (
	"reflect"

	"lovagespread.example/catalog"
)

// Difference returns the edit that turns the services of current into those of
// wanted. It covers the teams too if wanted has any.
func Difference(current, wanted *catalog.Catalog) *Edit {
	edit := &Edit{}
	edit.PutServices, edit.RemoveServices = difference(current.Services, wanted.Services, serviceName)
	if len(wanted.Teams) > 0 {
		edit.PutTeams, edit.RemoveTeams = difference(current.Teams, wanted.Teams, teamName)
	}
	return edit
}

func difference[T any](current, wanted []T, name func(T) string) (puts []T, removes []string) {
	currentIndex := indexByName(current, name)
	for _, item := range wanted {
		if i, ok := currentIndex[name(item)]; !ok || !reflect.DeepEqual(current[i], item) {
			puts = append(puts, item)
		}
	}
	wantedIndex := indexByName(wanted, name)
	for _, item := range current {
		if _, ok := wantedIndex[name(item)]; !ok {
			removes = append(removes, name(item))
		}
	}
	return puts, removes
}
