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

// gcPercent trades memory for speed: a comparison allocates many short-lived
// objects.
const gcPercent = 400

// runCompare carries out "lovage-load compare".
func runCompare(args []string, out io.Writer) error {
	flags := flag.NewFlagSet(program+" compare", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "print the rows as one JSON array instead of a table")
	seeds := flags.Int("seeds", compare.DefaultSeeds, "number of seeds, counted from 1")
	parallel := flags.Int("parallel", max(1, runtime.GOMAXPROCS(0)/2), "runs at a time; default: half of the processors")
	set := flags.String("set", string(compare.StandardSet), "cases to run: standard, or ablation for the policy with one mechanism switched off")
	only := flags.String("only", "", "regular expression of scenario/policy names to run; empty: all")
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	report, err := compare.Compare(compare.Set(*set), *only, *seeds, *parallel)
	if err != nil {
		return err
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
