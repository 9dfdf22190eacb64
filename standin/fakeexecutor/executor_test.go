package fakeexecutor_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lovagespread.example/dispatch/leased"
	"lovagespread.example/dispatch/leased/leasedtest"
	"lovagespread.example/standin/fakeexecutor"
)

// TestRunsEndWithoutCalls checks that runs end while the executor receives no
// requests.
func TestRunsEndWithoutCalls(t *testing.T) {
	x := fakeexecutor.New(fakeexecutor.Options{
		ID: "x", Capacity: leased.Demand{MilliCores: 64_000, MemoryMiB: 64_000},
		Work: func(id leased.TaskID) leasedtest.Work {
			return leasedtest.Work{Time: time.Duration(10+30*id.Index) * time.Millisecond}
		},
	})
	for i := range 3 {
		body := fmt.Sprintf(`{"task":"j.0.0.%d","run_id":1,"until_ms":60000,"fencing_token":1}`, i)
		w := httptest.NewRecorder()
		x.ServeHTTP(w, httptest.NewRequest("POST", "/run-start", strings.NewReader(body)))
		if w.Code != 200 {
			t.Fatalf("start %d: %d %s", i, w.Code, w.Body)
		}
	}
	deadline := time.Now().Add(2 * time.Second)
	for left := 3; left > 0; {
		x.WithState(func(e *leasedtest.Endpoint) { left = len(e.Running()) })
		if time.Now().After(deadline) {
			t.Fatalf("%d runs have not ended", left)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestTaskCrashesExecutor checks that a task can crash its executor, which is
// back as another incarnation without any run.
func TestTaskCrashesExecutor(t *testing.T) {
	x := fakeexecutor.New(fakeexecutor.Options{
		ID: "x", Capacity: leased.Demand{MilliCores: 64_000, MemoryMiB: 64_000},
		Work: func(leased.TaskID) leasedtest.Work { return leasedtest.Work{Time: time.Minute, Crashes: true} },
	})
	server := httptest.NewServer(x)
	defer server.Close()
	call := func(path, body string) (int, string) {
		resp, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		if err != nil {
			return 0, ""
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			return 0, ""
		}
		return resp.StatusCode, string(data)
	}
	const hold = `{"fencing_token":1}`
	if status, text := call("/run-start", `{"task":"j.0.0.0","run_id":1,"until_ms":60000,"fencing_token":1}`); status != 200 {
		t.Fatalf("start: %d %s", status, text)
	}
	deadline := time.Now().Add(10 * time.Second)
	waitFor := func(want int) string {
		for {
			status, text := call("/hold", hold)
			if status == want {
				return text
			}
			if time.Now().After(deadline) {
				t.Fatalf("hold answers %d, want %d", status, want)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	waitFor(0)
	if text := waitFor(200); strings.Contains(text, "running") || strings.Contains(text, "finished") {
		t.Errorf("after the crash: %s, want no run", text)
	}
}

// Guards against a task that ends before it crashes its executor. Tests of tasks that
// crash executors failed beside other load, when the timer of the crash was late.
func TestTaskThatCrashesExecutorNeverEnds(t *testing.T) {
	x := fakeexecutor.New(fakeexecutor.Options{
		ID: "x", Capacity: leased.Demand{MilliCores: 64_000, MemoryMiB: 64_000},
		Work: func(leased.TaskID) leasedtest.Work { return leasedtest.Work{Time: time.Millisecond, Crashes: true} },
	})
	w := httptest.NewRecorder()
	x.ServeHTTP(w, httptest.NewRequest("POST", "/run-start", strings.NewReader(`{"task":"j.0.0.0","run_id":1,"until_ms":60000,"fencing_token":1}`)))
	if w.Code != http.StatusOK {
		t.Fatalf("start: %d %s", w.Code, w.Body)
	}
	deadline := time.Now().Add(10 * time.Second)
	for crashed := false; !crashed; time.Sleep(time.Millisecond) {
		x.WithState(func(e *leasedtest.Endpoint) {
			crashed = len(e.Running()) == 0
			if n := len(e.Unacknowledged()); n > 0 {
				t.Fatalf("%d runs ended, want a crash", n)
			}
		})
		if time.Now().After(deadline) {
			t.Fatal("the executor has not crashed")
		}
	}
}
