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

// Guards against a harmless task that is given up for crashes under runs that may never have
// begun, and against a task that is never given up because it crashes its endpoints before
// they confirm it.
func TestUnconfirmedCrashes(t *testing.T) {
	for _, c := range []struct {
		crashes, alone, unconfirmed int
		want                        bool
	}{{1, 1, 1, false}, {0, 0, 2, false}, {1, 0, 1, false}, {2, 0, 0, false}, {2, 1, 0, true}, {3, 0, 0, true}, {1, 1, 2, true}, {2, 0, 1, true}, {0, 0, 3, true}} {
		var r blame.Record
		for range c.unconfirmed {
			r.AddUnconfirmed()
		}
		for i := range c.crashes {
			r.Add(i < c.alone)
		}
		if r.Guilty() != c.want {
			t.Errorf("%+v: guilty %t, want %t", r, r.Guilty(), c.want)
		}
		if r.Total() != c.crashes+c.unconfirmed || !r.MayBeGuilty(1) {
			t.Errorf("%+v: %d crashes; with one more that is possible, guilty %t, want true", r, r.Total(), r.MayBeGuilty(1))
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
