// Command faultpage reads the output of "go test -json" of package scenario
// from standard input and writes docs/FAULTS.md to standard output. It prints
// "N passed, N failed" to standard error and exits with status 1 if a test
// failed or none ran.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"lovagespread.example/scenario"
)

// event is a line of "go test -json".
type event struct {
	Action string
	Test   string
}

// results holds the outcomes of tests by name.
type results map[string]string

func main() {
	outcomes, err := read(os.Stdin)
	if err == nil {
		err = write(os.Stdout, outcomes)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultpage:", err)
		os.Exit(1)
	}
	passed, failed := outcomes.count()
	fmt.Fprintf(os.Stderr, "%d passed, %d failed\n", passed, failed)
	if failed > 0 || passed == 0 {
		os.Exit(1)
	}
}

func read(in io.Reader) (results, error) {
	outcomes := make(results)
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, err
		}
		if strings.Contains(e.Test, "/") && (e.Action == "pass" || e.Action == "fail") {
			outcomes[e.Test] = e.Action
		}
	}
	return outcomes, lines.Err()
}

func (r results) count() (passed, failed int) {
	for _, result := range r {
		if result == "pass" {
			passed++
		} else {
			failed++
		}
	}
	return passed, failed
}

// result returns the outcome of a subtest, whose name the testing package
// writes with underscores.
func (r results) result(test, name string) string {
	result, ok := r[test+"/"+strings.ReplaceAll(name, " ", "_")]
	if !ok {
		return "not run"
	}
	return result
}

const header = `# Faults

Written by ` + "`make faults`" + ` from the run itself. Every row is played on real entries
in virtual time (see [SCENARIOS](SCENARIOS.md)). A row passes only if

- no non-idempotent task was started twice, counted at the endpoints,
- every whole answer had every result, each that of its own task,
- no job reported as ` + "`not_run`" + ` had a task started,

and, for the single faults and the pairs, if every job ended with a final reply
and jobs submitted after the faults were answered whole.

`

func write(out io.Writer, outcomes results) error {
	var page strings.Builder
	page.WriteString(header)
	if err := writeScenarios(&page, outcomes); err != nil {
		return err
	}
	writeFaults(&page, outcomes)
	writePairs(&page, outcomes)
	_, err := io.WriteString(out, page.String())
	return err
}

func writeScenarios(page *strings.Builder, outcomes results) error {
	files, err := filepath.Glob("scenario/testdata/*")
	if err != nil {
		return err
	}
	page.WriteString("## Scenarios\n\n| scenario | what is shown | result |\n| --- | --- | --- |\n")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		name := filepath.Base(file)
		fmt.Fprintf(page, "| `%s` | %s | %s |\n", name, scenario.Summary(string(text)), outcomes.result("TestScenarios", name))
	}
	return nil
}

func writeFaults(page *strings.Builder, outcomes results) {
	page.WriteString("\n## Single faults\n\n| fault | brought about by | ended by | result |\n| --- | --- | --- | --- |\n")
	for _, f := range scenario.Faults() {
		fmt.Fprintf(page, "| %s | %s | %s | %s |\n", f.Name, inlineCode(f.Begin), inlineCode(f.End), outcomes.result("TestFaultsAlone", f.Name))
	}
}

func inlineCode(lines []string) string {
	if len(lines) == 0 {
		return "—"
	}
	return "`" + strings.Join(lines, "`, `") + "`"
}

func writePairs(page *strings.Builder, outcomes results) {
	page.WriteString("\n## Ordered pairs\n\nThe row's fault begins 0.3 s before the column's.\n\n|")
	faults := scenario.Faults()
	for _, f := range faults {
		fmt.Fprintf(page, " | %s", f.Name)
	}
	page.WriteString(" |\n|" + strings.Repeat(" --- |", len(faults)+1) + "\n")
	for _, first := range faults {
		fmt.Fprintf(page, "| %s", first.Name)
		for _, second := range faults {
			fmt.Fprintf(page, " | %s", outcomes.result("TestFaultPairs", first.Name+" then "+second.Name))
		}
		page.WriteString(" |\n")
	}
}
