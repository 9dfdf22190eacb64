package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/experiment/soak"
)

// runSoak plays soaks of lovage-fleet with seeds in a row and prints a line of
// JSON for each.
func runSoak(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	binary := flags.String("fleet", "", "`path` of lovage-fleet (required)")
	seed := flags.Uint64("seed", 1, "`number` of the first seed")
	seeds := flags.Int("seeds", 1, "`number` of seeds in a row")
	seconds := flags.Int("seconds", 15, "`seconds` of faults for each seed")
	domains := flags.Int("domains", 3, "`number` of failure domains")
	entries := flags.Int("entries", 2, "`number` of entries in each failure domain")
	network := flags.Int("network", 77, "`number` N of the entries' addresses 127.0.N.x")
	calm := flags.Bool("calm", false, "inject no faults")
	keep := flags.String("keep", "", "`directory` for settings and logs (default: a temporary one, removed unless a promise is broken)")
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if *binary == "" {
		return &command.UsageError{What: "-fleet is missing", Remedy: "name the program lovage-fleet"}
	}
	broken := 0
	for n := range *seeds {
		opts := soak.Options{
			Binary: *binary, Seed: *seed + uint64(n), Length: time.Duration(*seconds) * time.Second,
			Domains: *domains, Entries: *entries, Network: *network, Calm: *calm,
		}
		violated, err := soakOnce(opts, *keep, out)
		if err != nil {
			return err
		}
		if violated {
			broken++
		}
	}
	if broken > 0 {
		return errors.Errorf("%d of %d seeds broke a promise", broken, *seeds)
	}
	return nil
}

func soakOnce(opts soak.Options, keep string, out io.Writer) (bool, error) {
	dir := keep
	if dir == "" {
		made, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", opts.Seed))
		if err != nil {
			return false, errors.Wrap(err, "make a directory for logs")
		}
		dir = made
	}
	opts.Dir = dir
	report, err := soak.Run(context.Background(), opts)
	if err != nil {
		return false, err
	}
	line, err := json.Marshal(report)
	if err != nil {
		return false, errors.Wrap(err, "encode the report")
	}
	fmt.Fprintln(out, string(line))
	if len(report.Violations) == 0 && keep == "" {
		return false, os.RemoveAll(dir)
	}
	if len(report.Violations) > 0 {
		fmt.Fprintln(out, "logs are kept in", dir)
	}
	return len(report.Violations) > 0, nil
}
