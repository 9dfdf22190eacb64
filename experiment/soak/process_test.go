package soak

import (
	"os"
	"os/exec"
	"testing"
	"time"
)

// Guards against entries that are reported as not stopped because their exit status was
// not read in time, and against entries that run on and count as ended.
func TestProcessState(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if state := processState(cmd.Process.Pid); state == stateEnded || state == stateUnknown {
		t.Errorf("a running process has the state %q", state)
	}
	if err := cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); processState(cmd.Process.Pid) != stateEnded; {
		if time.Now().After(deadline) {
			t.Fatalf("a killed process has the state %q", processState(cmd.Process.Pid))
		}
		time.Sleep(time.Millisecond)
	}
	if _, err := cmd.Process.Wait(); err != nil {
		t.Fatal(err)
	}
	if state := processState(cmd.Process.Pid); state != stateEnded {
		t.Errorf("a process whose exit status was read has the state %q", state)
	}
	if state := processState(os.Getpid()); state == stateEnded {
		t.Error("this process counts as ended")
	}
}
