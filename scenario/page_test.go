package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFaultsPageIsComplete checks that docs/FAULTS.md lists every scenario with
// its summary and every fault of the table, each as passed.
func TestFaultsPageIsComplete(t *testing.T) {
	text, err := os.ReadFile("../docs/FAULTS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	files, err := filepath.Glob("testdata/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		row := "| `" + filepath.Base(file) + "` | " + Summary(string(source)) + " | pass |"
		if !strings.Contains(page, row) {
			t.Errorf("docs/FAULTS.md does not contain %q: run make faults", row)
		}
	}
	for _, f := range Faults() {
		row := "| " + f.Name + strings.Repeat(" | pass", len(Faults())) + " |"
		if !strings.Contains(page, row) {
			t.Errorf("docs/FAULTS.md does not contain %q: run make faults", row)
		}
	}
}
