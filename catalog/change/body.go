package change

import (
	"encoding/json"
	"slices"

	"lovagespread.example/catalog"
)

// Kind names the type of a Body in a record.
type Kind string

// Kinds of changes.
const (
	KindReplaceServices Kind = "replace_services"
	KindPutTeam         Kind = "put_team"
	KindRemoveTeam      Kind = "remove_team"
	KindDrain           Kind = "drain"
	KindUndrain         Kind = "undrain"
	KindSetKeyNumbers   Kind = "set_key_numbers"
	KindRaiseFormat     Kind = "raise_format"
)

// Body is what a change does. It applies to every catalog.
type Body interface {
	// Kind returns the name of the type in a record.
	Kind() Kind
	// format is the record format that introduced the kind.
	format() int
	// apply changes a catalog whose lists are not shared.
	apply(c *catalog.Catalog)
}

// ReplaceServices replaces the services, and the teams if there are any.
type ReplaceServices struct {
	Services []catalog.Service `json:"services"`
	Teams    []catalog.Team    `json:"teams,omitempty"` // empty: they stay
}

// PutTeam adds a team or replaces the one of that name.
type PutTeam struct {
	Team catalog.Team `json:"team"`
}

// RemoveTeam removes a team.
type RemoveTeam struct {
	Name string `json:"name"`
}

// Drain takes endpoints out of use for new work.
type Drain struct {
	Drain catalog.Drain `json:"drain"`
}

// Undrain undoes a drain.
type Undrain struct {
	Drain catalog.Drain `json:"drain"`
}

// SetKeyNumbers sets the job-ID keys in use.
type SetKeyNumbers struct {
	Numbers []int `json:"numbers"`
}

// RaiseFormat puts a newer record format in use.
type RaiseFormat struct {
	Format int `json:"format"`
}

// newBody returns an empty body of a kind, or nil.
func newBody(kind Kind) Body {
	switch kind {
	case KindReplaceServices:
		return &ReplaceServices{}
	case KindPutTeam:
		return &PutTeam{}
	case KindRemoveTeam:
		return &RemoveTeam{}
	case KindDrain:
		return &Drain{}
	case KindUndrain:
		return &Undrain{}
	case KindSetKeyNumbers:
		return &SetKeyNumbers{}
	case KindRaiseFormat:
		return &RaiseFormat{}
	}
	return nil
}

func decodeBody(kind Kind, text json.RawMessage) (Body, error) {
	body := newBody(kind)
	if body == nil {
		return nil, &UnreadableError{What: "change of unknown kind " + string(kind)}
	}
	if err := strict(text, body); err != nil {
		return nil, &UnreadableError{What: "not a body of kind " + string(kind), Cause: err}
	}
	return body, nil
}

// Kind implements Body.
func (*ReplaceServices) Kind() Kind { return KindReplaceServices }

// Kind implements Body.
func (*PutTeam) Kind() Kind { return KindPutTeam }

// Kind implements Body.
func (*RemoveTeam) Kind() Kind { return KindRemoveTeam }

// Kind implements Body.
func (*Drain) Kind() Kind { return KindDrain }

// Kind implements Body.
func (*Undrain) Kind() Kind { return KindUndrain }

// Kind implements Body.
func (*SetKeyNumbers) Kind() Kind { return KindSetKeyNumbers }

// Kind implements Body.
func (*RaiseFormat) Kind() Kind { return KindRaiseFormat }

func (*ReplaceServices) format() int { return FirstFormat }
func (*PutTeam) format() int         { return FirstFormat }
func (*RemoveTeam) format() int      { return FirstFormat }
func (*Drain) format() int           { return FirstFormat }
func (*Undrain) format() int         { return FirstFormat }
func (*SetKeyNumbers) format() int   { return FirstFormat }
func (*RaiseFormat) format() int     { return FirstFormat }

func (b *ReplaceServices) apply(c *catalog.Catalog) {
	c.Services = b.Services
	if len(b.Teams) > 0 {
		c.Teams = b.Teams
	}
}

func (b *PutTeam) apply(c *catalog.Catalog) {
	i := indexTeam(c.Teams, b.Team.Name)
	if i < 0 {
		c.Teams = append(c.Teams, b.Team)
		return
	}
	c.Teams[i] = b.Team
}

func (b *RemoveTeam) apply(c *catalog.Catalog) {
	c.Teams = slices.DeleteFunc(c.Teams, func(t catalog.Team) bool { return t.Name == b.Name })
}

func indexTeam(teams []catalog.Team, name string) int {
	return slices.IndexFunc(teams, func(t catalog.Team) bool { return t.Name == name })
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

// Apply returns the version that follows c by a change. c is not changed.
func Apply(c *catalog.Catalog, change Change) *catalog.Catalog {
	next := *c
	next.Version = c.Version + 1
	next.Teams = slices.Clone(c.Teams)
	next.Drains = slices.Clone(c.Drains)
	change.Body.apply(&next)
	return &next
}
