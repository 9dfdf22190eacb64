// Command faultpage turns the output of "go test -json" of package scenario,
// on standard input, into docs/FAULTS.md, on standard output. It ends with a
// line "N passed, N failed" on standard error and exits with 1 if one failed.
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

// results are the outcomes of tests by name.
type results map[string]string

func main() {
	found, err := read(os.Stdin)
	if err == nil {
		err = write(os.Stdout, found)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultpage:", err)
		os.Exit(1)
	}
	passed, failed := found.count()
	fmt.Fprintf(os.Stderr, "%d passed, %d failed\n", passed, failed)
	if failed > 0 || passed == 0 {
		os.Exit(1)
	}
}

func read(in io.Reader) (results, error) {
	found := make(results)
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, err
		}
		if strings.Contains(e.Test, "/") && (e.Action == "pass" || e.Action == "fail") {
			found[e.Test] = e.Action
		}
	}
	return found, lines.Err()
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

// result returns the result result a test, as the testing package names it.
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

func write(out io.Writer, found results) error {
	var page strings.Builder
	page.WriteString(header)
	if err := writeScenarios(&page, found); err != nil {
		return err
	}
	writeFaults(&page, found)
	writePairs(&page, found)
	_, err := io.WriteString(out, page.String())
	return err
}

func writeScenarios(page *strings.Builder, found results) error {
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
		fmt.Fprintf(page, "| `%s` | %s | %s |\n", name, scenario.Summary(string(text)), found.result("TestScenarios", name))
	}
	return nil
}

func writeFaults(page *strings.Builder, found results) {
	page.WriteString("\n## Single faults\n\n| fault | brought about by | ended by | result |\n| --- | --- | --- | --- |\n")
	for _, f := range scenario.Faults() {
		fmt.Fprintf(page, "| %s | %s | %s | %s |\n", f.Name, inlineCode(f.Begin), inlineCode(f.End), found.result("TestFaultsAlone", f.Name))
	}
}

func inlineCode(lines []string) string {
	if len(lines) == 0 {
		return "—"
	}
	return "`" + strings.Join(lines, "`, `") + "`"
}

func writePairs(page *strings.Builder, found results) {
	page.WriteString("\n## Ordered pairs\n\nThe row's fault begins 0.3 s before the column's.\n\n|")
	faults := scenario.Faults()
	for _, f := range faults {
		fmt.Fprintf(page, " | %s", f.Name)
	}
	page.WriteString(" |\n|" + strings.Repeat(" --- |", len(faults)+1) + "\n")
	for _, first := range faults {
		fmt.Fprintf(page, "| %s", first.Name)
		for _, second := range faults {
			fmt.Fprintf(page, " | %s", found.result("TestFaultPairs", first.Name+" then "+second.Name))
		}
		page.WriteString(" |\n")
	}
}
