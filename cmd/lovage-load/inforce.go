package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/experiment/load"
)

// NotInForceError reports a configuration version that is not in force at some
// entries when the timeout expires.
type NotInForceError struct {
	Result load.InForce
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is not in force at %s: read the logs of these entries",
		e.Result.Version, strings.Join(e.Result.Missing, ", "))
}

// runInForce implements "lovage-load in-force".
func runInForce(args []string, out io.Writer) error {
	flags := flag.NewFlagSet(program+" in-force", flag.ContinueOnError)
	admins := flags.String("admins", "", "admin listeners of the entries, `host:port,...` (required)")
	version := flags.Uint64("version", 0, "version of the configuration to wait for (required)")
	timeout := flags.Duration("timeout", 5*time.Second, "how long to wait")
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if *admins == "" || *version == 0 {
		return &command.UsageError{What: "-admins or -version is missing", Remedy: "name the entries and the version"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), *timeout)
	defer cancel()
	result := load.WaitInForce(ctx, strings.Split(*admins, ","), *version, time.Now())
	if err := json.NewEncoder(out).Encode(result); err != nil {
		return err
	}
	if len(result.Missing) > 0 {
		return &NotInForceError{Result: result}
	}
	return nil
}
