package blame_test

import (
	"testing"

	"lovagespread.example/dispatch/blame"
)

func TestGuilty(t *testing.T) {
	cases := []struct {
		name  string
		alone []bool // one for each crash
		want  bool
	}{
		{"no crash", nil, false},
		{"one crash, alone", []bool{true}, false},
		{"two crashes beside others", []bool{false, false}, false},
		{"two crashes, the second alone", []bool{false, true}, true},
		{"two crashes, both alone", []bool{true, true}, true},
		{"three crashes beside others", []bool{false, false, false}, true},
	}
	for _, c := range cases {
		var r blame.Record
		for _, alone := range c.alone {
			r.Add(alone)
		}
		if got := r.Guilty(); got != c.want {
			t.Errorf("%s: guilty %t, want %t", c.name, got, c.want)
		}
	}
}

func TestMayBeGuilty(t *testing.T) {
	for _, c := range []struct {
		crashes, lost int
		want          bool
	}{{0, 0, false}, {0, 1, false}, {1, 0, false}, {2, 0, false}, {1, 1, true}, {0, 2, true}} {
		if got := (blame.Record{Crashes: c.crashes}).MayBeGuilty(c.lost); got != c.want {
			t.Errorf("%d crashes, %d lost: %t, want %t", c.crashes, c.lost, got, c.want)
		}
	}
}
