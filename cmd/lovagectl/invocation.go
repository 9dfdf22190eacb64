package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// invocation is one run of a command.
type invocation struct {
	ctx    context.Context
	name   string
	raw    []string
	flags  *flag.FlagSet
	json   bool
	wrote  bool // a JSON document was written
	stdout io.Writer
	stderr io.Writer
}

func runCommand(ctx context.Context, c command, args []string, stdout, stderr io.Writer) exitCode {
	in := &invocation{ctx: ctx, name: c.name, raw: args, stdout: stdout, stderr: stderr}
	in.flags = flag.NewFlagSet("lovagectl "+c.name, flag.ContinueOnError)
	in.flags.SetOutput(stderr)
	in.flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: lovagectl %s [FLAGS] %s\n%s\n", c.name, c.args, c.summary)
		in.flags.PrintDefaults()
	}
	in.flags.BoolVar(&in.json, "json", false, "write one JSON document to standard output")
	err := c.run(in)
	code := codeOf(err)
	if err != nil && code != exitDone {
		in.report(err, code)
	}
	return code
}

// parse reads the flags and returns the arguments that follow them. It checks
// that there are at least least and at most most of them; most < 0 means any
// number.
func (in *invocation) parse(least, most int) ([]string, error) {
	if err := in.flags.Parse(in.raw); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		return nil, usagef("%v", err)
	}
	args := in.flags.Args()
	if len(args) < least || most >= 0 && len(args) > most {
		return nil, usagef("wrong number of arguments: see lovagectl %s -h", in.name)
	}
	return args, nil
}

// failure is the JSON form of an error.
type failure struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
}

func (in *invocation) report(err error, code exitCode) {
	fmt.Fprintln(in.stderr, err)
	if in.json && !in.wrote {
		_ = in.writeJSON(failure{Error: err.Error(), ExitCode: int(code)})
	}
}

func (in *invocation) writeJSON(document any) error {
	in.wrote = true
	encoder := json.NewEncoder(in.stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}

// table writes aligned rows.
func (in *invocation) table(rows func(w io.Writer)) error {
	w := tabwriter.NewWriter(in.stdout, 0, 0, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

// show writes a document as JSON or for people.
func (in *invocation) show(document any, rows func(w io.Writer)) error {
	if in.json {
		return in.writeJSON(document)
	}
	return in.table(rows)
}

// Default deadlines.
const defaultTimeout = 10 * time.Second
