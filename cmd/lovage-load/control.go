package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/experiment/control"
)

// defaultControlDuration is the default length of a measurement.
const defaultControlDuration = 15 * time.Second

// runControl implements "lovage-load control".
func runControl(args []string, out io.Writer) error {
	flags := flag.NewFlagSet(program+" control", flag.ContinueOnError)
	admins := flags.String("admins", "", "admin `addresses` of the entries, host:port, separated by commas")
	over := flags.Duration("over", defaultControlDuration, "`length` of the measurement")
	endpoints := flags.Int("endpoints", 0, "`number` of endpoints, recorded in the sample")
	changes := flags.Float64("changes", 0, "configuration changes per day, recorded in the sample")
	fit := flags.String("fit", "", "instead of measuring, read samples from standard input, one JSON object per line, and print the slopes against `size`: entries, endpoints or changes_per_day")
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if *fit != "" {
		return fitControl(os.Stdin, out, *fit)
	}
	if *admins == "" {
		return &command.UsageError{What: "-admins is missing", Remedy: "name the admin addresses of the entries"}
	}
	sample, err := control.Measure(context.Background(), strings.Split(*admins, ","), *over)
	if err != nil {
		return err
	}
	sample.Endpoints, sample.ChangesPerDay = *endpoints, *changes
	return json.NewEncoder(out).Encode(sample)
}

func fitControl(in io.Reader, out io.Writer, against string) error {
	var samples []control.Sample
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var s control.Sample
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return err
		}
		samples = append(samples, s)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	fits, err := control.Fit(samples, against)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(fits)
}
