package change

import (
	"encoding/json"

	"lovagespread.example/catalog"
)

// Kind names the type of a Body in a record.
type Kind string

// Kinds of changes.
const (
	KindReplaceServices Kind = "replace_services"
	KindEdit            Kind = "edit"
	KindPutTeam         Kind = "put_team"
	KindRemoveTeam      Kind = "remove_team"
	KindDrain           Kind = "drain"
	KindUndrain         Kind = "undrain"
	KindSetKeyNumbers   Kind = "set_key_numbers"
	KindRaiseFormat     Kind = "raise_format"
	KindEvacuate        Kind = "evacuate"
	KindReturn          Kind = "return"
)

// Body is the modification that a change makes. It can be applied to every
// catalog.
type Body interface {
	// Kind returns the name of the body's type in a record.
	Kind() Kind
	// format returns the record format that introduced the kind.
	format() int
	// apply modifies c in place. The lists of c must not be shared with another
	// catalog.
	apply(c *catalog.Catalog)
}

// ReplaceServices replaces all services, and all teams if Teams is not empty.
type ReplaceServices struct {
	Services []catalog.Service `json:"services"`
	Teams    []catalog.Team    `json:"teams,omitempty"` // empty: the teams are not changed
}

// Edit adds, replaces and removes services and teams by name. It is much
// smaller than ReplaceServices if few services have changed.
type Edit struct {
	PutServices    []catalog.Service `json:"put_services,omitempty"`
	RemoveServices []string          `json:"remove_services,omitempty"`
	PutTeams       []catalog.Team    `json:"put_teams,omitempty"`
	RemoveTeams    []string          `json:"remove_teams,omitempty"`
}

// PutTeam adds a team or replaces the team with the same name.
type PutTeam struct {
	Team catalog.Team `json:"team"`
}

// RemoveTeam removes a team.
type RemoveTeam struct {
	Name string `json:"name"`
}

// Drain adds a drain, which keeps new work away from endpoints.
type Drain struct {
	Drain catalog.Drain `json:"drain"`
}

// Undrain removes a drain.
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

// Evacuate requests the evacuation of a failure domain: its endpoints get no new
// tasks until a Return.
type Evacuate struct {
	Domain string `json:"domain"`
}

// Return removes the request to evacuate a failure domain.
type Return struct {
	Domain string `json:"domain"`
}

// newBody returns an empty body of a kind, or nil if the kind is unknown.
func newBody(kind Kind) Body {
	switch kind {
	case KindReplaceServices:
		return &ReplaceServices{}
	case KindEdit:
		return &Edit{}
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
	case KindEvacuate:
		return &Evacuate{}
	case KindReturn:
		return &Return{}
	}
	return nil
}

func decodeBody(kind Kind, text json.RawMessage) (Body, error) {
	body := newBody(kind)
	if body == nil {
		return nil, &UnreadableError{What: "change of unknown kind " + string(kind)}
	}
	if err := decodeStrict(text, body); err != nil {
		return nil, &UnreadableError{What: "not a body of kind " + string(kind), Cause: err}
	}
	return body, nil
}
