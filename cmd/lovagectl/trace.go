package main

import (
	"io"
	"os"

	"github.com/go-faster/errors"

	"lovagespread.example/fleet/trace"
)

// traceJob reconstructs the history of a job from logs of lovage-fleet, which it
// reads from files or from standard input.
func traceJob(in *invocation) error {
	args, err := in.parse(1, -1)
	if err != nil {
		return err
	}
	job, files := args[0], args[1:]
	var lines []trace.Line
	if len(files) == 0 {
		if lines, err = trace.Read("-", os.Stdin, job); err != nil {
			return err
		}
	}
	for _, name := range files {
		more, err := traceFile(name, job)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	report := trace.Explain(job, lines)
	if in.json {
		return in.writeJSON(report)
	}
	return report.Write(in.stdout)
}

func traceFile(name, job string) ([]trace.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open the log")
	}
	defer func(c io.Closer) { _ = c.Close() }(file) // read only, so a failed close loses nothing
	return trace.Read(name, file, job)
}
