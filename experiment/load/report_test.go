package load_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/experiment/load"
	"lovagespread.example/standin/fakeendpoint"
)

func runSeconds(t *testing.T, r *load.Request) float64 {
	t.Helper()
	sum := 0.0
	for _, task := range r.Job.Tasks {
		var p fakeendpoint.Payload
		if err := json.Unmarshal(task.Payload, &p); err != nil {
			t.Fatal(err)
		}
		sum += p.RunTime().Seconds()
	}
	return sum
}

// answerTo returns the complete answer to a job.
func answerTo(job callerapi.Job) callerapi.Answer {
	var answer callerapi.Answer
	for _, task := range job.Tasks {
		raw, err := json.Marshal(fakeendpoint.Result{Payload: task.Payload})
		if err != nil {
			panic(err)
		}
		answer.Results = append(answer.Results, raw)
	}
	return answer
}

func TestCheck(t *testing.T) {
	requests := drawRequests(t, 7)
	fanOut, other := requests[0], requests[1]
	for i, r := range requests {
		if len(r.Job.Tasks) > 3 {
			fanOut, other = r, requests[i+1]
			break
		}
	}
	complete := answerTo(fanOut.Job)
	if err := fanOut.Check(complete); err != nil {
		t.Errorf("complete answer: %v", err)
	}
	swapped := answerTo(fanOut.Job)
	swapped.Results[0], swapped.Results[1] = swapped.Results[1], swapped.Results[0]
	missing := answerTo(fanOut.Job)
	missing.Results[2] = nil
	short := answerTo(fanOut.Job)
	short.Results = short.Results[1:]
	for name, answer := range map[string]callerapi.Answer{
		"swapped": swapped, "missing": missing, "short": short, "of another job": answerTo(other.Job),
	} {
		var partial *load.PartialError
		if err := fanOut.Check(answer); !errors.As(err, &partial) {
			t.Errorf("%s answer: %v, want *PartialError", name, err)
		}
	}
}

// callerFunc is a Caller that answers every job by calling the function.
type callerFunc func(callerapi.Job) (callerapi.Answer, error)

func (f callerFunc) Do(_ context.Context, job callerapi.Job) (callerapi.Answer, error) { return f(job) }

func failing(execution callerapi.Execution) callerFunc {
	return func(callerapi.Job) (callerapi.Answer, error) {
		return callerapi.Answer{}, &callerapi.Problem{Code: "c", Execution: execution}
	}
}

func TestOutcomes(t *testing.T) {
	slow := callerFunc(func(job callerapi.Job) (callerapi.Answer, error) {
		time.Sleep(time.Hour)
		return answerTo(job), nil
	})
	tests := []struct {
		name   string
		caller callerFunc
		pick   func(load.Report) int
	}{
		{"complete", slow, func(r load.Report) int { return r.Complete }},
		{"failed", failing(callerapi.Ran), func(r load.Report) int { return r.Failed }},
		{"refused", failing(callerapi.NotRun), func(r load.Report) int { return r.Failed }},
		{"unknown", failing(callerapi.Unknown), func(r load.Report) int { return r.Unknown }},
		{"no answer", func(callerapi.Job) (callerapi.Answer, error) {
			return callerapi.Answer{}, errors.New("broken")
		}, func(r load.Report) int { return r.Unknown }},
		{"partial", func(callerapi.Job) (callerapi.Answer, error) {
			return callerapi.Answer{}, nil
		}, func(r load.Report) int { return r.Partial }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			report := runWith(t, tt.caller, fakeendpoint.StartReport{Tasks: 1})
			if report.Jobs == 0 || tt.pick(report) != report.Jobs {
				t.Errorf("report %+v, want all jobs %s", report, tt.name)
			}
		})
	}
}

// runWith runs the load of one virtual second against a caller. The stand-ins
// report the given starts.
func runWith(t *testing.T, caller callerFunc, starts fakeendpoint.StartReport) (report load.Report) {
	t.Helper()
	tally := load.NewTally()
	synctest.Test(t, func(t *testing.T) {
		g, err := load.NewGenerator(options(7))
		if err != nil {
			t.Fatal(err)
		}
		_, err = load.Run(t.Context(), load.Options{
			Generator: g, Callers: []load.Caller{caller}, Duration: time.Second,
			CallerTimeout: 2 * time.Hour, MaxInFlight: 10_000,
		}, tally)
		if err != nil {
			t.Fatal(err)
		}
	})
	return measure(t, tally, starts)
}

func measure(t *testing.T, tally *load.Tally, starts fakeendpoint.StartReport) load.Report {
	t.Helper()
	reported := fakeendpoint.StartReport{}
	m, err := load.StartMeasurement(t.Context(), stubStandins(t, &reported))
	if err != nil {
		t.Fatal(err)
	}
	reported = starts
	idempotent := func(service string) bool { return service == "look" }
	report, _, err := m.Report(t.Context(), tally, 0, idempotent)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// stubStandins reports the given starts and no messages.
func stubStandins(t *testing.T, starts *fakeendpoint.StartReport) *load.Standins {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/starts" {
			_ = json.NewEncoder(w).Encode(starts)
			return
		}
		_ = json.NewEncoder(w).Encode(fakeendpoint.Messages{})
	}))
	t.Cleanup(server.Close)
	return load.NewStandins(strings.TrimPrefix(server.URL, "http://"))
}

func TestEntryMessagesAreCountedFromStartOfMeasurement(t *testing.T) {
	forwards := map[string]int{"steady": 10, "restarted": 10}
	admin := func(name string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "lovage_messages_total{kind=\"forward\"} %d\n", forwards[name])
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	standins := stubStandins(t, &fakeendpoint.StartReport{})
	m, err := load.StartMeasurement(t.Context(), standins, admin("steady"), admin("restarted"))
	if err != nil {
		t.Fatal(err)
	}
	forwards["steady"], forwards["restarted"] = 15, 4
	_, detail, err := m.Report(t.Context(), load.NewTally(), 0, func(string) bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	if want := "9 forward"; detail.Entries.String() != want {
		t.Errorf("entries counted %q, want %q", detail.Entries, want)
	}
}

func TestViolatedGuaranteesAreReported(t *testing.T) {
	repeated := func(service string) []fakeendpoint.Repeated {
		return []fakeendpoint.Repeated{{Service: service, Count: 2}}
	}
	tests := []struct {
		name    string
		starts  fakeendpoint.StartReport
		doubles int
		notRun  int
	}{
		{"nothing", fakeendpoint.StartReport{}, 0, 0},
		{"idempotent twice", fakeendpoint.StartReport{Repeated: repeated("look")}, 0, 0},
		{"twice under one ID", fakeendpoint.StartReport{Repeated: repeated("book")}, 1, 0},
		{"twice under two IDs", fakeendpoint.StartReport{RepeatedRequests: repeated("book")}, 1, 0},
		{"started but reported as not_run", fakeendpoint.StartReport{StartedRequests: map[string]int{"r-1": 1}}, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			report := runWith(t, failing(callerapi.NotRun), tt.starts)
			if report.DoubleStarts != tt.doubles || report.FalseNotRun != tt.notRun {
				t.Errorf("report %+v, want %d double starts and %d false not_run", report, tt.doubles, tt.notRun)
			}
			if wantHold := tt.doubles+tt.notRun == 0; report.GuaranteesHold() != wantHold {
				t.Errorf("GuaranteesHold() is %v, want %v", report.GuaranteesHold(), wantHold)
			}
		})
	}
}
