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
	fmt.Printf("%d states explored, %d violations\n", explored.states, explored.violations)
	os.Exit(code)
}

// explored sums up the explorations of all tests.
var explored struct{ states, violations int }

// randomWalk takes random steps in a random world until nothing can happen.
func randomWalk(t *rapid.T) {
	w := New(randomConfig(t))
	for {
		actions := w.Actions()
		if len(actions) == 0 {
			break
		}
		a := actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]
		w = w.Next(a)
		if w.Violation() != "" {
			t.Fatalf("%s after %s", w.Violation(), a)
		}
	}
	w.CheckEnd()
	if w.Violation() != "" {
		t.Fatal(w.Violation())
	}
}

func randomConfig(t *rapid.T) *Config {
	few := rapid.IntRange(0, 2)
	return &Config{
		Entries:     rapid.IntRange(2, 4).Draw(t, "entries"),
		Jobs:        rapid.SliceOfN(rapid.SliceOfN(rapid.Bool(), 1, 4), 1, 4).Draw(t, "jobs"),
		MaxAttempts: 3,
		PartRecords: rapid.IntRange(1, 3).Draw(t, "part records"),
		Parts:       rapid.IntRange(0, 4).Draw(t, "parts"),
		Faults: Faults{
			Crashes:    few.Draw(t, "crashes"),
			Pauses:     few.Draw(t, "pauses"),
			Losses:     few.Draw(t, "losses"),
			Duplicates: few.Draw(t, "duplicates"),
			Refusals:   few.Draw(t, "refusals"),
			Failures:   few.Draw(t, "failures"),
			Partitions: few.Draw(t, "partitions"),
			Stops:      few.Draw(t, "stops"),
			Cancels:    few.Draw(t, "cancels"),
			Rejections: few.Draw(t, "rejections"),
			Expiries:   few.Draw(t, "expiries"),
		},
	}
}
