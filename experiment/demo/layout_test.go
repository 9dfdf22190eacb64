package demo_test

import (
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"reflect"
	"testing"

	"lovagespread.example/entry/settings"
	"lovagespread.example/experiment/demo"
	"lovagespread.example/standin/deployment"
)

func TestWrittenSettingsAreValid(t *testing.T) {
	standins, err := deployment.Load("../../examples/collections.toml")
	if err != nil {
		t.Fatal(err)
	}
	layout, err := demo.Write(demo.Options{
		Dir:              t.TempDir(),
		Standins:         standins,
		EntriesPerDomain: 3,
		Rand:             rand.New(rand.NewPCG(1, 1)),
	})
	if err != nil {
		t.Fatal(err)
	}
	read, err := deployment.Load(filepath.Join(layout.Dir, "standin.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, layout.Standins) {
		t.Errorf("stand-ins' settings read back as\n%+v\nwant\n%+v", read, layout.Standins)
	}
	if len(layout.Entries) != 9 {
		t.Errorf("%d entries, want 9", len(layout.Entries))
	}
	for _, entry := range layout.Entries {
		checkEntry(t, layout, entry)
	}
}

func checkEntry(t *testing.T, layout demo.Layout, entry demo.Entry) {
	t.Helper()
	s, err := settings.Load(entry.Config)
	if err != nil {
		t.Error(err)
	}
	if s.Name != entry.Name || s.FailureDomain != entry.FailureDomain {
		t.Errorf("settings of %s say %s in %s", entry.Name, s.Name, s.FailureDomain)
	}
	if s.Platform.URL != layout.Platform() || s.Listen.Caller != entry.Caller {
		t.Errorf("settings of %s have other addresses than the layout", entry.Name)
	}
}

// Guards against two deployments with the same addresses: neither has started when
// their layouts are written, so that all ports seem free to both.
func TestLayoutsHaveDifferentHosts(t *testing.T) {
	standins, err := deployment.Load("../../examples/collections.toml")
	if err != nil {
		t.Fatal(err)
	}
	hosts := make(map[netip.Addr]bool)
	for seed := range uint64(3) {
		layout, err := demo.Write(demo.Options{Dir: t.TempDir(), Standins: standins, EntriesPerDomain: 1, Rand: rand.New(rand.NewPCG(seed, 1))})
		if err != nil {
			t.Fatal(err)
		}
		host := netip.MustParseAddrPort(layout.Standins.ControlListen).Addr()
		if hosts[host] || !host.IsLoopback() {
			t.Errorf("layout %d uses %v, want a loopback address of its own", seed, host)
		}
		hosts[host] = true
	}
}
