package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"lovagespread.example/cmd/internal/command"
	"lovagespread.example/experiment/load"
	"lovagespread.example/standin/fakebalancer"
	"lovagespread.example/standin/fakeendpoint"
	"lovagespread.example/standin/fakeplatform"
)

// Targets of a fault.
const (
	targetEndpoint = "endpoint"
	targetBalancer = "balancer"
	targetPlatform = "platform"
)

// faultFlags holds the flags of "lovage-load fault".
type faultFlags struct {
	target   string
	control  string
	platform string
	endpoint fakeendpoint.FaultRequest
	balancer fakebalancer.FaultSettings
	faults   fakeplatform.Faults
}

func parseFaultFlags(args []string) (faultFlags, error) {
	var f faultFlags
	flags := flag.NewFlagSet(program+" fault", flag.ContinueOnError)
	flags.StringVar(&f.target, "target", targetEndpoint, "endpoint, balancer or platform")
	flags.StringVar(&f.control, "control", "", "control listener of lovage-standin, `host:port` (required unless -target is platform)")
	addEndpointFaults(flags, &f.endpoint)
	flags.Float64Var(&f.balancer.BreakShare, "break-share", 0, "balancer: share of requests, 0 to 1, whose connection breaks before they are forwarded")
	flags.Float64Var(&f.balancer.LoseReplyShare, "lose-reply-share", 0, "balancer: share of requests, 0 to 1, whose response is lost after they are forwarded")
	flags.StringVar(&f.platform, "platform", "", "platform: its `host:port` (required)")
	addPlatformFaults(flags, &f.faults)
	err := command.Parse(flags, args)
	return f, err
}

func addEndpointFaults(flags *flag.FlagSet, req *fakeendpoint.FaultRequest) {
	flags.StringVar((*string)(&req.Fault.Kind), "kind", "", "endpoint: crash, refuse, fail_fast, straggle, silence_open, silence, break_open, break_after_read, lose_reply, pause, leaving, delay or clear (required)")
	flags.Float64Var(&req.Fault.Factor, "factor", 0, "for straggle: factor by which tasks run longer")
	flags.Float64Var(&req.Fault.DelayMS, "delay-ms", 0, "for delay: milliseconds before each write")
	flags.StringVar(&req.Selector.Endpoint, "endpoint", "", "only the endpoint with this name (default: all)")
	flags.StringVar(&req.Selector.Service, "service", "", "only endpoints of this service (default: all)")
	flags.StringVar(&req.Selector.FailureDomain, "failure-domain", "", "only endpoints in this failure domain (default: all)")
	flags.StringVar(&req.Selector.Rack, "rack", "", "only endpoints in this rack (default: all)")
	flags.StringVar(&req.Selector.Worker, "worker", "", "only endpoints on this worker (default: all)")
	flags.IntVar(&req.Selector.Limit, "limit", 0, "at most this many endpoints, in the order of their names; 0 means all")
}

func addPlatformFaults(flags *flag.FlagSet, faults *fakeplatform.Faults) {
	flags.BoolVar(&faults.Down, "down", false, "platform: every connection breaks without a reply")
	flags.BoolVar(&faults.Hang, "hang", false, "platform: requests get no reply")
	flags.Int64Var(&faults.SlowMS, "slow-ms", 0, "platform: additional latency of each request in milliseconds")
	flags.IntVar(&faults.LoseReplies, "lose-replies", 0, "platform: number of next appends that take effect without a reply")
	flags.StringVar((*string)(&faults.List), "list", "", "platform: fault of the VM list: stale, empty or shrunken (default: none)")
	flags.IntVar(&faults.KeepVMs, "keep-vms", 0, "platform: number of VMs that remain in a shrunken list")
}

// runFault implements "lovage-load fault". For the balancer and the platform it
// replaces all fault settings.
func runFault(args []string, out io.Writer) error {
	f, err := parseFaultFlags(args)
	if err != nil {
		return err
	}
	ctx := context.Background()
	switch f.target {
	case targetEndpoint:
		return f.setEndpoints(ctx, out)
	case targetBalancer:
		return f.setBalancer(ctx)
	case targetPlatform:
		return f.setPlatform(ctx)
	}
	return &command.UsageError{
		What:   fmt.Sprintf("unknown target %q", f.target),
		Remedy: "use endpoint, balancer or platform",
	}
}

func (f faultFlags) setEndpoints(ctx context.Context, out io.Writer) error {
	if f.control == "" || f.endpoint.Fault.Kind == "" {
		return &command.UsageError{What: "-control or -kind is missing", Remedy: "name the control listener and the fault"}
	}
	done, err := load.NewStandins(f.control).SetEndpointFault(ctx, f.endpoint)
	if err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(done)
}

func (f faultFlags) setBalancer(ctx context.Context) error {
	if f.control == "" {
		return &command.UsageError{What: "-control is missing", Remedy: "name the control listener"}
	}
	return load.NewStandins(f.control).SetBalancerFaults(ctx, f.balancer)
}

func (f faultFlags) setPlatform(ctx context.Context) error {
	if f.platform == "" {
		return &command.UsageError{What: "-platform is missing", Remedy: "name the platform"}
	}
	return load.SetPlatformFaults(ctx, f.platform, f.faults)
}
