// Package strictjson decodes JSON of other writers, which may be damaged or hostile: it
// bounds the size and the nesting before anything is decoded, accepts each field once and
// under its exact name, and converts no number that is out of range.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// maxShownName is the number of bytes of a field's name in an error message.
const maxShownName = 80

// CheckText returns an error if a text has more than maxBytes bytes, is not UTF-8, or
// nests objects and lists more than maxDepth deep.
func CheckText(data []byte, maxBytes, maxDepth int) error {
	switch {
	case len(data) > maxBytes:
		return fmt.Errorf("it has %d bytes, more than %d", len(data), maxBytes)
	case !utf8.Valid(data):
		return errors.New("it is not valid UTF-8")
	case deeperThan(data, maxDepth):
		return fmt.Errorf("objects and lists are nested more than %d deep", maxDepth)
	}
	return nil
}

// deeperThan reports whether the objects and lists of a JSON text are nested deeper
// than a limit.
func deeperThan(data []byte, limit int) bool {
	depth, quoted, escaped := 0, false, false
	for _, b := range data {
		switch {
		case escaped:
			escaped = false
		case quoted:
			escaped = b == '\\'
			quoted = b != '"'
		case b == '"':
			quoted = true
		case b == '{' || b == '[':
			if depth++; depth > limit {
				return true
			}
		case b == '}' || b == ']':
			depth--
		}
	}
	return false
}

// DecodeObject decodes the known fields of a JSON object into the pointers of a map by
// name. Unknown fields are ignored. A field that occurs twice is an error, because readers
// differ in which of the values they take.
func DecodeObject(data []byte, known map[string]any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if start, err := decoder.Token(); err != nil || start != json.Delim('{') {
		return errors.New("it is not a JSON object")
	}
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string) // names of fields are strings
		if seen[name] {
			return fmt.Errorf("the field %q occurs twice", Shorten(name, maxShownName))
		}
		seen[name] = true
		into, used := known[name]
		if !used {
			into = &json.RawMessage{}
		}
		if err := decoder.Decode(into); err != nil {
			return errors.Wrapf(err, "field %q", Shorten(name, maxShownName))
		}
	}
	if _, err := decoder.Token(); err != nil { // the end of the object
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data follows the JSON object")
	}
	return nil
}

// Row reads a list of values of different types by their places. A value that is missing,
// has the wrong type or is out of range makes the row invalid and reads as zero.
type Row struct {
	values  []any
	invalid bool
}

// NewRow returns a row of values as encoding/json decodes them.
func NewRow(values []any) *Row { return &Row{values: values} }

// Valid reports whether all values that were read are as expected.
func (r *Row) Valid() bool { return !r.invalid }

// Invalidate makes the row invalid.
func (r *Row) Invalidate() { r.invalid = true }

// Text returns a text of at most maxBytes bytes.
func (r *Row) Text(index, maxBytes int) string {
	if index < len(r.values) {
		if text, ok := r.values[index].(string); ok && len(text) <= maxBytes {
			return text
		}
	}
	r.invalid = true
	return ""
}

// Number returns a number from least to most. It checks the range before the number is
// converted: the result would otherwise differ between architectures.
func (r *Row) Number(index int, least, most float64) float64 {
	if index < len(r.values) {
		if number, ok := r.values[index].(float64); ok && number >= least && number <= most {
			return number
		}
	}
	r.invalid = true
	return 0
}

// Whole returns a whole number from 1 to most.
func (r *Row) Whole(index int, most int64) int64 {
	number := r.Number(index, 1, float64(most))
	if number != math.Trunc(number) {
		r.invalid = true
		return 0
	}
	return int64(number)
}

// Shorten returns the first bytes of a text that may be of any length, and how long it is.
func Shorten(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:limit], len(text))
}
