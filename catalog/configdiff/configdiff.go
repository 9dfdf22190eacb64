// Package configdiff lists how two configurations differ, most harmful first. It
// knows no format: the packages that compare a format give the items and their
// fields.
package configdiff

import (
	"cmp"
	"slices"
	"strings"
)

// Harm is the worst that a difference may do. The differences are listed in the
// order of the constants.
type Harm int

// Values of Harm, the most harmful first.
const (
	// Removed is the removal of a service or a route, whose jobs are then rejected,
	// or of a team, which loses its weight and its limit.
	Removed Harm = iota
	// MayRunTwice allows tasks to run more than once that did not. This cannot be
	// undone for tasks that have run twice.
	MayRunTwice
	// LoweredLimit is a change after which less may run: fewer slots, a shorter
	// timeout, larger needs of a task, a smaller weight, rate or burst, or a later
	// priority.
	LoweredLimit
	// Address is an address or a location that differs.
	Address
	// Added is a new item.
	Added
	// Other is any other difference.
	Other
)

var harmNames = [...]string{"removed", "may_run_twice", "lowered_limit", "address", "added", "other"}

// String returns the name of the harm in reports.
func (h Harm) String() string { return harmNames[h] }

// MarshalText encodes the harm by its name.
func (h Harm) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// Difference is one item of a configuration that differs.
type Difference struct {
	File   string        `json:"file,omitempty"`
	What   string        `json:"what"` // kind of the item, such as service, team, entry or route
	Name   string        `json:"name"`
	Change string        `json:"change"` // added, removed or changed
	Harm   Harm          `json:"harm"`
	Detail string        `json:"detail,omitempty"` // Fields as text
	Fields []FieldChange `json:"fields,omitempty"` // of a changed one, the most harmful first
}

// FieldChange is one key whose value differs.
type FieldChange struct {
	Key    string `json:"key"` // as in the file
	Before string `json:"before"`
	After  string `json:"after"`
	Harm   Harm   `json:"harm"`
}

// Sort sorts by harm, then by kind, then by name.
func Sort(list []Difference) {
	slices.SortStableFunc(list, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Harm, b.Harm), cmp.Compare(a.What, b.What), cmp.Compare(a.Name, b.Name))
	})
}

// Lists compares two lists, matching their items by name. The function changes
// returns the fields in which two items of one name differ.
func Lists[T any](what string, current, wanted []T, name func(T) string, changes func(before, after T) []FieldChange) []Difference {
	before := make(map[string]T, len(current))
	for _, item := range current {
		before[name(item)] = item
	}
	var list []Difference
	kept := make(map[string]bool, len(wanted))
	for _, item := range wanted {
		kept[name(item)] = true
		old, ok := before[name(item)]
		if !ok {
			list = append(list, Difference{What: what, Name: name(item), Change: "added", Harm: Added})
		} else if fields := changes(old, item); len(fields) > 0 {
			list = append(list, Changed(what, name(item), fields))
		}
	}
	for _, item := range current {
		if !kept[name(item)] {
			list = append(list, Difference{What: what, Name: name(item), Change: "removed", Harm: Removed})
		}
	}
	return list
}

// Changed returns the difference of an item by its fields, of which there is at
// least one.
func Changed(what, name string, fields []FieldChange) Difference {
	slices.SortStableFunc(fields, func(a, b FieldChange) int { return cmp.Compare(a.Harm, b.Harm) })
	details := make([]string, len(fields))
	for i, f := range fields {
		details[i] = f.Key + " " + f.Before + " -> " + f.After
	}
	return Difference{What: what, Name: name, Change: "changed", Harm: fields[0].Harm, Detail: strings.Join(details, ", "), Fields: fields}
}

// InFile sets the file of all differences, and returns them.
func InFile(file string, list []Difference) []Difference {
	for i := range list {
		list[i].File = file
	}
	return list
}
