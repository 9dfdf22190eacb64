package fakeendpoint_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/logservice/endpointapi"
	"lovagespread.example/standin/fakeendpoint"
	"lovagespread.example/standin/faultnet"
)

// TestPause checks that a task makes no progress while its endpoint is paused.
// After the pause it completes, or it fails if its lease has expired meanwhile.
func TestPause(t *testing.T) {
	tests := []struct {
		name   string
		pause  time.Duration
		status int
		took   time.Duration
	}{
		{"within the lease", 5 * time.Second, http.StatusOK, 7 * time.Second},
		{"past the lease", 20 * time.Second, endpointapi.StatusFailed, 21 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := fakeendpoint.New(fakeendpoint.Options{
					Service: "resize", Slots: slots,
					Worker: &fakeendpoint.Worker{}, Starts: fakeendpoint.NewStarts(),
				})
				start := time.Now()
				if status := runPaused(t, e, tt.pause); status != tt.status {
					t.Errorf("status %d, want %d", status, tt.status)
				}
				if took := time.Since(start); took != tt.took {
					t.Errorf("took %v, want %v", took, tt.took)
				}
			})
		})
	}
}

// runPaused runs a task of 2 s with a lease of 10 s, pauses the endpoint after
// 1 s, and returns the status of the task.
func runPaused(t *testing.T, e *fakeendpoint.Endpoint, pause time.Duration) int {
	t.Helper()
	listener := faultnet.NewPipeListener()
	defer listener.Close()
	go func() { _ = http.Serve(listener, e.Handler()) }()
	client := &http.Client{Transport: &http.Transport{DialContext: listener.Dial, DisableKeepAlives: true}}
	done := make(chan int, 1)
	go func() {
		req := request("a")
		req.LeaseMS = 10_000
		req.Payload = payload(2 * time.Second)
		status, _ := send(client, "endpoint", req)
		done <- status
	}()
	time.Sleep(time.Second)
	e.SetFaults(fakeendpoint.Faults{Paused: true})
	time.Sleep(pause)
	e.SetFaults(fakeendpoint.Faults{})
	return <-done
}
