package change

import (
	"slices"

	"lovagespread.example/catalog"
)

// Apply returns the version that results from applying change to c. It does not
// modify c.
func Apply(c *catalog.Catalog, change Change) *catalog.Catalog {
	next := *c
	next.Version = c.Version + 1
	next.Services = slices.Clone(c.Services)
	next.Teams = slices.Clone(c.Teams)
	next.Drains = slices.Clone(c.Drains)
	next.Evacuated = slices.Clone(c.Evacuated)
	change.Body.apply(&next)
	return &next
}

func (b *ReplaceServices) apply(c *catalog.Catalog) {
	c.Services = b.Services
	if len(b.Teams) > 0 {
		c.Teams = b.Teams
	}
}

func (b *Edit) apply(c *catalog.Catalog) {
	c.Services = remove(c.Services, serviceName, b.RemoveServices)
	c.Services = put(c.Services, serviceName, b.PutServices)
	c.Teams = remove(c.Teams, teamName, b.RemoveTeams)
	c.Teams = put(c.Teams, teamName, b.PutTeams)
}

func (b *PutTeam) apply(c *catalog.Catalog) {
	c.Teams = put(c.Teams, teamName, []catalog.Team{b.Team})
}

func (b *RemoveTeam) apply(c *catalog.Catalog) {
	c.Teams = remove(c.Teams, teamName, []string{b.Name})
}

func (b *Drain) apply(c *catalog.Catalog) {
	if !slices.Contains(c.Drains, b.Drain) {
		c.Drains = append(c.Drains, b.Drain)
	}
}

func (b *Undrain) apply(c *catalog.Catalog) {
	c.Drains = slices.DeleteFunc(c.Drains, func(d catalog.Drain) bool { return d == b.Drain })
}

func (b *SetKeyNumbers) apply(c *catalog.Catalog) { c.KeyNumbers = b.Numbers }

func (b *RaiseFormat) apply(c *catalog.Catalog) { c.Format = max(c.Format, b.Format) }

func (b *Evacuate) apply(c *catalog.Catalog) {
	if !slices.Contains(c.Evacuated, b.Domain) {
		c.Evacuated = append(c.Evacuated, b.Domain)
	}
}

func (b *Return) apply(c *catalog.Catalog) {
	c.Evacuated = slices.DeleteFunc(c.Evacuated, func(domain string) bool { return domain == b.Domain })
}

func serviceName(s catalog.Service) string { return s.Name }

func teamName(t catalog.Team) string { return t.Name }

// put adds items to list. An item replaces the element with the same name, if
// there is one, and is appended otherwise.
func put[T any](list []T, name func(T) string, items []T) []T {
	index := indexByName(list, name)
	for _, item := range items {
		if i, ok := index[name(item)]; ok {
			list[i] = item
			continue
		}
		index[name(item)] = len(list)
		list = append(list, item)
	}
	return list
}

func remove[T any](list []T, name func(T) string, names []string) []T {
	return slices.DeleteFunc(list, func(item T) bool { return slices.Contains(names, name(item)) })
}

func indexByName[T any](list []T, name func(T) string) map[string]int {
	index := make(map[string]int, len(list))
	for i, item := range list {
		index[name(item)] = i
	}
	return index
}
