package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lovagespread.example/client/callerapi"
)

// fakeEntry is an http.RoundTripper that answers submissions with a list of
// replies. It repeats the last one.
type fakeEntry struct {
	replies   []fakeReply
	ids       int
	submitted []string // job IDs of submissions
}

// fakeReply is one reply: an error, a pending job, a problem, or an answer if no
// field is set.
type fakeReply struct {
	err     error
	pending bool
	problem *callerapi.Problem
}

// RoundTrip implements http.RoundTripper.
func (f *fakeEntry) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost {
		f.ids++
		id := fmt.Sprintf("id%d", f.ids)
		return response(http.StatusOK, "application/json", callerapi.IDsResponse{
			IDs: []string{id}, ExpiresAt: time.Now().Add(time.Hour),
		}), nil
	}
	id := strings.TrimPrefix(r.URL.Path, "/v1/jobs/")
	f.submitted = append(f.submitted, id)
	next := f.replies[0]
	if len(f.replies) > 1 {
		f.replies = f.replies[1:]
	}
	switch {
	case next.err != nil:
		return nil, next.err
	case next.pending:
		return response(http.StatusAccepted, "application/json", callerapi.Pending{ID: id, State: "running"}), nil
	case next.problem != nil:
		return response(next.problem.Status, callerapi.ProblemMediaType, next.problem), nil
	}
	return response(http.StatusOK, "application/json", callerapi.Answer{ID: id, Results: []json.RawMessage{[]byte("1")}}), nil
}

func response(status int, media string, body any) *http.Response {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return &http.Response{
		StatusCode: status,
		Header:     http.Header{"Content-Type": {media}},
		Body:       io.NopCloser(strings.NewReader(string(data))),
	}
}

func problem(code callerapi.Code, execution callerapi.Execution, retryMS int64, notDelivered bool) *callerapi.Problem {
	return &callerapi.Problem{
		Status: 503, Code: code, Execution: execution, RetryAfterMS: retryMS, NotDelivered: notDelivered,
	}
}

func TestDo(t *testing.T) {
	lost := errors.New("connection reset")
	gone := callerapi.CodeOwnerGone
	for _, c := range []struct {
		name      string
		replies   []fakeReply
		want      string // answer, unknown, or the execution of the problem
		submitted string // job IDs of the submissions; empty: not checked
	}{
		{"answer at once", []fakeReply{{}}, "answer", "id1"},
		{"lost reply is retried under the same ID", []fakeReply{{err: lost}, {}}, "answer", "id1 id1"},
		{"pending job is asked for again", []fakeReply{{pending: true}, {pending: true}, {}}, "answer", "id1 id1 id1"},
		{"no reply at all", []fakeReply{{err: lost}}, "unknown", ""},
		{"failed job", []fakeReply{{problem: problem("task_failed", callerapi.Ran, 0, false)}}, "ran", "id1"},
		{"final refusal", []fakeReply{{problem: problem("unknown_service", callerapi.NotRun, 0, false)}}, "not_run", "id1"},
		{"refusal with a retry time", []fakeReply{{problem: problem("overloaded", callerapi.NotRun, 1000, false)}, {}}, "answer", "id1 id2"},
		{"owner gone before delivery", []fakeReply{{problem: problem(gone, callerapi.Unknown, 0, true)}, {}}, "answer", "id1 id2"},
		{"owner gone after a lost reply", []fakeReply{{err: lost}, {problem: problem(gone, callerapi.Unknown, 0, true)}}, "unknown", "id1 id1"},
		{"owner gone after delivery", []fakeReply{{problem: problem(gone, callerapi.Unknown, 0, false)}}, "unknown", "id1"},
		{"owner unreachable for a while", []fakeReply{{problem: problem(callerapi.CodeOwnerUnreachable, callerapi.Unknown, 1000, false)}, {}}, "answer", "id1 id1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entry := &fakeEntry{replies: c.replies}
				cl := New(Options{URL: "http://balancer", HTTPClient: &http.Client{Transport: entry}})
				_, err := cl.Do(context.Background(), callerapi.Job{Service: "booking"})
				if got := outcome(err); got != c.want {
					t.Errorf("outcome %s (%v), want %s", got, err, c.want)
				}
				if submitted := strings.Join(entry.submitted, " "); c.submitted != "" && submitted != c.submitted {
					t.Errorf("submissions %q, want %q", submitted, c.submitted)
				}
			})
		})
	}
}

func outcome(err error) string {
	var unknown *OutcomeUnknownError
	var p *callerapi.Problem
	switch {
	case err == nil:
		return "answer"
	case errors.As(err, &unknown):
		return "unknown"
	case errors.As(err, &p):
		return string(p.Execution)
	}
	return err.Error()
}

func TestRefusalsAreRetriedUpToMaxRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := &fakeEntry{replies: []fakeReply{{problem: problem("overloaded", callerapi.NotRun, 1000, false)}}}
		cl := New(Options{URL: "http://balancer", HTTPClient: &http.Client{Transport: entry}, MaxRetries: 2})
		begin := time.Now()
		_, err := cl.Do(context.Background(), callerapi.Job{Service: "booking"})
		if outcome(err) != "not_run" || len(entry.submitted) != 3 {
			t.Errorf("error %v after %d submissions", err, len(entry.submitted))
		}
		if waited := time.Since(begin); waited < 2*time.Second {
			t.Errorf("two retries took %s, want at least 1s each", waited)
		}
	})
}
