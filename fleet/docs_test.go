package fleet

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestOperationsPageNamesEveryEventAndMetric checks that docs/OPERATIONS.md names
// every log event and metric in the code.
func TestOperationsPageNamesEveryEventAndMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	logged := regexp.MustCompile(`(?:\.(?:Info|Warn|Error)|write)\("([a-z_]+)"|\.note\("([a-z_]+)"`)
	measured := regexp.MustCompile(`(?:counter|gauge)\("([a-z_]+)"|Name: "([a-z_]+)"`)
	for _, pattern := range []string{"*.go", "follow/*.go", "keep/*.go", "../dispatch/leased/*.go", "../platform/*.go", "../cmd/lovage-fleet/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", pattern, len(files), err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range logged.FindAllStringSubmatch(string(text), -1) {
				name := match[1] + match[2]
				if !strings.Contains(string(page), "`"+name+"`") {
					t.Errorf("%s logs %q, which docs/OPERATIONS.md does not name", file, name)
				}
			}
			if filepath.Base(file) != "metrics.go" {
				continue
			}
			for _, match := range measured.FindAllStringSubmatch(string(text), -1) {
				if name := "lovage_" + match[1] + match[2]; !strings.Contains(string(page), "`"+name) {
					t.Errorf("%s has the metric %q, which docs/OPERATIONS.md does not name", file, name)
				}
			}
		}
	}
}
