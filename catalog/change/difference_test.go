package change

import (
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"lovagespread.example/catalog"
)

// drawCatalog draws a catalog from a small set of names, so that two catalogs
// share many of them.
func drawCatalog(t *rapid.T, label string) *catalog.Catalog {
	names := rapid.SliceOfDistinct(rapid.StringMatching("[a-e]"), func(s string) string { return s })
	c := &catalog.Catalog{}
	for _, name := range names.Draw(t, label+" services") {
		slots := rapid.IntRange(1, 2).Draw(t, "slots")
		c.Services = append(c.Services, catalog.Service{Name: name, Slots: slots})
	}
	for _, name := range names.Draw(t, label+" teams") {
		weight := rapid.IntRange(1, 2).Draw(t, "weight")
		c.Teams = append(c.Teams, catalog.Team{Name: name, Weight: weight})
	}
	return c
}

// byName returns the services and teams by name, without their order.
func byName(c *catalog.Catalog) (map[string]catalog.Service, map[string]catalog.Team) {
	services := maps.Collect(pairs(c.Services, serviceName))
	return services, maps.Collect(pairs(c.Teams, teamName))
}

func pairs[T any](list []T, name func(T) string) func(func(string, T) bool) {
	return func(yield func(string, T) bool) {
		for item := range slices.Values(list) {
			if !yield(name(item), item) {
				return
			}
		}
	}
}

func TestDifferenceYieldsWantedCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current, wanted := drawCatalog(t, "current"), drawCatalog(t, "wanted")
		before := Digest(current)
		next := Apply(current, Change{Body: Difference(current, wanted)})
		if string(Digest(current)) != string(before) {
			t.Fatal("Apply modified the current version")
		}
		gotServices, gotTeams := byName(next)
		wantServices, wantTeams := byName(wanted)
		if len(wanted.Teams) == 0 {
			_, wantTeams = byName(current)
		}
		if !reflect.DeepEqual(gotServices, wantServices) || !reflect.DeepEqual(gotTeams, wantTeams) {
			t.Fatalf("got %+v, want %+v", next, wanted)
		}
	})
}
