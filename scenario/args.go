package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"
)

// args holds the arguments of one verb: positional words and key=value pairs.
// A verb must use each of them; check reports unused ones.
type args struct {
	verb    string
	words   []string
	options map[string]string
	used    map[string]bool
	input   string
}

// argError reports invalid arguments of a verb.
type argError struct{ verb, detail string }

func (e *argError) Error() string { return e.verb + ": " + e.detail + ": see docs/SCENARIOS.md" }

func newArgs(d *datadriven.TestData) *args {
	a := &args{verb: d.Cmd, options: make(map[string]string), used: make(map[string]bool), input: d.Input}
	for _, arg := range d.CmdArgs {
		if len(arg.Vals) == 0 {
			a.words = append(a.words, arg.Key)
			continue
		}
		a.options[arg.Key] = strings.Join(arg.Vals, ",")
	}
	return a
}

// splitLine parses the arguments of a line that does not come from a file.
func splitLine(text, input string) *args {
	fields := strings.Fields(text)
	a := &args{verb: fields[0], options: make(map[string]string), used: make(map[string]bool), input: input}
	for _, field := range fields[1:] {
		if key, value, pair := strings.Cut(field, "="); pair {
			a.options[key] = value
		} else {
			a.words = append(a.words, field)
		}
	}
	return a
}

func (a *args) fail(format string, values ...any) {
	panic(&argError{verb: a.verb, detail: fmt.Sprintf(format, values...)})
}

// word returns the next positional word and removes it.
func (a *args) word(description string) string {
	if len(a.words) == 0 {
		a.fail("missing argument: %s", description)
	}
	word := a.words[0]
	a.words = a.words[1:]
	return word
}

// hasWords reports whether positional words are left.
func (a *args) hasWords() bool { return len(a.words) > 0 }

func (a *args) text(key, defaultValue string) string {
	a.used[key] = true
	if value, ok := a.options[key]; ok {
		return value
	}
	return defaultValue
}

func (a *args) number(key string, defaultValue int) int {
	value := a.text(key, strconv.Itoa(defaultValue))
	n, err := strconv.Atoi(value)
	if err != nil {
		a.fail("%s=%s is not an integer", key, value)
	}
	return n
}

func (a *args) duration(key string, defaultValue time.Duration) time.Duration {
	return a.parseDuration(a.text(key, defaultValue.String()))
}

func (a *args) parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		a.fail("%s is not a duration such as 200ms", text)
	}
	return d
}

// check fails if an argument was not used.
func (a *args) check() {
	if a.hasWords() {
		a.fail("unexpected word %s", a.words[0])
	}
	for key := range a.options {
		if !a.used[key] {
			a.fail("unknown argument %s", key)
		}
	}
}
