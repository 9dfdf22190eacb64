package modelcheck

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"lovagespread.example/dispatch/internal/fixedseed"
)

func TestMain(m *testing.M) {
	flag.Parse()
	fixedseed.Use(3000)
	code := m.Run()
	fmt.Printf("%d states explored, %d violations\n", totals.states, totals.violations)
	os.Exit(code)
}

// totals sums up the explorations of all tests.
var totals struct{ states, violations int }

// randomWalk takes random actions in a random configuration until a terminal
// state is reached.
func randomWalk(t *rapid.T) {
	s := New(randomConfig(t))
	for {
		actions := s.Actions()
		if len(actions) == 0 {
			break
		}
		a := actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]
		s = s.Next(a)
		if s.Violation() != "" {
			t.Fatalf("%s after %s", s.Violation(), a)
		}
	}
	s.CheckTerminal()
	if s.Violation() != "" {
		t.Fatal(s.Violation())
	}
}

func randomConfig(t *rapid.T) *Config {
	upToTwo := rapid.IntRange(0, 2)
	return &Config{
		Entries:        rapid.IntRange(2, 4).Draw(t, "entries"),
		Jobs:           rapid.SliceOfN(rapid.SliceOfN(rapid.Bool(), 1, 4), 1, 4).Draw(t, "jobs"),
		MaxAttempts:    3,
		MaxPartRecords: rapid.IntRange(1, 3).Draw(t, "part records"),
		MaxParts:       rapid.IntRange(0, 4).Draw(t, "parts"),
		Faults: Faults{
			Crashes:    upToTwo.Draw(t, "crashes"),
			Pauses:     upToTwo.Draw(t, "pauses"),
			Losses:     upToTwo.Draw(t, "losses"),
			Duplicates: upToTwo.Draw(t, "duplicates"),
			Refusals:   upToTwo.Draw(t, "refusals"),
			Failures:   upToTwo.Draw(t, "failures"),
			Partitions: upToTwo.Draw(t, "partitions"),
			Stops:      upToTwo.Draw(t, "stops"),
			Cancels:    upToTwo.Draw(t, "cancels"),
			Rejections: upToTwo.Draw(t, "rejections"),
			Expiries:   upToTwo.Draw(t, "expiries"),
		},
	}
}
