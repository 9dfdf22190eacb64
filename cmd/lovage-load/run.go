package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/catalog"
	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/experiment/load"
)

// progressInterval is the time between progress lines.
const progressInterval = time.Second

// runFlags holds the flags of "lovage-load run".
type runFlags struct {
	control       string
	address       string
	admins        string
	services      string
	seed          uint64
	load          float64
	callers       int
	inFlight      int
	duration      time.Duration
	callerTimeout time.Duration
	settle        time.Duration
	json          bool
	quiet         bool
}

func parseRunFlags(args []string) (runFlags, error) {
	var f runFlags
	flags := flag.NewFlagSet(program+" run", flag.ContinueOnError)
	flags.StringVar(&f.control, "control", "", "control listener of lovage-standin, `host:port` (required)")
	flags.StringVar(&f.address, "address", "", "balancer or entry that callers connect to, `host:port` (required)")
	flags.StringVar(&f.admins, "admins", "", "admin listeners of the entries whose message counts are shown, `host:port,...` (default: none)")
	flags.StringVar(&f.services, "services", "", "services `file` (required)")
	flags.Uint64Var(&f.seed, "seed", 1, "random seed of arrivals, sizes and run times")
	flags.Float64Var(&f.load, "load", 0.5, "offered load as a share of the capacity of all slots")
	flags.IntVar(&f.callers, "callers", 200, "number of callers, each with its own connections and job IDs")
	flags.IntVar(&f.inFlight, "in-flight", 20_000, "maximum number of jobs that wait for their answers at the same time")
	flags.DurationVar(&f.duration, "duration", 20*time.Second, "length of the time in which jobs arrive")
	flags.DurationVar(&f.callerTimeout, "patience", 30*time.Second, "how long a caller waits for one job")
	flags.DurationVar(&f.settle, "settle", 2*time.Second, "time after the last answer in which late task starts are still counted")
	flags.BoolVar(&f.json, "json", false, "print only the result, as one line of JSON, without the table")
	flags.BoolVar(&f.quiet, "quiet", false, "print no progress lines on standard error")
	if err := command.Parse(flags, args); err != nil {
		return f, err
	}
	if f.control == "" || f.address == "" || f.services == "" {
		return f, &command.UsageError{
			What:   "-control, -address or -services is missing",
			Remedy: "name the stand-ins, the balancer and the services file",
		}
	}
	return f, nil
}

// GuaranteeViolationError reports a run that violated a guarantee of the
// dispatcher.
type GuaranteeViolationError struct{ Report load.Report }

func (e *GuaranteeViolationError) Error() string {
	return fmt.Sprintf("%d partial answers, %d double starts, %d false not_run: keep the logs and report a defect",
		e.Report.Partial, e.Report.DoubleStarts, e.Report.FalseNotRun)
}

// runRun implements "lovage-load run".
func runRun(args []string, out io.Writer) error {
	f, err := parseRunFlags(args)
	if err != nil {
		return err
	}
	services, err := readServices(f.services)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	report, detail, err := measure(ctx, f, services)
	if err != nil {
		return err
	}
	if err := printResult(out, f, report, detail); err != nil {
		return err
	}
	if !report.GuaranteesHold() {
		return &GuaranteeViolationError{Report: report}
	}
	return nil
}

func readServices(file string) (*catalog.Catalog, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &command.UsageError{What: err.Error(), Remedy: "name a readable file with -services"}
	}
	services, err := catalog.ParseServices(file, text)
	if err != nil {
		return nil, &command.UsageError{What: err.Error(), Remedy: "correct the services file"}
	}
	return services, nil
}

func measure(ctx context.Context, f runFlags, services *catalog.Catalog) (load.Report, load.Detail, error) {
	standins := load.NewStandins(f.control)
	slots, err := standins.Slots(ctx)
	if err != nil {
		return load.Report{}, load.Detail{}, err
	}
	generator, err := load.NewGenerator(load.GeneratorOptions{
		Run: newRunPrefix(), Seed: f.seed, Services: services.Services, Slots: slots, Load: f.load,
	})
	if err != nil {
		return load.Report{}, load.Detail{}, err
	}
	measurement, err := load.StartMeasurement(ctx, standins, splitList(f.admins)...)
	if err != nil {
		return load.Report{}, load.Detail{}, err
	}
	callers := newCallers(f.address, f.callers, f.callerTimeout)
	tally := load.NewTally()
	if err := generate(ctx, f, generator, callers, tally, measurement); err != nil {
		return load.Report{}, load.Detail{}, err
	}
	idempotent := func(name string) bool {
		service, ok := services.Service(name)
		return ok && service.Idempotent
	}
	return measurement.Report(context.WithoutCancel(ctx), tally, repeats(callers), idempotent)
}

// splitList splits a comma-separated list. An empty list has no elements.
func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

func generate(ctx context.Context, f runFlags, generator *load.Generator, callers []*load.ClientCaller, tally *load.Tally, m *load.Measurement) error {
	stop := showProgress(f, tally)
	defer stop()
	var rateErr error
	unsent, err := load.Run(ctx, load.Options{
		Generator:     generator,
		Callers:       asCallers(callers),
		Duration:      f.duration,
		CallerTimeout: f.callerTimeout,
		MaxInFlight:   f.inFlight,
		OnArrivalsEnd: func() { rateErr = m.RecordStartRate(context.WithoutCancel(ctx)) },
	}, tally)
	if unsent > 0 {
		fmt.Fprintf(os.Stderr, "%d arrivals were not sent: raise -in-flight\n", unsent)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		return err // an interrupted run still reports the answers it received
	}
	time.Sleep(f.settle)
	return rateErr
}

func newCallers(address string, count int, callerTimeout time.Duration) []*load.ClientCaller {
	callers := make([]*load.ClientCaller, count)
	for i := range callers {
		callers[i] = load.NewClientCaller(address, callerTimeout)
	}
	return callers
}

func asCallers(callers []*load.ClientCaller) []load.Caller {
	list := make([]load.Caller, len(callers))
	for i, caller := range callers {
		list[i] = caller
	}
	return list
}

func repeats(callers []*load.ClientCaller) int64 {
	total := int64(0)
	for _, caller := range callers {
		total += caller.Repeats()
	}
	return total
}

// showProgress prints progress lines periodically until stop is called.
func showProgress(f runFlags, tally *load.Tally) (stop func()) {
	if f.quiet {
		return func() {}
	}
	done := make(chan struct{})
	start := time.Now()
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				printProgress(time.Since(start), tally.Progress())
			}
		}
	}()
	return func() { close(done) }
}

func printProgress(elapsed time.Duration, p load.Progress) {
	fmt.Fprintf(os.Stderr, "%3.0f s  jobs %6d  complete %6d  failed %4d  unknown %4d  slowdown p99 %.2f\n",
		elapsed.Seconds(), p.Jobs, p.Complete, p.Failed, p.Unknown, p.P99)
}

func printResult(out io.Writer, f runFlags, report load.Report, detail load.Detail) error {
	if !f.json {
		if err := detail.Write(os.Stderr); err != nil {
			return err
		}
	}
	return json.NewEncoder(out).Encode(report)
}
