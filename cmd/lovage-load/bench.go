package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/experiment/load"
)

// FailedJobsError reports a benchmark in which jobs failed.
type FailedJobsError struct{ Failed int64 }

func (e *FailedJobsError) Error() string {
	return fmt.Sprintf("%d jobs failed, so the results are invalid: lower -callers or -tasks, read the entry's log", e.Failed)
}

// runBench implements "lovage-load bench".
func runBench(args []string, out io.Writer) error {
	flags := flag.NewFlagSet(program+" bench", flag.ContinueOnError)
	control := flags.String("control", "", "control listener of lovage-standin, `host:port` (required)")
	address := flags.String("address", "", "caller listener of one entry, `host:port` (required)")
	service := flags.String("service", "", "`name` of the idempotent service whose tasks are sent (required)")
	tasks := flags.Int("tasks", 20, "tasks per job in the two throughput phases")
	count := flags.Int("callers", 16, "concurrent callers, each with one job at a time")
	duration := flags.Duration("duration", 3*time.Second, "length of each of the four phases")
	asJSON := flags.Bool("json", false, "print only the result, as one line of JSON")
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if *control == "" || *address == "" || *service == "" {
		return &command.UsageError{What: "-control, -address or -service is missing", Remedy: "name the stand-ins, the entry and a service"}
	}
	ctx := context.Background()
	direct, err := directCallers(ctx, *control, *count)
	if err != nil {
		return err
	}
	report, detail, err := load.Bench(ctx, load.BenchOptions{
		Run:      newRunPrefix(),
		Service:  *service,
		Tasks:    *tasks,
		Duration: *duration,
		Entry:    asCallers(newCallers(*address, *count, *duration)),
		Direct:   direct,
		Standins: load.NewStandins(*control),
	})
	if err != nil {
		return err
	}
	return printBench(out, *asJSON, report, detail)
}

func printBench(out io.Writer, asJSON bool, report load.BenchReport, detail load.BenchDetail) error {
	if !asJSON {
		text, err := json.MarshalIndent(detail, "", "  ")
		if err != nil {
			return err
		}
		fmt.Fprintln(os.Stderr, string(text))
	}
	if err := json.NewEncoder(out).Encode(report); err != nil {
		return err
	}
	failed := detail.IdleDirect.Failed + detail.IdleEntry.Failed + detail.ThroughputDirect.Failed + detail.ThroughputEntry.Failed
	if failed > 0 {
		return &FailedJobsError{Failed: failed}
	}
	return nil
}
