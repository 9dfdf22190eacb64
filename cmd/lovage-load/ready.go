package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/experiment/load"
)

// readyPollInterval is the time between polls of the balancer.
const readyPollInterval = 100 * time.Millisecond

// NotReadyError reports entries that did not become ready in time.
type NotReadyError struct {
	Ready, Wanted int
	Timeout       time.Duration
}

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("%d of %d entries are ready after %s: read the entries' logs", e.Ready, e.Wanted, e.Timeout)
}

// runReady implements "lovage-load ready".
func runReady(args []string, _ io.Writer) error {
	flags := flag.NewFlagSet(program+" ready", flag.ContinueOnError)
	control := flags.String("control", "", "control listener of lovage-standin, `host:port` (required)")
	wanted := flags.Int("entries", 1, "number of entries to wait for")
	timeout := flags.Duration("timeout", 15*time.Second, "how long to wait")
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if *control == "" {
		return &command.UsageError{What: "-control is missing", Remedy: "name the control listener"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), *timeout)
	defer cancel()
	return waitReady(ctx, load.NewStandins(*control), *wanted, *timeout)
}

func waitReady(ctx context.Context, standins *load.Standins, wanted int, timeout time.Duration) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	last := 0
	for {
		ready, err := standins.Ready(ctx)
		if err == nil {
			last = len(ready)
		}
		if last >= wanted {
			return nil
		}
		select {
		case <-ctx.Done():
			return &NotReadyError{Ready: last, Wanted: wanted, Timeout: timeout}
		case <-ticker.C:
		}
	}
}
