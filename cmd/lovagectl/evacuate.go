package main

import (
	"context"
	"slices"
	"strings"

	"github.com/samber/lo"

	"lovagespread.example/catalog/change"
	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
)

// evacuate requests the evacuation of a failure domain.
func evacuate(in *invocation) error {
	flags := publishFlags{retryRejected: true}
	flags.register(in.flags)
	force := in.flags.Bool("force", false, "do not check that the platform lists VMs in DOMAIN")
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	if !*force {
		if err := flags.checkDomain(in.ctx, args[0]); err != nil {
			return err
		}
	}
	return flags.publish(in, in.name, fixedBody(&change.Evacuate{Domain: args[0]}))
}

// returnDomain removes the request to evacuate a failure domain.
func returnDomain(in *invocation) error {
	flags := publishFlags{retryRejected: true}
	flags.register(in.flags)
	args, err := in.parse(1, 1)
	if err != nil {
		return err
	}
	return flags.publish(in, in.name, fixedBody(&change.Return{Domain: args[0]}))
}

// checkDomain rejects a misspelt failure domain, whose evacuation would have no
// effect. It accepts every name if the platform lists no VMs or cannot list them.
func (f *platformFlags) checkDomain(ctx context.Context, domain string) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	list, err := client.VMs(ctx, logservice.VMQuery{})
	if err != nil || len(list.VMs) == 0 {
		return nil
	}
	known := lo.Uniq(lo.Map(list.VMs, func(vm platformapi.VM, _ int) string { return vm.FailureDomain }))
	if slices.Contains(known, domain) {
		return nil
	}
	slices.Sort(known)
	return usagef("no VM is in failure domain %q: use one of %s, or add -force", domain, strings.Join(known, ", "))
}
