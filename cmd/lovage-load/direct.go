package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"strconv"
	"time"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/experiment/load"
)

// closedFlags are the flags of closed-loop runs.
type closedFlags struct {
	control  *string
	service  *string
	tasks    *int
	runTime  *time.Duration
	callers  *int
	duration *time.Duration
}

func addClosedFlags(flags *flag.FlagSet) closedFlags {
	return closedFlags{
		control:  flags.String("control", "", "control listener of lovage-standin, `host:port` (required)"),
		service:  flags.String("service", "", "service whose tasks are sent (required)"),
		tasks:    flags.Int("tasks", 1, "tasks of each job"),
		runTime:  flags.Duration("run-time", 0, "true run time of each task"),
		callers:  flags.Int("callers", 16, "callers, each with one job at a time"),
		duration: flags.Duration("duration", 5*time.Second, "length of the run"),
	}
}

func (f closedFlags) check() error {
	if *f.control == "" || *f.service == "" {
		return &command.UsageError{What: "-control or -service is missing", Remedy: "name the control listener and a service"}
	}
	return nil
}

func (f closedFlags) options(callers []load.Caller) load.ClosedOptions {
	return load.ClosedOptions{
		Run:      newRun(),
		Service:  *f.service,
		Tasks:    *f.tasks,
		RunTime:  *f.runTime,
		Callers:  callers,
		Duration: *f.duration,
	}
}

// newRun returns a prefix of request names that no earlier run has used.
func newRun() string {
	const base = 36
	return strconv.FormatInt(time.Now().UnixNano(), base)
}

// runDirect carries out "lovage-load direct".
func runDirect(args []string, out io.Writer) error {
	flags := flag.NewFlagSet(program+" direct", flag.ContinueOnError)
	closed := addClosedFlags(flags)
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if err := closed.check(); err != nil {
		return err
	}
	ctx := context.Background()
	callers, err := directCallers(ctx, *closed.control, *closed.callers)
	if err != nil {
		return err
	}
	result, err := load.RunClosed(ctx, closed.options(callers))
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(result)
}

// directCallers returns callers that share their connections.
func directCallers(ctx context.Context, control string, count int) ([]load.Caller, error) {
	endpoints, err := load.NewStandins(control).Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	direct := load.NewDirect(newRun(), endpoints)
	callers := make([]load.Caller, count)
	for i := range callers {
		callers[i] = direct
	}
	return callers, nil
}
