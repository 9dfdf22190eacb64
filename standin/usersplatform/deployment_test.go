package usersplatform_test

import (
	"errors"
	"testing"

	"lovagespread.example/standin/loopback"
	"lovagespread.example/standin/usersplatform"
)

func start(t *testing.T, subnet int) (*usersplatform.Deployment, error) {
	t.Helper()
	d, err := usersplatform.Start(usersplatform.Options{Dir: t.TempDir(), Domains: 2, Entries: 2, Executors: 1, Subnet: subnet})
	if err == nil {
		t.Cleanup(d.Close)
	}
	return d, err
}

// Guards against deployments that listen on the same addresses, so that all except
// the first fail to start.
func TestTwoDeploymentsAtOnce(t *testing.T) {
	used := make(map[string]bool)
	for range 2 {
		d, err := start(t, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range d.Entries {
			if used[e.Front] {
				t.Errorf("two deployments use %s", e.Front)
			}
			used[e.Front] = true
		}
	}
}

// Guards against an explicit choice of a subnet that takes the addresses of another
// deployment.
func TestSubnetOfAnotherDeploymentIsRefused(t *testing.T) {
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer network.Close()
	var inUse *loopback.InUseError
	if _, err := start(t, network.Number()); !errors.As(err, &inUse) {
		t.Errorf("starting on a subnet in use returns %v, want an InUseError", err)
	}
}
