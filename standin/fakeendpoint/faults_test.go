package fakeendpoint_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/catalog"
	"lovagespread.example/logservice/endpointapi"
	"lovagespread.example/standin/fakeendpoint"
	"lovagespread.example/standin/faultnet"
	"lovagespread.example/standin/loopback"
)

// noResponse is the status of a request that ended without a response.
const noResponse = 0

func TestFaults(t *testing.T) {
	tests := []struct {
		fault  fakeendpoint.Fault
		status int
		starts int
	}{
		{fakeendpoint.Fault{Kind: fakeendpoint.Clear}, http.StatusOK, 1},
		{fakeendpoint.Fault{Kind: fakeendpoint.FaultCrash}, noResponse, 0},
		{fakeendpoint.Fault{Kind: fakeendpoint.FaultRefuse}, noResponse, 0},
		{fakeendpoint.Fault{Kind: fakeendpoint.FaultFailFast}, endpointapi.StatusFailed, 1},
		{fakeendpoint.Fault{Kind: fakeendpoint.FaultBreakAfterRead}, noResponse, 0},
		{fakeendpoint.Fault{Kind: fakeendpoint.FaultLoseReply}, noResponse, 1},
		{fakeendpoint.Fault{Kind: fakeendpoint.FaultLeaving}, endpointapi.StatusRefused, 0},
		{fakeendpoint.Fault{Kind: fakeendpoint.FaultStraggle, Factor: 2}, http.StatusOK, 1},
		{fakeendpoint.Fault{Kind: fakeendpoint.FaultDelay, DelayMS: 1}, http.StatusOK, 1},
	}
	for _, tt := range tests {
		t.Run(string(tt.fault.Kind), func(t *testing.T) {
			fleet, server := newFleet(t)
			if _, err := fleet.Apply(fakeendpoint.FaultRequest{Fault: tt.fault}); err != nil {
				t.Fatal(err)
			}
			if status, err := post(server, request("a")); status != tt.status {
				t.Errorf("status %d (%v), want %d", status, err, tt.status)
			}
			if got := fleet.Starts.Report().Starts; got != tt.starts {
				t.Errorf("%d starts, want %d", got, tt.starts)
			}
			clearFaults(t, fleet)
			if status, err := post(server, request("b")); status != http.StatusOK {
				t.Errorf("after clear: status %d (%v), want 200", status, err)
			}
		})
	}
}

func TestCrashRefusesDials(t *testing.T) {
	fleet, server := newFleet(t)
	if err := server.Crash(); err != nil {
		t.Fatal(err)
	}
	if _, err := post(server, request("a")); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want a refused connection", err)
	}
	if vms := fleet.VMs(); len(vms) != 0 {
		t.Errorf("the VM list contains %+v, want no VMs", vms)
	}
}

func TestAbortedTasksGetNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := fakeendpoint.New(fakeendpoint.Options{
			Service: "resize", Slots: slots,
			Worker: &fakeendpoint.Worker{}, Starts: fakeendpoint.NewStarts(),
		})
		listener := faultnet.NewPipeListener()
		go func() { _ = http.Serve(listener, e.Handler()) }()
		client := &http.Client{Transport: &http.Transport{DialContext: listener.Dial}}
		done := make(chan error, 1)
		go func() {
			req := request("a")
			req.Payload = payload(time.Hour)
			_, err := send(client, "endpoint", req)
			done <- err
		}()
		synctest.Wait()
		if e.Load().Running != 1 {
			t.Fatal("the task is not running")
		}
		e.AbortTasks()
		if err := <-done; err == nil {
			t.Error("an aborted task got a response")
		}
		_ = listener.Close()
	})
}

func TestWorkerLimits(t *testing.T) {
	_, server := newFleet(t)
	req := request("a")
	req.MemoryMiB = 100
	req.Payload = json.RawMessage(`{"run_ms":5,"uses_memory_mib":200}`)
	if status, _ := post(server, req); status != endpointapi.StatusFailed {
		t.Errorf("too much memory: status %d, want %d", status, endpointapi.StatusFailed)
	}
	req.Payload = json.RawMessage(`{"run_ms":5,"uses_memory_mib":100}`)
	if status, _ := post(server, req); status != http.StatusOK {
		t.Errorf("declared memory: status %d, want 200", status)
	}
	if usage := server.Worker().Usage(); usage.Tasks != 0 || usage.MemoryMiB != 0 {
		t.Errorf("usage %+v after the tasks, want none", usage)
	}
}

func TestRepeatedStartsAreReported(t *testing.T) {
	fleet, server := newFleet(t)
	for _, job := range []string{"a", "a", "b", "c"} {
		req := request(job)
		req.Payload = json.RawMessage(`{"request":"` + map[string]string{"a": "r1", "b": "r2", "c": "r2"}[job] + `"}`)
		if status, err := post(server, req); status != http.StatusOK {
			t.Fatal(status, err)
		}
	}
	report := fleet.Starts.Report()
	if report.Starts != 4 || report.Tasks != 3 {
		t.Errorf("%d starts of %d tasks, want 4 of 3", report.Starts, report.Tasks)
	}
	if len(report.Repeated) != 1 || report.Repeated[0].Job != "a" {
		t.Errorf("repeated by job %+v, want a", report.Repeated)
	}
	if len(report.RepeatedRequests) != 2 {
		t.Errorf("repeated by request %+v, want r1 and r2", report.RepeatedRequests)
	}
}

func TestSelectorWithoutMatch(t *testing.T) {
	fleet, _ := newFleet(t)
	_, err := fleet.Apply(fakeendpoint.FaultRequest{
		Selector: fakeendpoint.Selector{Rack: "none"},
		Fault:    fakeendpoint.Fault{Kind: fakeendpoint.FaultCrash},
	})
	var noMatch *fakeendpoint.NoMatchError
	if !errors.As(err, &noMatch) {
		t.Errorf("error %v, want *NoMatchError", err)
	}
}

// endpointPort is below the range from which the kernel chooses ports, so that nobody
// gets it while the endpoint is crashed.
const endpointPort = 7720

func newFleet(t *testing.T) (*fakeendpoint.Fleet, *fakeendpoint.Server) {
	t.Helper()
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(network.Close)
	fleet := fakeendpoint.NewFleet()
	worker := &fakeendpoint.Worker{Name: "w-1", Rack: "r-1", Capacity: catalog.Resources{MilliCores: 64_000}}
	fleet.AddWorker(worker)
	server, err := fleet.Add(fakeendpoint.Options{Name: "e-1", Service: "resize", Slots: slots, Worker: worker}, netip.AddrPortFrom(network.Host(2), endpointPort).String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return fleet, server
}

func clearFaults(t *testing.T, fleet *fakeendpoint.Fleet) {
	t.Helper()
	if _, err := fleet.Apply(fakeendpoint.FaultRequest{Fault: fakeendpoint.Fault{Kind: fakeendpoint.Clear}}); err != nil {
		t.Fatal(err)
	}
}

func request(job string) endpointapi.TaskRequest {
	return endpointapi.TaskRequest{TaskID: job, Job: job, Service: "resize", LeaseMS: 60_000, Entry: "entry-1"}
}

// post sends a task request on a new connection.
func post(server *fakeendpoint.Server, req endpointapi.TaskRequest) (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return send(client, server.Address(), req)
}

func send(client *http.Client, address string, req endpointapi.TaskRequest) (int, error) {
	raw, err := json.Marshal(req)
	if err != nil {
		return noResponse, err
	}
	res, err := client.Post("http://"+address+"/v1/tasks", "application/json", bytes.NewReader(raw))
	if err != nil {
		return noResponse, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}
