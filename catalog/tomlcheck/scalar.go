package tomlcheck

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// mebibyte is the number of bytes in a mebibyte.
const mebibyte = 1 << 20

// Range is a range of numbers that includes both ends.
type Range struct{ Min, Max float64 }

// String reads a string. A required string must not be empty.
func (t *Table) String(key string, presence Presence) string {
	value, ok := t.lookup(key, presence, `"..."`)
	if !ok {
		return ""
	}
	text, isString := value.(string)
	if !isString {
		t.wrongType(key, "a string", `"..."`)
		return ""
	}
	if text == "" && presence == Required {
		t.Add(key, "is empty", `add a value: `+key+` = "..."`)
	}
	return text
}

// Bool reads a boolean.
func (t *Table) Bool(key string) bool {
	value, ok := t.lookup(key, Optional, "true")
	if !ok {
		return false
	}
	result, isBool := value.(bool)
	if !isBool {
		t.wrongType(key, "true or false", "true")
	}
	return result
}

// Int reads a whole number. It returns fallback if the key is absent or invalid.
func (t *Table) Int(key string, presence Presence, fallback int, bounds Range) int {
	value, ok := t.lookup(key, presence, strconv.Itoa(fallback))
	if !ok {
		return fallback
	}
	number, isInt := value.(int64)
	if !isInt {
		t.wrongType(key, "a whole number", strconv.Itoa(max(fallback, 1)))
		return fallback
	}
	if !t.inRange(key, float64(number), bounds) {
		return fallback
	}
	return int(number)
}

// Float reads a number. It returns fallback if the key is absent or invalid.
func (t *Table) Float(key string, fallback float64, bounds Range) float64 {
	value, ok := t.lookup(key, Optional, "")
	if !ok {
		return fallback
	}
	var number float64
	switch value := value.(type) {
	case int64:
		number = float64(value)
	case float64:
		number = value
	default:
		t.wrongType(key, "a number", "1.5")
		return fallback
	}
	if !t.inRange(key, number, bounds) {
		return fallback
	}
	return number
}

func (t *Table) inRange(key string, number float64, bounds Range) bool {
	if bounds.Contains(number) {
		return true
	}
	what := fmt.Sprintf("%v is out of range", number)
	t.Add(key, what, "use a number "+bounds.String())
	return false
}

// Contains reports whether number is in the range.
func (r Range) Contains(number float64) bool {
	return number >= r.Min && number <= r.Max
}

// String describes the range.
func (r Range) String() string {
	low := strconv.FormatFloat(r.Min, 'f', -1, 64)
	if math.IsInf(r.Max, 1) {
		return "of at least " + low
	}
	return "from " + low + " to " + strconv.FormatFloat(r.Max, 'f', -1, 64)
}

// Duration reads a duration such as "200ms". It returns fallback if the key is
// absent or invalid.
func (t *Table) Duration(key string, presence Presence, fallback, minimum, maximum time.Duration) time.Duration {
	const example = `"200ms", "10s" or "15m"`
	value, ok := t.lookup(key, presence, `"200ms"`)
	if !ok {
		return fallback
	}
	text, isString := value.(string)
	if !isString {
		t.Add(key, "is not a duration with its unit", "write it as "+example)
		return fallback
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Add(key, strconv.Quote(text)+" is not a duration", "write a number and a unit, such as "+example)
		return fallback
	}
	if duration < minimum || duration > maximum {
		t.Add(key, text+" is out of range", fmt.Sprintf("use a duration from %s to %s", minimum, maximum))
		return fallback
	}
	return duration
}

// MiB reads a size such as "512MiB" and returns it in mebibytes. It returns
// fallback if the key is absent or invalid.
func (t *Table) MiB(key string, fallback int, bounds Range) int {
	size := t.Bytes(key, int64(fallback)*mebibyte)
	if size%mebibyte != 0 {
		t.Add(key, "is not a whole number of MiB", `round it, as in "512MiB"`)
		return fallback
	}
	if !t.inRange(key, float64(size/mebibyte), bounds) {
		return fallback
	}
	return int(size / mebibyte)
}

// byteUnits are the units of sizes. Longer suffixes come first.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10}, {"MiB", mebibyte}, {"GiB", 1 << 30}, {"TiB", 1 << 40},
	{"kB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"TB", 1e12},
}

// Bytes reads a size such as "8MiB" or "2GB" and returns it in bytes. It
// returns fallback if the key is absent or invalid.
func (t *Table) Bytes(key string, fallback int64) int64 {
	const example = `"512MiB" or "2GiB"`
	value, ok := t.lookup(key, Optional, "")
	if !ok {
		return fallback
	}
	text, isString := value.(string)
	if !isString {
		t.Add(key, "is not a size with its unit", "write it as "+example)
		return fallback
	}
	size, ok := parseBytes(text)
	if !ok {
		t.Add(key, strconv.Quote(text)+" is not a size", "write a whole number and a unit, such as "+example)
		return fallback
	}
	return size
}

func parseBytes(text string) (int64, bool) {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || number < 0 || number > math.MaxInt64/unit.bytes {
			return 0, false
		}
		return number * unit.bytes, true
	}
	return 0, false
}

// Strings reads an array of non-empty strings.
func (t *Table) Strings(key string) []string {
	value, ok := t.lookup(key, Optional, "")
	if !ok {
		return nil
	}
	elements, isArray := value.([]any)
	if !isArray {
		t.wrongType(key, "an array of strings", `["...", "..."]`)
		return nil
	}
	texts := make([]string, 0, len(elements))
	for i, item := range elements {
		text, isString := item.(string)
		if !isString || text == "" {
			t.doc.Add(t.ElementLine(key, i), element(t.Path(key), i), "is not a non-empty string", `write it in quotes`)
		}
		texts = append(texts, text)
	}
	return texts
}
