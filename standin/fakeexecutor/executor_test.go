package fakeexecutor_test

import (
	"fmt"
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
