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

// runSoak implements "lovage-load soak". It runs a soak test of lovage-fleet for
// each of several consecutive seeds and prints one line of JSON for each.
func runSoak(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("soak", flag.ContinueOnError)
	binary := flags.String("fleet", "", "`path` of lovage-fleet (required)")
	seed := flags.Uint64("seed", 1, "`number` of the first seed")
	seeds := flags.Int("seeds", 1, "`number` of consecutive seeds to run")
	seconds := flags.Int("seconds", 15, "`seconds` during which faults are injected for each seed")
	domains := flags.Int("domains", 3, "`number` of failure domains")
	entries := flags.Int("entries", 2, "`number` of entries in each failure domain")
	network := flags.Int("network", 0, "`number` N in the entries' addresses 127.0.N.x; 0: one that no other deployment uses")
	noFaults := flags.Bool("calm", false, "inject no faults")
	crowd := flags.Bool("crowd", false, "play more best-effort work than room, callers that come back and entries that die and are back")
	atOnce := flags.Bool("at-once", false, "with -crowd: let some callers whose connection breaks come back at once")
	keep := flags.String("keep", "", "`directory` for settings and logs (default: a temporary one, removed unless a guarantee is violated)")
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if *binary == "" {
		return &command.UsageError{What: "-fleet is missing", Remedy: "name the path of lovage-fleet"}
	}
	failedSeeds := 0
	for n := range *seeds {
		opts := soak.Options{
			Binary: *binary, Seed: *seed + uint64(n), FaultDuration: time.Duration(*seconds) * time.Second,
			Domains: *domains, Entries: *entries, Subnet: *network, NoFaults: *noFaults, Crowd: *crowd, AtOnce: *atOnce,
		}
		violated, err := soakOnce(opts, *keep, out)
		if err != nil {
			return err
		}
		if violated {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return errors.Errorf("%d of %d seeds violated a guarantee", failedSeeds, *seeds)
	}
	return nil
}

func soakOnce(opts soak.Options, keep string, out io.Writer) (bool, error) {
	dir := keep
	if dir == "" {
		temporary, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", opts.Seed))
		if err != nil {
			return false, errors.Wrap(err, "create a directory for logs")
		}
		dir = temporary
	}
	const permissions = 0o700
	if err := os.MkdirAll(dir, permissions); err != nil {
		return false, errors.Wrap(err, "create the directory for settings and logs")
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
