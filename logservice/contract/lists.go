package contract

import (
	"reflect"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"lovagespread.example/logservice"
	"lovagespread.example/logservice/platformapi"
)

// VMListUnderTest is a list of VMs without lag, with the hooks that control it.
type VMListUnderTest struct {
	Lister  logservice.VMLister
	Set     func(vms []platformapi.VM)
	SetDown func(down bool) // starts or ends an outage
}

// TestVMList tests a logservice.VMLister. It calls newList once per test.
func TestVMList(t *testing.T, newList func(t *testing.T) VMListUnderTest) {
	t.Helper()
	t.Run("ListsEveryField", func(t *testing.T) { listsEveryField(t, newList(t)) })
	t.Run("OmitsOtherEndpoints", func(t *testing.T) { omitsOtherEndpoints(t, newList(t)) })
	t.Run("ReportsUnchangedList", func(t *testing.T) { reportsUnchangedList(t, newList(t)) })
	t.Run("OutageGivesTypedError", func(t *testing.T) { listOutageGivesTypedError(t, newList(t)) })
}

func listsEveryField(t *testing.T, l VMListUnderTest) {
	want := []platformapi.VM{
		{
			Name: "entry-1", Role: platformapi.RoleEntry, Address: "10.0.0.1:1", State: platformapi.VMLive,
			Region: "r", FailureDomain: "a",
		},
		{
			Name: "endpoint-1", Role: platformapi.RoleEndpoint, Address: "10.0.0.2:2", State: platformapi.VMLeaving,
			Region: "r", FailureDomain: "b", Rack: "k", Service: "s", Slots: 8, Worker: "w",
			MilliCores: 64000, MemoryMiB: 1 << 17, Accelerators: 2,
		},
	}
	l.Set(want)
	list, err := l.Lister.VMs(t.Context(), logservice.VMQuery{})
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(list.VMs, want) {
		t.Errorf("listed %+v, want %+v", list.VMs, want)
	}
	if list.AsOf.IsZero() {
		t.Error("the list has no time")
	}
}

func omitsOtherEndpoints(t *testing.T, l VMListUnderTest) {
	l.Set([]platformapi.VM{
		{Name: "entry-b", Role: platformapi.RoleEntry, FailureDomain: "b"},
		{Name: "endpoint-a", Role: platformapi.RoleEndpoint, FailureDomain: "a"},
		{Name: "endpoint-b", Role: platformapi.RoleEndpoint, FailureDomain: "b"},
	})
	list, err := l.Lister.VMs(t.Context(), logservice.VMQuery{EndpointsIn: "a"})
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, vm := range list.VMs {
		names = append(names, vm.Name)
	}
	if want := []string{"entry-b", "endpoint-a"}; !reflect.DeepEqual(names, want) {
		t.Errorf("listed %v, want %v", names, want)
	}
}

func reportsUnchangedList(t *testing.T, l VMListUnderTest) {
	vms := []platformapi.VM{{Name: "endpoint-a", Role: platformapi.RoleEndpoint, FailureDomain: "a"}}
	l.Set(vms)
	first, err := l.Lister.VMs(t.Context(), logservice.VMQuery{})
	if err != nil {
		t.Fatal(err)
	}
	again, err := l.Lister.VMs(t.Context(), logservice.VMQuery{Known: first.Version})
	if err != nil || !again.Unchanged || again.Version != first.Version {
		t.Errorf("listed %+v, %v; want version %q unchanged", again, err, first.Version)
	}
	vms[0].State = platformapi.VMLeaving
	l.Set(vms)
	changed, err := l.Lister.VMs(t.Context(), logservice.VMQuery{Known: first.Version})
	if err != nil || changed.Unchanged || changed.Version == first.Version || len(changed.VMs) != 1 {
		t.Errorf("listed %+v, %v; want a changed list", changed, err)
	}
}

func listOutageGivesTypedError(t *testing.T, l VMListUnderTest) {
	if l.SetDown == nil {
		t.Skip("no hook to start an outage")
	}
	l.SetDown(true)
	_, err := l.Lister.VMs(t.Context(), logservice.VMQuery{})
	var unavailable *logservice.UnavailableError
	if !errors.As(err, &unavailable) {
		t.Errorf("error %v, want an *UnavailableError", err)
	}
}

// UsageUnderTest is a usage reader without lag, with the hooks that control it.
type UsageUnderTest struct {
	Reader  logservice.UsageReader
	Set     func(usage []platformapi.Usage)
	SetDown func(down bool) // starts or ends an outage
}

// TestUsage tests a logservice.UsageReader. It calls newUsage once per test.
func TestUsage(t *testing.T, newUsage func(t *testing.T) UsageUnderTest) {
	t.Helper()
	t.Run("ReportsEveryField", func(t *testing.T) { reportsEveryField(t, newUsage(t)) })
	t.Run("OutageGivesTypedError", func(t *testing.T) { usageOutageGivesTypedError(t, newUsage(t)) })
}

func reportsEveryField(t *testing.T, u UsageUnderTest) {
	want := []platformapi.Usage{{
		Worker: "w", AsOf: time.Unix(1_700_000_000, 0).UTC(), MilliCores: 500, MemoryMiB: 2048, Accelerators: 1, Tasks: 3,
	}}
	u.Set(want)
	report, err := u.Reader.Usage(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(report.Usages, want) {
		t.Errorf("reported %+v, want %+v", report.Usages, want)
	}
}

func usageOutageGivesTypedError(t *testing.T, u UsageUnderTest) {
	if u.SetDown == nil {
		t.Skip("no hook to start an outage")
	}
	u.SetDown(true)
	_, err := u.Reader.Usage(t.Context())
	var unavailable *logservice.UnavailableError
	if !errors.As(err, &unavailable) {
		t.Errorf("error %v, want an *UnavailableError", err)
	}
}
