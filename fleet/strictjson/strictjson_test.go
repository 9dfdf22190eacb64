package strictjson_test

import (
	"strings"
	"testing"

	"lovagespread.example/fleet/strictjson"
)

// Guards against texts that are decoded although they are too large, nested too deep or not
// UTF-8, and against brackets in strings that count as nesting.
func TestCheckText(t *testing.T) {
	for text, valid := range map[string]bool{
		`{"a":[1,{"b":2}]}`:                  true,
		`{"a":"[[[[[[[[[[[[\"[[["}`:          true,
		strings.Repeat("[", 4):               false,
		"{\"a\":\"\xff\"}":                   false,
		`"` + strings.Repeat("a", 100) + `"`: false,
	} {
		if err := strictjson.CheckText([]byte(text), 50, 3); (err == nil) != valid {
			t.Errorf("%q: %v, want valid %t", text, err, valid)
		}
	}
}

// Guards against objects of which readers take different values: fields that occur twice,
// names in other case, and data behind the object.
func TestDecodeObject(t *testing.T) {
	for text, want := range map[string]int{
		`{"a":1,"other":[2]}`: 1,
		`{"A":1}`:             0,
		`{"a":1,"a":2}`:       -1,
		`{"a":1}{"a":2}`:      -1,
		`[1]`:                 -1,
		`{"a":1`:              -1,
	} {
		got := 0
		if err := strictjson.DecodeObject([]byte(text), map[string]any{"a": &got}); err != nil {
			got = -1
		}
		if got != want {
			t.Errorf("%s gives %d, want %d", text, got, want)
		}
	}
}

// Guards against values of a row that are converted although they are missing, of another
// type, fractional or out of range.
func TestRow(t *testing.T) {
	values := []any{"text", 7.0, 1e300, -1.0, 2.5}
	for name, read := range map[string]func(*strictjson.Row){
		"missing":      func(r *strictjson.Row) { r.Text(9, 100) },
		"another type": func(r *strictjson.Row) { r.Text(1, 100) },
		"too long":     func(r *strictjson.Row) { r.Text(0, 3) },
		"too large":    func(r *strictjson.Row) { r.Whole(2, 100) },
		"negative":     func(r *strictjson.Row) { r.Whole(3, 100) },
		"fractional":   func(r *strictjson.Row) { r.Whole(4, 100) },
	} {
		if r := strictjson.NewRow(values); func() bool { read(r); return r.Valid() }() {
			t.Errorf("%s: the row is valid", name)
		}
	}
	r := strictjson.NewRow(values)
	if r.Text(0, 4) != "text" || r.Whole(1, 7) != 7 || !r.Valid() {
		t.Error("sound values make the row invalid")
	}
}
