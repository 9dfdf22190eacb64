package deployment_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/samber/lo"

	"lovagespread.example/logservice/platformapi"
	"lovagespread.example/standin/deployment"
)

func describe(s deployment.Settings) string {
	return fmt.Sprintf("domains=%v platform=%+v\nworkers=%+v\npools=%+v default=%d entries=%d\n",
		s.FailureDomains, s.Platform, s.Workers, s.Pools, s.DefaultExecutors, len(s.Entries))
}

func start(t *testing.T, file string) *deployment.Deployment {
	t.Helper()
	settings, err := deployment.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	d, err := deployment.Start(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func TestExamplesSpreadExecutors(t *testing.T) {
	tests := []struct{ file, service string }{
		{"../../examples/collections.toml", "dyspozytor"},
		{"../../examples/auctions.toml", "bidhall"},
	}
	for _, tt := range tests {
		t.Run(tt.service, func(t *testing.T) {
			d := start(t, tt.file)
			vms := lo.Filter(d.Fleet.VMs(), func(vm platformapi.VM, _ int) bool { return vm.Service == tt.service })
			wantCounts(t, "failure domain", vms, 3, 16, func(vm platformapi.VM) string { return vm.FailureDomain })
			wantCounts(t, "rack", vms, 6, 8, func(vm platformapi.VM) string { return vm.Rack })
			wantCounts(t, "worker", vms, 48, 1, func(vm platformapi.VM) string { return vm.Worker })
			if slots := lo.SumBy(vms, func(vm platformapi.VM) int { return vm.Slots }); slots != 384 {
				t.Errorf("%d slots, want 384", slots)
			}
		})
	}
}

func wantCounts(t *testing.T, what string, vms []platformapi.VM, groups, each int, key func(platformapi.VM) string) {
	t.Helper()
	counts := lo.CountValuesBy(vms, key)
	if len(counts) != groups {
		t.Errorf("executors are spread over %d values of %s, want %d", len(counts), what, groups)
	}
	for name, n := range counts {
		if n != each {
			t.Errorf("%s %s has %d executors, want %d", what, name, n, each)
		}
	}
}

// Guards against an endpoint that can't listen again after a crash, because the kernel
// has given its port to another socket meanwhile.
func TestEndpointsListenOnReservedAddresses(t *testing.T) {
	first, second := start(t, "../../examples/collections.toml"), start(t, "../../examples/collections.toml")
	used := make(map[string]bool)
	for _, vm := range append(first.Fleet.VMs(), second.Fleet.VMs()...) {
		address := netip.MustParseAddrPort(vm.Address)
		if address.Addr() == netip.MustParseAddr("127.0.0.1") || used[vm.Address] {
			t.Errorf("%s listens on %v, want an address of its own in a reserved network", vm.Name, address)
		}
		used[vm.Address] = true
	}
}
