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

// closedLoopFlags holds the flags of a closed-loop run, in which each caller
// sends a job only after its previous job has ended.
type closedLoopFlags struct {
	control  *string
	service  *string
	tasks    *int
	runTime  *time.Duration
	callers  *int
	duration *time.Duration
}

func addClosedLoopFlags(flags *flag.FlagSet) closedLoopFlags {
	return closedLoopFlags{
		control:  flags.String("control", "", "control listener of lovage-standin, `host:port` (required)"),
		service:  flags.String("service", "", "`name` of the service whose tasks are sent (required)"),
		tasks:    flags.Int("tasks", 1, "tasks per job"),
		runTime:  flags.Duration("run-time", 0, "actual run time of each task"),
		callers:  flags.Int("callers", 16, "concurrent callers, each with one job at a time"),
		duration: flags.Duration("duration", 5*time.Second, "length of the run"),
	}
}

func (f closedLoopFlags) check() error {
	if *f.control == "" || *f.service == "" {
		return &command.UsageError{What: "-control or -service is missing", Remedy: "name the control listener and a service"}
	}
	return nil
}

func (f closedLoopFlags) options(callers []load.Caller) load.ClosedOptions {
	return load.ClosedOptions{
		Run:      newRunPrefix(),
		Service:  *f.service,
		Tasks:    *f.tasks,
		RunTime:  *f.runTime,
		Callers:  callers,
		Duration: *f.duration,
	}
}

// newRunPrefix returns a prefix for request names, derived from the time so that
// it differs from those of earlier runs.
func newRunPrefix() string {
	const base = 36
	return strconv.FormatInt(time.Now().UnixNano(), base)
}

// runDirect implements "lovage-load direct".
func runDirect(args []string, out io.Writer) error {
	flags := flag.NewFlagSet(program+" direct", flag.ContinueOnError)
	closed := addClosedLoopFlags(flags)
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

// directCallers returns callers that send tasks directly to the endpoints. All
// share the same connections.
func directCallers(ctx context.Context, control string, count int) ([]load.Caller, error) {
	endpoints, err := load.NewStandins(control).Endpoints(ctx)
	if err != nil {
		return nil, err
	}
	direct := load.NewDirect(newRunPrefix(), endpoints)
	callers := make([]load.Caller, count)
	for i := range callers {
		callers[i] = direct
	}
	return callers, nil
}
