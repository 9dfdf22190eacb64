package load_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/experiment/load"
)

// entryStub issues job IDs and answers submissions with its replies in order.
type entryStub struct {
	replies   []func(w http.ResponseWriter, job callerapi.Job)
	submitted atomic.Int64
}

func (e *entryStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodPost {
		ids := callerapi.IDsResponse{IDs: []string{"id-1", "id-2"}, ExpiresAt: time.Now().Add(time.Hour)}
		_ = json.NewEncoder(w).Encode(ids)
		return
	}
	var job callerapi.Job
	_ = json.NewDecoder(r.Body).Decode(&job)
	e.replies[e.submitted.Add(1)-1](w, job)
}

func loseReply(http.ResponseWriter, callerapi.Job) { panic(http.ErrAbortHandler) }

func completeAnswer(w http.ResponseWriter, job callerapi.Job) {
	_ = json.NewEncoder(w).Encode(answerTo(job))
}

func ownerGone(w http.ResponseWriter, _ callerapi.Job) {
	w.Header().Set("Content-Type", callerapi.ProblemMediaType)
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(callerapi.Problem{Code: callerapi.CodeOwnerGone, Execution: callerapi.Unknown})
}

func TestClientCaller(t *testing.T) {
	request := drawRequests(t, 7)[0]
	tests := []struct {
		name    string
		replies []func(http.ResponseWriter, callerapi.Job)
		code    callerapi.Code // empty: a complete answer
		repeats int64
	}{
		{"answered", []func(http.ResponseWriter, callerapi.Job){completeAnswer}, "", 0},
		{"lost reply", []func(http.ResponseWriter, callerapi.Job){loseReply, completeAnswer}, "", 1},
		{"owner gone", []func(http.ResponseWriter, callerapi.Job){ownerGone}, callerapi.CodeOwnerGone, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(&entryStub{replies: tt.replies})
			defer server.Close()
			caller := load.NewClientCaller(strings.TrimPrefix(server.URL, "http://"), time.Minute)
			answer, err := caller.Do(t.Context(), request.Job)
			if tt.code == "" && (err != nil || request.Check(answer) != nil) {
				t.Errorf("error %v, want the complete answer", err)
			}
			var problem *callerapi.Problem
			if tt.code != "" && (!errors.As(err, &problem) || problem.Code != tt.code || problem.Execution != callerapi.Unknown) {
				t.Errorf("error %v, want %s with unknown execution", err, tt.code)
			}
			if n := caller.Repeats(); n != tt.repeats {
				t.Errorf("%d repeats, want %d", n, tt.repeats)
			}
		})
	}
}

func TestClosedLoop(t *testing.T) {
	const (
		callers  = 4
		runTime  = 100 * time.Millisecond
		duration = 1050 * time.Millisecond // cuts off the last job of each loop
		jobs     = 40
	)
	synctest.Test(t, func(t *testing.T) {
		number := atomic.Int64{}
		caller := callerFunc(func(job callerapi.Job) (callerapi.Answer, error) {
			time.Sleep(runTime)
			if number.Add(1)%2 == 0 {
				return callerapi.Answer{}, nil // incomplete
			}
			return answerTo(job), nil
		})
		opts := load.ClosedOptions{Run: "r", Service: "look", Tasks: 3, RunTime: runTime, Duration: duration}
		for range callers {
			opts.Callers = append(opts.Callers, caller)
		}
		result, err := load.RunClosed(t.Context(), opts)
		if err != nil {
			t.Fatal(err)
		}
		if result.Jobs != jobs || result.Failed != jobs/2 {
			t.Errorf("%+v, want %d jobs, half of them failed", result, jobs)
		}
		if result.P50MS < 100 || result.P50MS > 101 {
			t.Errorf("p50 %v ms, want 100", result.P50MS)
		}
	})
}

func TestWaitInForce(t *testing.T) {
	admin := func(version int) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "# TYPE lovage_configuration_version gauge\nlovage_configuration_version %d\n", version)
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	old, current := admin(1), admin(2)
	if got := load.WaitInForce(t.Context(), []string{current}, 2, time.Now()); len(got.Missing) != 0 {
		t.Errorf("%+v, want nothing missing", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	got := load.WaitInForce(ctx, []string{old}, 2, time.Now())
	if len(got.Missing) != 1 || got.Missing[0] != old {
		t.Errorf("%+v, want the old entry missing", got)
	}
}
