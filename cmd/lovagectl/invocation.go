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

// invocation is one execution of a subcommand.
type invocation struct {
	ctx       context.Context
	name      string
	args      []string
	flags     *flag.FlagSet
	json      bool
	wroteJSON bool // a JSON document was written
	stdout    io.Writer
	stderr    io.Writer
}

func runCommand(ctx context.Context, c command, args []string, stdout, stderr io.Writer) exitCode {
	in := &invocation{ctx: ctx, name: c.name, args: args, stdout: stdout, stderr: stderr}
	in.flags = flag.NewFlagSet("lovagectl "+c.name, flag.ContinueOnError)
	in.flags.SetOutput(stderr)
	in.flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: lovagectl %s [FLAGS] %s\n%s\n", c.name, c.args, c.summary)
		in.flags.PrintDefaults()
	}
	in.flags.BoolVar(&in.json, "json", false, "write one JSON document to standard output")
	err := c.run(in)
	code := exitCodeFor(err)
	if err != nil && code != exitDone {
		in.report(err, code)
	}
	return code
}

// parse parses the flags and returns the positional arguments. It checks that
// there are at least minArgs and at most maxArgs of them; maxArgs < 0 means no
// limit.
func (in *invocation) parse(minArgs, maxArgs int) ([]string, error) {
	if err := in.flags.Parse(in.args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, err
		}
		return nil, usagef("%v", err)
	}
	args := in.flags.Args()
	if len(args) < minArgs || maxArgs >= 0 && len(args) > maxArgs {
		return nil, usagef("wrong number of arguments: see lovagectl %s -h", in.name)
	}
	return args, nil
}

// errorReport is the JSON form of an error.
type errorReport struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
}

func (in *invocation) report(err error, code exitCode) {
	fmt.Fprintln(in.stderr, err)
	if in.json && !in.wroteJSON {
		_ = in.writeJSON(errorReport{Error: err.Error(), ExitCode: int(code)})
	}
}

func (in *invocation) writeJSON(document any) error {
	in.wroteJSON = true
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

// show writes a document as JSON with -json, and as aligned rows without it.
func (in *invocation) show(document any, rows func(w io.Writer)) error {
	if in.json {
		return in.writeJSON(document)
	}
	return in.table(rows)
}

// defaultTimeout is the default of the -timeout flags.
const defaultTimeout = 10 * time.Second
