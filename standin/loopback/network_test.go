package loopback_test

import (
	"errors"
	"os"
	"os/exec"
	"testing"

	"lovagespread.example/standin/loopback"
)

// Guards against two deployments that get the same addresses.
func TestNetworksOfSeveralOwnersDiffer(t *testing.T) {
	const owners = 50
	used := make(map[int]bool)
	for range owners {
		network, err := loopback.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(network.Close)
		if used[network.Number()] {
			t.Errorf("network %d has two owners", network.Number())
		}
		used[network.Number()] = true
	}
}

// Guards against an explicit choice that takes the network of another owner.
func TestReservedNetworkHasOneOwner(t *testing.T) {
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer network.Close()
	var inUse *loopback.InUseError
	if _, err := loopback.ReserveNumber(network.Number()); !errors.As(err, &inUse) || inUse.Number != network.Number() {
		t.Errorf("reserving a reserved network returns %v, want an InUseError", err)
	}
}

// Guards against networks that stay reserved when their owners have ended.
func TestClosedNetworkCanBeReservedAgain(t *testing.T) {
	const moreThanExist = 300
	for range moreThanExist {
		network, err := loopback.Reserve()
		if err != nil {
			t.Fatal(err)
		}
		network.Close()
	}
}

// Guards against a network that gets a new owner while processes of an earlier owner,
// which was killed, still listen in it.
func TestInheritedNetworkStaysReserved(t *testing.T) {
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	file, err := network.File()
	if err != nil {
		t.Fatal(err)
	}
	heir := exec.Command("sleep", "60")
	heir.ExtraFiles = []*os.File{file}
	if err := heir.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = heir.Process.Kill()
		_ = heir.Wait() // the status of a killed process is an error
	})
	_ = file.Close()
	network.Close()
	var inUse *loopback.InUseError
	if _, err := loopback.ReserveNumber(network.Number()); !errors.As(err, &inUse) {
		t.Errorf("reserving a network whose processes have not ended returns %v, want an InUseError", err)
	}
}
