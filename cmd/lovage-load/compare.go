package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/experiment/compare"
)

// gcPercent trades memory for speed, because a comparison allocates many
// short-lived objects.
const gcPercent = 400

// runCompare implements "lovage-load compare".
func runCompare(args []string, out io.Writer) error {
	flags := flag.NewFlagSet(program+" compare", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "print the rows as one JSON array instead of a table")
	seeds := flags.Int("seeds", compare.DefaultSeeds, "number of seeds; the first is 1")
	parallel := flags.Int("parallel", max(1, runtime.GOMAXPROCS(0)/2), "simulations to run in parallel (default: half of the processors)")
	set := flags.String("set", string(compare.StandardSet), "cases to run: standard, ablation for the policy with one mechanism disabled at a time, or shortage for leased endpoints at 110% to 300% of their capacity")
	only := flags.String("only", "", "regular expression that selects scenario/policy names to run (default: all)")
	plot := flags.String("plot", "", "`file` (.png, .svg or .pdf) for a plot of one scenario (default: none)")
	plotted := flags.String("plot-scenario", "burst", "scenario to plot with -plot")
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if *seeds < 1 || *parallel < 1 {
		return &command.UsageError{What: "-seeds or -parallel is below 1", Remedy: "set both to at least 1"}
	}
	if known := compare.Set(*set); known != compare.StandardSet && known != compare.AblationSet && known != compare.ShortageSet {
		return &command.UsageError{What: "unknown -set " + *set, Remedy: "choose standard, ablation or shortage"}
	}
	debug.SetGCPercent(gcPercent)
	if compare.Set(*set) == compare.ShortageSet {
		return writeShortages(compare.Shortages(*seeds, *parallel), *asJSON, out)
	}
	report, err := compare.Compare(compare.Set(*set), *only, *seeds, *parallel)
	if err != nil {
		return err
	}
	if *plot != "" {
		if err := report.Plot(*plotted, *plot); err != nil {
			return err
		}
	}
	if *asJSON {
		return json.NewEncoder(out).Encode(report.Rows)
	}
	compare.WriteTable(out, report.Rows)
	if report.Headline == nil {
		return nil
	}
	line, err := json.Marshal(report.Headline)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(line))
	return err
}

func writeShortages(rows []compare.ShortageRow, asJSON bool, out io.Writer) error {
	if asJSON {
		return json.NewEncoder(out).Encode(rows)
	}
	compare.WriteShortageTable(out, rows)
	return nil
}
