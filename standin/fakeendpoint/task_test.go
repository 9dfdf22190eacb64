package fakeendpoint

import (
	"testing"
	"time"

	"lovagespread.example/logservice/endpointapi"
)

// Guards against a task that counts as stopped by its lease although its work was done
// before: a test process that is not scheduled for longer than the lease notices both
// late. A process on a VM of its own would have replied in time.
func TestLateProcessKeepsOrderOfEndAndLease(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	const lease = 2 * time.Second
	for _, tt := range []struct {
		name    string
		runTime time.Duration
		done    bool
	}{
		{"no work", 0, true},
		{"done before the end of the lease", lease - time.Millisecond, true},
		{"done at the end of the lease", lease, false},
		{"done after the end of the lease", lease + time.Millisecond, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			started := newTask(&endpointapi.TaskRequest{LeaseMS: lease.Milliseconds()}, tt.runTime, 1, start)
			end, _ := started.step(start.Add(2 * lease))
			if end == nil {
				t.Fatal("the task has not ended")
			}
			if done := end.detail == ""; done != tt.done {
				t.Errorf("outcome %+v, want done %t", *end, tt.done)
			}
		})
	}
}
