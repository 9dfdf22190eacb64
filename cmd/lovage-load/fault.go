package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/experiment/load"
	"lovagespread.example/standin/fakeendpoint"
)

// runFault carries out "lovage-load fault".
func runFault(args []string, out io.Writer) error {
	flags := flag.NewFlagSet(program+" fault", flag.ContinueOnError)
	control := flags.String("control", "", "control listener of lovage-standin, `host:port` (required)")
	req := fakeendpoint.FaultRequest{}
	flags.StringVar((*string)(&req.Fault.Kind), "kind", "", "fault: crash, refuse, fail_fast, straggle, silence_open, silence, break_open, break_after_read, lose_reply, pause, leaving, delay or clear (required)")
	flags.Float64Var(&req.Fault.Factor, "factor", 0, "of straggle: how many times longer tasks run")
	flags.Float64Var(&req.Fault.DelayMS, "delay-ms", 0, "of delay: milliseconds before each write")
	flags.StringVar(&req.Selector.Endpoint, "endpoint", "", "only the endpoint of this name (default: all)")
	flags.StringVar(&req.Selector.Service, "service", "", "only endpoints of this service (default: all)")
	flags.StringVar(&req.Selector.FailureDomain, "failure-domain", "", "only endpoints in this failure domain (default: all)")
	flags.StringVar(&req.Selector.Rack, "rack", "", "only endpoints in this rack (default: all)")
	flags.StringVar(&req.Selector.Worker, "worker", "", "only endpoints on this worker (default: all)")
	flags.IntVar(&req.Selector.Limit, "limit", 0, "only the first so many endpoints, by name; 0 means all")
	if err := command.Parse(flags, args); err != nil {
		return err
	}
	if *control == "" || req.Fault.Kind == "" {
		return &command.UsageError{What: "-control or -kind is missing", Remedy: "name the control listener and the fault"}
	}
	done, err := load.NewStandins(*control).SetEndpointFault(context.Background(), req)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(done)
}
