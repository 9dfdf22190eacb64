package tomlcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Presence says whether a key must be present.
type Presence bool

// Values of Presence.
const (
	Optional Presence = false
	Required Presence = true
)

// Table reads the keys of one table.
type Table struct {
	doc       *Document
	path      string
	values    map[string]any
	knownKeys []string // keys that were looked up
	mistyped  bool     // the text has a value of another type under this key
}

func newTable(doc *Document, path string, values map[string]any) *Table {
	return &Table{doc: doc, path: path, values: values}
}

// Path returns the full path of a key in the table.
func (t *Table) Path(key string) string { return join(t.path, key) }

// Line returns the line of a key, or of the table if the key is absent.
func (t *Table) Line(key string) int {
	if line, ok := t.doc.lines[t.Path(key)]; ok {
		return line
	}
	return t.doc.lines[t.path]
}

// ElementLine returns the line of an element of an array.
func (t *Table) ElementLine(key string, index int) int {
	if line, ok := t.doc.lines[element(t.Path(key), index)]; ok {
		return line
	}
	return t.Line(key)
}

// Has reports whether the key is present.
func (t *Table) Has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// Add records a problem with a key.
func (t *Table) Add(key, what, remedy string) {
	t.doc.Add(t.Line(key), t.Path(key), what, remedy)
}

// lookup marks a key as known and returns its value. It records a problem if a
// required key is missing.
func (t *Table) lookup(key string, presence Presence, example string) (any, bool) {
	t.knownKeys = append(t.knownKeys, key)
	value, ok := t.values[key]
	if !ok && presence == Required && !t.mistyped {
		t.Add(key, "missing", "add "+key+" = "+example)
	}
	return value, ok
}

func (t *Table) wrongType(key, want, example string) {
	t.Add(key, "is not "+want, "write it as "+key+" = "+example)
}

// Table returns a sub-table. It is empty if the key is absent.
func (t *Table) Table(key string) *Table {
	value, ok := t.lookup(key, Optional, "")
	values, isTable := value.(map[string]any)
	if ok && !isTable {
		t.Add(key, "is not a table", "write it as ["+t.Path(key)+"]")
	}
	table := newTable(t.doc, t.Path(key), values)
	table.mistyped = ok && !isTable
	return table
}

// Tables returns the elements of an array of tables.
func (t *Table) Tables(key string) []*Table {
	value, ok := t.lookup(key, Optional, "")
	if !ok {
		return nil
	}
	elements, isArray := value.([]any)
	var tables []*Table
	for i, item := range elements {
		values, isTable := item.(map[string]any)
		if !isTable {
			isArray = false
			break
		}
		tables = append(tables, newTable(t.doc, element(t.Path(key), i), values))
	}
	if !isArray {
		t.Add(key, "is not an array of tables", "write each element as [["+t.Path(key)+"]]")
		return nil
	}
	return tables
}

// RejectUnknown records a problem for every key that was not looked up.
// remedies holds remedies for particular keys, in lower case; the default remedy
// lists the known keys.
func (t *Table) RejectUnknown(remedies map[string]string) {
	for _, key := range slices.Sorted(maps.Keys(t.values)) {
		if slices.Contains(t.knownKeys, key) {
			continue
		}
		remedy, ok := remedies[strings.ToLower(key)]
		if !ok {
			remedy = fmt.Sprintf("remove it, or use one of %s", strings.Join(t.knownKeys, ", "))
		}
		t.Add(key, "unknown key", remedy)
	}
}

// AddElement records a problem with an element of an array.
func (t *Table) AddElement(key string, index int, what, remedy string) {
	t.doc.Add(t.ElementLine(key, index), element(t.Path(key), index), what, remedy)
}
